package ledger

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const lifetime = time.Minute

func newLedger(uptime *time.Duration) *Ledger {
	return New(Options{Agent: "a", Start: 1, Uptime: func() time.Duration { return *uptime }, Bytes: 100 << 10})
}

func token(id fleet.RequestID, key uint64) ticket.Token {
	return ticket.Token{Request: id, Account: "c", Agent: "a", Start: 1, ExpiresUptime: lifetime.Milliseconds(), KeyHash: key}
}

// Guards against two deliveries of one ticket that both run, and against a run
// that begins although Resolve returned not_run.
func TestConcurrentDeliveriesRunOnce(t *testing.T) {
	is := is.New(t)
	for range 200 {
		var uptime time.Duration
		l := newLedger(&uptime)
		var begun atomic.Int32
		var notRun atomic.Bool
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				run, isNew, e := l.Admit(token("t", 0), 1)
				if e == nil && isNew && run.Begin() == nil {
					begun.Add(1)
					l.Finish("t", Answer{})
				}
			})
		}
		group.Go(func() { notRun.Store(l.Resolve(token("t", 0)).State() == Spent) })
		group.Wait()
		is.True(begun.Load() <= 1)
		is.True(begun.Load() == 0 == notRun.Load())
	}
}

// Guards against a delayed delivery that runs after its ticket was refused.
func TestRefusedTicketStaysSpent(t *testing.T) {
	is := is.New(t)
	var uptime time.Duration
	l := newLedger(&uptime)
	l.Refuse(token("t", 0), 1, verdict.Refuse(503, verdict.ReasonLeaving, "leaving"))
	run, isNew, e := l.Admit(token("t", 0), 2)
	is.True(e == nil)
	is.True(!isNew)
	is.True(run.Answer().Err.TicketSpent)
	is.Equal(run.Answer().Err.Verdict, verdict.NotRun)
	is.Equal(run.Begin(), ErrNotQueued)
}

// Guards against the verdict not_run for a ticket that may have run in another
// start, or whose record was already removed.
func TestVerdictOfTicketsWithoutRecord(t *testing.T) {
	is := is.New(t)
	var uptime time.Duration
	l := newLedger(&uptime)
	other := token("o", 0)
	other.Start = 2
	_, _, e := l.Admit(other, 2)
	is.Equal(e.Verdict, verdict.MayHaveRun)
	_, _, e = l.Admit(other, 1)
	is.Equal(e.Verdict, verdict.NotRun)
	is.Equal(l.Resolve(other).Answer().Err.Verdict, verdict.MayHaveRun)
	run, _, _ := l.Admit(token("ran", 0), 2)
	is.NoErr(run.Begin())
	l.Finish("ran", Answer{})
	// While all records are kept, a ticket without a record did not run.
	uptime = lifetime + expiredRetention - 1
	for _, attempt := range []uint32{0, 1, 2} {
		_, _, e = l.Admit(token("x", 0), attempt)
		is.Equal(e.Reason, verdict.ReasonTicketExpired)
		is.Equal(e.Verdict, verdict.NotRun)
		run, _, _ = l.Admit(token("ran", 0), attempt)
		is.Equal(run.State(), Done)
	}
	// Afterwards the ledger cannot rule out a run, even for a delayed first
	// attempt.
	uptime += 2 * sweepInterval
	for _, attempt := range []uint32{0, 1, 2} {
		_, _, e = l.Admit(token("ran", 0), attempt)
		is.Equal(e.Verdict, verdict.MayHaveRun)
	}
}

// Guards against a second filing under a new ticket for the same idempotency
// key, against the verdict not_run for a ticket that has this key but is for
// another start, and against a record that is removed while its run is open or
// has just ended.
func TestIdempotencyKeyAndRetention(t *testing.T) {
	is := is.New(t)
	var uptime time.Duration
	l := newLedger(&uptime)
	first, _, _ := l.Admit(token("t1", 7), 1)
	second, isNew, e := l.Admit(token("t2", 7), 1)
	is.True(e == nil && !isNew && first == second)
	other := token("t3", 7)
	other.Start = 2
	is.Equal(l.Resolve(other).Answer().Err.Verdict, verdict.MayHaveRun) // not the queued run
	is.NoErr(first.Begin())
	uptime = 2 * lifetime
	is.Equal(l.Resolve(token("t1", 7)).State(), Begun)
	is.True(l.Finish("t1", Answer{Body: []byte("x")}))
	uptime += finishedRetention / 2
	run, _, _ := l.Admit(token("t2", 7), 2)
	is.Equal(string(run.Answer().Body), "x")
	uptime += finishedRetention
	_, _, e = l.Admit(token("t1", 7), 2)
	is.Equal(e.Verdict, verdict.MayHaveRun)
}

// Guards against unbounded memory for answers, and against losing the verdict
// when a body is dropped.
func TestStoredAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	var uptime time.Duration
	l := newLedger(&uptime)
	for _, id := range []fleet.RequestID{"a", "b", "c"} {
		run, _, _ := l.Admit(token(id, 0), 1)
		is.NoErr(run.Begin())
		l.Finish(id, Answer{Response: &wire.Response{Status: 201}, Body: make([]byte, 40<<10)})
		is.Equal(len(run.Answer().Body), 40<<10) // attached callers get the whole body
	}
	is.True(l.storedBytes <= 100<<10)
	run, _, _ := l.Admit(token("a", 0), 2)
	is.Equal(run.State(), Done)
	is.True(run.Answer().Response.BodyOmitted)
	is.Equal(run.Answer().Response.Status, 201)
}
