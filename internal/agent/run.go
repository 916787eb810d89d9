package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/ledger"
	"github.com/coltsfootbay/coltsfootbay/internal/queue"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

type runKey struct {
	request fleet.RequestID
	account fleet.ClientAccount
}

// run is one request that the agent accepted.
type run struct {
	key    runKey
	submit *wire.Submit
	// ticket is the zero Token for requests without one.
	ticket   ticket.Token
	state    *ledger.Run
	item     *queue.Item
	buffer   *buffer // nil for plain services
	deadline time.Time
	// ctx ends the call to the backend server; its cause is the failure.
	ctx    context.Context
	cancel context.CancelCauseFunc

	// The table's lock guards the fields below.
	table       *runTable
	serverStart string
	startedAt   time.Time
	calling     bool
	watchers    int
	grace       *time.Timer
}

func (r *run) ticketed() bool { return r.ticket.Request != "" }

// refuse ends the run if it has not begun.
func (r *run) refuse(e *verdict.Error) bool {
	if r.ticketed() {
		e = ledger.WithTicketSpent(e)
	}
	return r.state.Refuse(e)
}

// stop ends the run because no caller waits for it. A begun run with a ticket
// goes on, so that its ticket gets the true answer.
func (r *run) stop(e *verdict.Error) {
	if r.refuse(e) || !r.ticketed() {
		r.cancel(e)
	}
}

// lateAnswer is how long a begun run with a ticket may go on after its
// deadline, so that the ledger learns whether a filing succeeded.
const lateAnswer = 30 * time.Second

// expire ends the run at its deadline.
func (r *run) expire() {
	e := verdict.Refuse(http.StatusGatewayTimeout, verdict.ReasonDeadline, "the deadline passed")
	r.stop(e)
	if r.ticketed() {
		time.AfterFunc(lateAnswer, func() { r.cancel(e) })
	}
}

// callEnded reports whether the run no longer uses the backend server.
func (r *run) callEnded() bool {
	select {
	case <-r.state.Finished():
		return true
	default:
		return false
	}
}

// runTable holds the open runs, and ended streams for their grace period.
type runTable struct {
	mu   sync.Mutex
	runs map[runKey]*run
	// active holds runs until they are settled, also after a later attempt
	// took their place in runs.
	active map[*run]struct{}
}

func newRunTable() *runTable {
	return &runTable{runs: map[runKey]*run{}, active: map[*run]struct{}{}}
}

// add enters a run, or returns the run that already has the key and the same
// or a later attempt.
func (t *runTable) add(r *run) (existing *run, replaced *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.runs[r.key]
	if old != nil && old.submit.Attempt >= r.submit.Attempt {
		return old, nil
	}
	r.table = t
	t.runs[r.key] = r
	t.active[r] = struct{}{}
	return nil, old
}

func (t *runTable) find(key runKey) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[key]
}

func (t *runTable) remove(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs[r.key] == r {
		delete(t.runs, r.key)
	}
}

// settled notes that a run ended and its slot is free.
func (t *runTable) settled(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.calling = false
	delete(t.active, r)
}

// open returns the number of runs that have not ended.
func (t *runTable) open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.active)
}

func (t *runTable) all() []*run {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*run, 0, len(t.active))
	for r := range t.active {
		out = append(out, r)
	}
	return out
}

// calls notes that a run is about to call a server start.
func (t *runTable) calls(r *run, serverStart string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.calling, r.serverStart, r.startedAt = true, serverStart, time.Now()
}

// callOf returns the server start that a run called and when; the time is zero
// if it called none.
func (t *runTable) callOf(r *run) (serverStart string, begun time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.serverStart, r.startedAt
}

// inFlight returns the runs on a server start whose call has begun.
func (t *runTable) inFlight(serverStart string) []*run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*run
	for r := range t.active {
		if r.calling && r.serverStart == serverStart && r.state.State() != ledger.Queued {
			out = append(out, r)
		}
	}
	return out
}

// watch notes that a stream waits for the run.
func (r *run) watch() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.watchers++
	if r.grace != nil {
		r.grace.Stop()
		r.grace = nil
	}
}

// unwatch notes that a stream stopped waiting. When it was the last one, the
// run ends after the grace period, or at once if grace is zero.
func (r *run) unwatch(grace time.Duration, e *verdict.Error) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.watchers--
	if r.watchers > 0 || r.callEnded() {
		return
	}
	if grace == 0 {
		r.stop(e)
		return
	}
	r.grace = time.AfterFunc(grace, func() { r.graceOver(e) })
}

func (r *run) graceOver(e *verdict.Error) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.watchers == 0 {
		r.stop(e)
	}
}
