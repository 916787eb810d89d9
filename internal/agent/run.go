package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/ledger"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/queue"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

type runKey struct {
	request fleet.RequestID
	account fleet.ClientAccount
}

// run is one accepted request.
type run struct {
	key    runKey
	submit *wire.Submit
	// ticket is the zero Token for requests without a ticket.
	ticket   ticket.Token
	state    *ledger.Run
	item     *queue.Item
	buffer   *buffer // nil for plain services
	deadline time.Time
	// ctx is the context of the call to the backend server. When it is
	// canceled, its cause is the error to answer with.
	ctx    context.Context
	cancel context.CancelCauseFunc

	// The fields below are guarded by the lock of table.
	table       *runTable
	serverStart string
	startedAt   time.Time
	// tried holds the fingerprints that were under suspicion when the call began.
	tried      []uint64
	callActive bool
	watchers   int
	graceTimer *time.Timer
}

func (r *run) ticketed() bool { return r.ticket.Request != "" }

// refuse ends the run with e if it has not begun, and reports whether it did.
func (r *run) refuse(e *verdict.Error) bool {
	if r.ticketed() {
		e = ledger.WithTicketSpent(e)
	}
	return r.state.Refuse(e)
}

// stop ends a run that no caller waits for. A run with a ticket that has begun
// continues, so that the ledger records its actual result.
func (r *run) stop(e *verdict.Error) {
	if r.refuse(e) || !r.ticketed() {
		r.cancel(e)
	}
}

// lateAnswerTimeout is how long a run with a ticket that has begun may continue
// after its deadline, so that the ledger learns whether a filing succeeded.
const lateAnswerTimeout = 30 * time.Second

// expire ends the run at its deadline, or lateAnswerTimeout later if it has a
// ticket and has begun.
func (r *run) expire() {
	e := verdict.Refuse(http.StatusGatewayTimeout, verdict.ReasonDeadline, "the deadline passed")
	r.stop(e)
	if r.ticketed() {
		time.AfterFunc(lateAnswerTimeout, func() { r.cancel(e) })
	}
}

// callEnded reports whether the run has its final answer and no longer uses the
// backend server.
func (r *run) callEnded() bool {
	select {
	case <-r.state.Finished():
		return true
	default:
		return false
	}
}

// runTable holds the open runs and, for the grace period, the streams that have
// ended.
type runTable struct {
	mu   sync.Mutex
	runs map[runKey]*run
	// active holds every run until it is settled, including a run that a later
	// attempt has replaced in runs.
	active map[*run]struct{}
}

func newRunTable() *runTable {
	return &runTable{runs: map[runKey]*run{}, active: map[*run]struct{}{}}
}

// add adds r and returns the run that it replaced, if any. If the table has a
// run with the same key and the same or a later attempt, add returns that run
// as existing and does not add r.
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

// settle records that a run has ended and released its slot.
func (t *runTable) settle(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.callActive = false
	delete(t.active, r)
}

// openCount returns the number of runs that have not been settled.
func (t *runTable) openCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.active)
}

func (t *runTable) openRuns() []*run {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*run, 0, len(t.active))
	for r := range t.active {
		out = append(out, r)
	}
	return out
}

// startCall records that a run is about to call the given server start, with some of its
// fingerprints under suspicion.
func (t *runTable) startCall(r *run, serverStart string, tried []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.callActive, r.serverStart, r.startedAt, r.tried = true, serverStart, time.Now(), tried
}

// blame describes a run that was in flight when the server of an agent crashed.
func (t *runTable) blame(r *run, agent fleet.ProcessID, serverStart string) quarantine.Blame {
	t.mu.Lock()
	defer t.mu.Unlock()
	return quarantine.Blame{
		Request: r.submit.Fingerprint, Properties: r.submit.Properties, Account: r.submit.Account,
		Tried: r.tried, Agent: agent, ServerStart: serverStart, Begun: true,
	}
}

// lastCall returns the server start that a run called and the time of the
// call. The time is zero if the run has not called the server.
func (t *runTable) lastCall(r *run) (serverStart string, begun time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.serverStart, r.startedAt
}

// inFlight returns the runs with an open call to the given server start.
func (t *runTable) inFlight(serverStart string) []*run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*run
	for r := range t.active {
		if r.callActive && r.serverStart == serverStart && r.state.State() != ledger.Queued {
			out = append(out, r)
		}
	}
	return out
}

// addWatcher records that a stream waits for the run, and stops the grace
// timer.
func (r *run) addWatcher() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.watchers++
	if r.graceTimer != nil {
		r.graceTimer.Stop()
		r.graceTimer = nil
	}
}

// removeWatcher records that a stream stopped waiting for the run. When the
// last one stops, the run ends after the grace period, or immediately if grace
// is zero.
func (r *run) removeWatcher(grace time.Duration, e *verdict.Error) {
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
	r.graceTimer = time.AfterFunc(grace, func() { r.graceExpired(e) })
}

func (r *run) graceExpired(e *verdict.Error) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.watchers == 0 {
		r.stop(e)
	}
}
