package agent

import (
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/ledger"
	"github.com/coltsfootbay/coltsfootbay/internal/outlier"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// silenceLimit is how long a server with open runs may send nothing before a
// run whose deadline passes counts as failed. It is many steps of an engine.
const silenceLimit = 500 * time.Millisecond

// outcomes counts how the runs of the present server start ended.
type outcomes struct {
	mu          sync.Mutex
	serverStart string
	share       outlier.FailureRate
	failed      uint64
	// progress is when the server last sent a part of any answer.
	progress time.Time
}

// progressed notes that the server sent a part of an answer.
func (o *outcomes) progressed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.progress = time.Now()
}

// silentSince reports whether the server sent nothing since the given time and
// for at least silenceLimit.
func (o *outcomes) silentSince(begun time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(begun) >= silenceLimit && time.Since(o.progress) >= silenceLimit
}

func (o *outcomes) ended(serverStart string, failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.serverStart != serverStart {
		o.serverStart, o.share, o.failed = serverStart, 0, 0
	}
	o.share.Record(failed)
	if failed {
		o.failed++
	}
}

// report returns the share and the number of failed runs of a server start.
func (o *outcomes) report(serverStart string) (float64, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.serverStart != serverStart {
		return 0, 0
	}
	return float64(o.share), o.failed
}

// noteOutcome counts a run that began. Crashes are left to the quarantine, and
// refusals and callers that left say nothing about the server.
func (a *agent) noteOutcome(r *run, answer ledger.Answer) {
	serverStart, begun := a.runs.callOf(r)
	switch e := answer.Err; {
	case begun.IsZero() || serverStart != a.server.snapshot().start:
	case e == nil:
		a.outcomes.progressed()
		a.outcomes.ended(serverStart, false)
	case e.Verdict == verdict.NotRun:
	case e.Reason == verdict.ReasonServerFailed,
		e.Reason == verdict.ReasonDeadline && a.outcomes.silentSince(begun):
		a.outcomes.ended(serverStart, true)
	}
}
