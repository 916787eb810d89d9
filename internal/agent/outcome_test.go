package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/ledger"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// Guards against counting crashes, refusals, caller disconnects and deadlines
// on a busy server as failures of the server, and against actual failures that
// are not counted.
func TestOutcomesThatCountAsFailures(t *testing.T) {
	crash, disconnect := crashError(), verdict.Uncertain(verdict.ReasonCanceled, "left")
	deadline, failed := verdict.Uncertain(verdict.ReasonDeadline, "late"), verdict.Uncertain(verdict.ReasonServerFailed, "broken")
	refused := verdict.Refuse(503, verdict.ReasonServerFailed, "down")
	for _, c := range []struct {
		name    string
		err     *verdict.Error
		silence time.Duration
		failed  uint64
	}{
		{"answer", nil, 0, 0}, {"crash", crash, 0, 0}, {"refused", refused, 0, 0}, {"left", disconnect, time.Hour, 0},
		{"busy", deadline, 0, 0}, {"silent", deadline, time.Hour, 1}, {"broken", failed, 0, 1},
	} {
		is := is.New(t)
		a := &agent{server: &server{state: serverState{up: true, start: "1"}}, runs: newRunTable()}
		a.outcomes.progress = time.Now().Add(-c.silence)
		r := &run{serverStart: "1", startedAt: time.Now().Add(-time.Minute)}
		a.recordOutcome(r, ledger.Answer{Err: c.err})
		_, n := a.outcomes.report("1")
		is.Equal(n, c.failed)
		_, n = a.outcomes.report("2")
		is.Equal(n, uint64(0)) // a new server start has no failures
	}
}
