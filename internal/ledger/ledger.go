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
	// maxAnswerBytes limits the stored body of one answer.
	maxAnswerBytes = 64 << 10
	// finishedRetention is how long a run is kept after its end. It equals the
	// default ticket lifetime, because a run can end after its ticket has
	// expired.
	finishedRetention = time.Minute
	// expiredRetention is how long every record is kept after its ticket has
	// expired. During this time, an expired ticket without a record is known
	// not to have run. After it, the ledger cannot rule out a run, even for a
	// delivery that the caller marks as the first: that delivery may have been
	// delayed while a later one ran.
	expiredRetention = time.Minute
	// sweepInterval is the minimum time between two searches for expired
	// records.
	sweepInterval = time.Second
)

// Options are the parameters of a Ledger.
type Options struct {
	Agent fleet.ProcessID
	Start fleet.StartID
	// Uptime returns the agent's uptime on the monotonic clock.
	Uptime func() time.Duration
	// Bytes limits the total size of the stored bodies.
	Bytes int64
}

// keyIndex identifies an idempotency key of an account.
type keyIndex struct {
	account fleet.ClientAccount
	hash    uint64
}

// record is the state of one ticket. Tickets for the same idempotency key share
// it. The field expires is the agent's uptime at which the record can be removed.
// bodyBytes is the size of the stored body.
type record struct {
	account   fleet.ClientAccount
	run       *Run
	expires   time.Duration
	finished  bool
	bodyBytes int64
}

// Ledger holds the records of an agent's tickets. It is safe for concurrent
// use.
type Ledger struct {
	options Options

	mu      sync.Mutex
	records map[fleet.RequestID]*record
	keys    map[keyIndex]*record
	// stored lists the records with a stored body, oldest first. Records whose
	// body was dropped since may still be in it.
	stored      []*record
	storedBytes int64
	lastSweep   time.Duration
}

// New returns an empty ledger.
func New(o Options) *Ledger {
	return &Ledger{options: o, records: map[fleet.RequestID]*record{}, keys: map[keyIndex]*record{}}
}

// Admit returns the run of a ticket. isNew reports whether the caller must
// execute it; otherwise the run belongs to an earlier delivery. attempt is 1 if
// the caller states that it never sent the ticket before. Admit returns an
// error if the ticket is for another start or has expired.
func (l *Ledger) Admit(t ticket.Token, attempt uint32) (run *Run, isNew bool, e *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.find(t); r != nil {
		return r.run, false, nil
	}
	if e := l.validate(t, attempt == 1); e != nil {
		return nil, false, e
	}
	return l.add(t).run, true, nil
}

// Refuse marks an unseen ticket as spent, with e as its answer. If the ledger
// already has a record of the ticket, Refuse returns its run unchanged and sets
// known. A ticket that is for another start or has expired gets the error for
// that instead of e, and no record.
func (l *Ledger) Refuse(t ticket.Token, attempt uint32, e *verdict.Error) (run *Run, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.find(t); r != nil {
		return r.run, true
	}
	run = NewRun()
	if invalid := l.validate(t, attempt == 1); invalid != nil {
		run.Refuse(invalid)
		return run, false
	}
	run = l.add(t).run
	run.Refuse(WithTicketSpent(e))
	return run, false
}

// Resolve returns the run of a ticket. If the request has not begun, Resolve
// marks the ticket as spent, so that the request never runs.
func (l *Ledger) Resolve(t ticket.Token) *Run {
	spent := WithTicketSpent(verdict.Refuse(http.StatusConflict, verdict.ReasonTicketSpent, "the ticket was resolved before its request began"))
	run, _ := l.Refuse(t, 0, spent)
	run.Refuse(spent)
	return run
}

// WithTicketSpent returns a copy of e with TicketSpent set.
func WithTicketSpent(e *verdict.Error) *verdict.Error {
	c := *e
	c.TicketSpent = true
	return &c
}

// Finish ends a run that has begun and stores its answer within the size
// limits. It returns false if the ticket is unknown or its run is not in state
// Begun.
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

// store records that the body of r is kept, and drops the oldest bodies while
// the total exceeds the limit. A body that is too large on its own is not kept.
func (l *Ledger) store(r *record, size int64) {
	if size == 0 {
		return
	}
	if size > maxAnswerBytes || size > l.options.Bytes {
		r.run = r.run.withoutBody()
		return
	}
	r.bodyBytes = size
	l.storedBytes += size
	l.stored = append(l.stored, r)
	for l.storedBytes > l.options.Bytes {
		l.dropOldestBody()
	}
}

func (l *Ledger) dropOldestBody() {
	r := l.stored[0]
	l.stored = l.stored[1:]
	if r.bodyBytes == 0 {
		return
	}
	l.storedBytes -= r.bodyBytes
	r.bodyBytes = 0
	r.run = r.run.withoutBody()
}

// find returns the record of a ticket, or of an earlier ticket for the same
// idempotency key. If the earlier ticket was spent, its request never ran and
// the key can be used again.
func (l *Ledger) find(t ticket.Token) *record {
	l.sweep()
	if r := l.records[t.Request]; r != nil && r.account == t.Account {
		return r
	}
	// A ticket for another start may have run there. A run of this start says
	// nothing about it.
	if t.KeyHash == 0 || t.Agent != l.options.Agent || t.Start != l.options.Start {
		return nil
	}
	r := l.keys[keyIndex{t.Account, t.KeyHash}]
	if r == nil || r.run.State() == Spent {
		return nil
	}
	if l.validate(t, false) == nil {
		l.records[t.Request] = r
		r.expires = max(r.expires, expiry(t)+expiredRetention)
	}
	return r
}

// validate returns an error if an unseen ticket cannot run. A ticket for another
// start may have run there, unless the caller states that it never sent the
// ticket before.
func (l *Ledger) validate(t ticket.Token, first bool) *verdict.Error {
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

// sweep removes records after their retention time. Runs that are queued or
// have begun are kept until they end.
func (l *Ledger) sweep() {
	now := l.options.Uptime()
	if now-l.lastSweep < sweepInterval {
		return
	}
	l.lastSweep = now
	for id, r := range l.records {
		if l.expired(r, now) {
			delete(l.records, id)
			l.storedBytes -= r.bodyBytes
			r.bodyBytes = 0
		}
	}
	for k, r := range l.keys {
		if l.expired(r, now) {
			delete(l.keys, k)
		}
	}
	for len(l.stored) > 0 && l.stored[0].bodyBytes == 0 {
		l.stored = l.stored[1:]
	}
}

// expired reports whether the run of r has ended and its retention time is
// over.
func (l *Ledger) expired(r *record, now time.Duration) bool {
	return now >= r.expires && (r.finished || r.run.State() == Spent)
}

// expiry returns the agent's uptime at which the ticket expires.
func expiry(t ticket.Token) time.Duration {
	return time.Duration(t.ExpiresUptime) * time.Millisecond
}
