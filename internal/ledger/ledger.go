package ledger

import (
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// Limits of the ledger.
const (
	// maxAnswerBytes bounds the stored body of one answer.
	maxAnswerBytes = 64 << 10
	// finishedRetention keeps a finished run for the default ticket lifetime
	// after its end, because a run can outlast its ticket.
	finishedRetention = time.Minute
	// expiredRetention keeps every record after its ticket's expiry, so that an
	// expired ticket without a record is known not to have run. After that time
	// nothing is known, whatever the caller states: its first attempt may have
	// been held up while a later one ran.
	expiredRetention = time.Minute
	// sweepInterval bounds how often expired records are searched for.
	sweepInterval = time.Second
)

// Options are the parameters of a Ledger.
type Options struct {
	Agent fleet.ProcessID
	Start fleet.StartID
	// Uptime returns the agent's monotonic uptime.
	Uptime func() time.Duration
	// Bytes bounds the stored bodies of all answers.
	Bytes int64
}

type keyIndex struct {
	account fleet.ClientAccount
	hash    uint64
}

type record struct {
	account  fleet.ClientAccount
	run      *Run
	expires  time.Duration
	finished bool
	body     int64
}

// Ledger holds one record per ticket. It is safe for concurrent use.
type Ledger struct {
	options Options

	mu      sync.Mutex
	records map[fleet.RequestID]*record
	keys    map[keyIndex]*record
	// stored lists the records with a stored body, oldest first.
	stored []*record
	bytes  int64
	swept  time.Duration
}

// New returns an empty ledger.
func New(o Options) *Ledger {
	return &Ledger{options: o, records: map[fleet.RequestID]*record{}, keys: map[keyIndex]*record{}}
}

// Admit returns the run of a ticket. fresh tells that the caller must run it;
// otherwise the run belongs to an earlier delivery. attempt is 1 if the caller
// states that the ticket was never sent before.
func (l *Ledger) Admit(t ticket.Token, attempt uint32) (run *Run, fresh bool, e *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.find(t); r != nil {
		return r.run, false, nil
	}
	if e := l.check(t, attempt == 1); e != nil {
		return nil, false, e
	}
	return l.add(t).run, true, nil
}

// Refuse marks an unseen ticket as spent with e as its answer. A ticket that
// is known keeps its run, which is returned with known set.
func (l *Ledger) Refuse(t ticket.Token, attempt uint32, e *verdict.Error) (run *Run, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.find(t); r != nil {
		return r.run, true
	}
	run = NewRun()
	if invalid := l.check(t, attempt == 1); invalid != nil {
		run.Refuse(invalid)
		return run, false
	}
	run = l.add(t).run
	run.Refuse(WithTicketSpent(e))
	return run, false
}

// Resolve returns the run of a ticket after it made sure that a request which
// has not begun never will: a queued or unseen ticket becomes spent.
func (l *Ledger) Resolve(t ticket.Token) *Run {
	spent := WithTicketSpent(verdict.Refuse(http.StatusConflict, verdict.ReasonTicketSpent, "the ticket was resolved before its request began"))
	run, _ := l.Refuse(t, 0, spent)
	run.Refuse(spent)
	return run
}

// WithTicketSpent returns a copy of e that says that the ticket is spent.
func WithTicketSpent(e *verdict.Error) *verdict.Error {
	c := *e
	c.TicketSpent = true
	return &c
}

// Finish ends a begun run and stores its answer within the bounds.
func (l *Ledger) Finish(id fleet.RequestID, a Answer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[id]
	if r == nil || !r.run.Finish(a) {
		return false
	}
	r.finished = true
	r.expires = max(r.expires, l.options.Uptime()+finishedRetention)
	l.store(r, int64(len(a.Body)))
	return true
}

// store accounts for a body and drops the oldest ones beyond the bound.
func (l *Ledger) store(r *record, size int64) {
	if size == 0 {
		return
	}
	if size > maxAnswerBytes || size > l.options.Bytes {
		r.run = r.run.withoutBody()
		return
	}
	r.body = size
	l.bytes += size
	l.stored = append(l.stored, r)
	for l.bytes > l.options.Bytes {
		l.dropOldestBody()
	}
}

func (l *Ledger) dropOldestBody() {
	r := l.stored[0]
	l.stored = l.stored[1:]
	if r.body == 0 {
		return
	}
	l.bytes -= r.body
	r.body = 0
	r.run = r.run.withoutBody()
}

// find returns the record of a ticket or of an earlier ticket for the same
// idempotency key. A spent earlier ticket never ran, so it frees the key.
func (l *Ledger) find(t ticket.Token) *record {
	l.sweep()
	if r := l.records[t.Request]; r != nil && r.account == t.Account {
		return r
	}
	// A ticket for another start may have run there, whatever ran here.
	if t.KeyHash == 0 || t.Agent != l.options.Agent || t.Start != l.options.Start {
		return nil
	}
	r := l.keys[keyIndex{t.Account, t.KeyHash}]
	if r == nil || r.run.State() == Spent {
		return nil
	}
	if l.check(t, false) == nil {
		l.records[t.Request] = r
		r.expires = max(r.expires, expiry(t)+expiredRetention)
	}
	return r
}

// check says why an unseen ticket cannot run. A ticket of another start may
// have run there, unless the caller states that it was never sent before.
func (l *Ledger) check(t ticket.Token, first bool) *verdict.Error {
	var e *verdict.Error
	now := l.options.Uptime()
	notRun := first
	switch {
	case t.Agent != l.options.Agent || t.Start != l.options.Start:
		e = verdict.Refuse(http.StatusConflict, verdict.ReasonOtherStart, "the ticket names another start of an agent")
	case now >= expiry(t):
		notRun = now < expiry(t)+expiredRetention
		e = verdict.Refuse(http.StatusConflict, verdict.ReasonTicketExpired, "the ticket has expired")
	default:
		return nil
	}
	if !notRun {
		e.Verdict = verdict.MayHaveRun
	}
	return WithTicketSpent(e)
}

func (l *Ledger) add(t ticket.Token) *record {
	r := &record{account: t.Account, run: NewRun(), expires: expiry(t) + expiredRetention}
	l.records[t.Request] = r
	if t.KeyHash != 0 {
		l.keys[keyIndex{t.Account, t.KeyHash}] = r
	}
	return r
}

// sweep drops records that are past their retention. Queued and begun runs
// stay until they end.
func (l *Ledger) sweep() {
	now := l.options.Uptime()
	if now-l.swept < sweepInterval {
		return
	}
	l.swept = now
	for id, r := range l.records {
		if l.expired(r, now) {
			delete(l.records, id)
			l.bytes -= r.body
			r.body = 0
		}
	}
	for k, r := range l.keys {
		if l.expired(r, now) {
			delete(l.keys, k)
		}
	}
	for len(l.stored) > 0 && l.stored[0].body == 0 {
		l.stored = l.stored[1:]
	}
}

func (l *Ledger) expired(r *record, now time.Duration) bool {
	return now >= r.expires && (r.finished || r.run.State() == Spent)
}

func expiry(t ticket.Token) time.Duration {
	return time.Duration(t.ExpiresUptime) * time.Millisecond
}
