package agent

import (
	"context"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// diagnoseBrokenConnection probes the backend server after a connection broke.
// If the server has crashed or restarted, it reports the crash. It returns the
// error to answer the request with.
func (a *agent) diagnoseBrokenConnection(r *run, cause error) *verdict.Error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	a.probe(ctx, 1)
	s := a.server.snapshot()
	if s.up && s.start == r.serverStart {
		return verdict.Uncertain(verdict.ReasonServerFailed, "the backend server broke the connection: %v", cause)
	}
	a.reportCrash(ctx, r.serverStart)
	return crashError()
}

// reportCrash records suspicions against the requests that were running when
// the given server start crashed, once for each start. It returns after the
// suspicions were published, because an entry VM that does not know of them could
// retry the request on another server.
func (a *agent) reportCrash(ctx context.Context, serverStart string) {
	a.server.crashMu.Lock()
	defer a.server.crashMu.Unlock()
	if a.server.crashedStart == serverStart {
		return
	}
	a.server.crashedStart = serverStart
	var suspicions []wire.Suspicion
	for _, r := range a.suspects(a.runs.inFlight(serverStart)) {
		suspicions = append(suspicions, a.quarantine.AddBlame(a.runs.blame(r, a.process, serverStart)).Suspicions...)
		a.recorder.Record("request.suspected", r.submit.Request, events.F("server_start", serverStart))
	}
	a.recorder.Record("server.crashed", "", events.F("server_start", serverStart), events.F("suspects", len(suspicions)))
	if len(suspicions) > 0 {
		a.links.PublishSuspicions(context.WithoutCancel(ctx), suspicions)
	}
}

// suspects returns those runs whose requests are already under suspicion, or
// all runs if there are none.
func (a *agent) suspects(runs []*run) []*run {
	var suspected []*run
	for _, r := range runs {
		if state, _ := a.quarantine.Check(r.submit.Fingerprints()); state != quarantine.Clear {
			suspected = append(suspected, r)
		}
	}
	if len(suspected) > 0 {
		return suspected
	}
	return runs
}

// clearSuspicion clears the suspicion against a request that completed.
func (a *agent) clearSuspicion(r *run) {
	if cleared := a.quarantine.RecordSuccesses(r.submit.Fingerprints()); len(cleared) > 0 {
		a.recorder.Record("request.cleared", r.submit.Request)
		go a.links.PublishSuspicions(context.Background(), cleared)
	}
}
