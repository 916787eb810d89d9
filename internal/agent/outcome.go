package agent

import (
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/ledger"
	"github.com/coltsfootbay/coltsfootbay/internal/outlier"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// noProgressLimit is how long a server with open runs may send nothing before a
// run that reaches its deadline counts as failed. It spans many steps of an
// engine.
const noProgressLimit = 500 * time.Millisecond

// runOutcomes counts the failed runs of the current server start.
type runOutcomes struct {
	mu          sync.Mutex
	serverStart string
	failureRate outlier.FailureRate
	failed      uint64
	// progress is the time when the server last sent a part of any answer.
	progress time.Time
}

// recordProgress records that the server sent a part of an answer.
func (o *runOutcomes) recordProgress() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.progress = time.Now()
}

// noProgressSince reports whether a run that began at the given time is at least
// noProgressLimit old and the server has sent nothing for that long.
func (o *runOutcomes) noProgressSince(begun time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(begun) >= noProgressLimit && time.Since(o.progress) >= noProgressLimit
}

// record counts a run that ended on the given server start. A new server start
// resets the counts.
func (o *runOutcomes) record(serverStart string, failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.serverStart != serverStart {
		o.serverStart, o.failureRate, o.failed = serverStart, 0, 0
	}
	o.failureRate.Record(failed)
	if failed {
		o.failed++
	}
}

// report returns the failure rate, from 0 to 1, and the number of failed runs
// of a server start. Both are 0 unless it is the current start.
func (o *runOutcomes) report(serverStart string) (float64, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.serverStart != serverStart {
		return 0, 0
	}
	return float64(o.failureRate), o.failed
}

// recordOutcome counts a run that began as succeeded or failed. It does not
// count crashes, which the quarantine handles, or refusals and caller
// disconnects, which are not failures of the server.
func (a *agent) recordOutcome(r *run, answer ledger.Answer) {
	serverStart, begun := a.runs.lastCall(r)
	switch e := answer.Err; {
	case begun.IsZero() || serverStart != a.server.snapshot().start:
	case e == nil:
		a.outcomes.recordProgress()
		a.outcomes.record(serverStart, false)
	case e.Verdict == verdict.NotRun:
	case e.Reason == verdict.ReasonServerFailed,
		e.Reason == verdict.ReasonDeadline && a.outcomes.noProgressSince(begun):
		a.outcomes.record(serverStart, true)
	}
}
