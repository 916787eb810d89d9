package agent

import (
	"context"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// connectionBroken finds out whether a broken connection means that the server
// start ended, blames the requests in flight if so, and returns the failure to
// answer with.
func (a *agent) connectionBroken(r *run, cause error) *verdict.Error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	a.probe(ctx, 1)
	s := a.server.snapshot()
	if s.up && s.start == r.serverStart {
		return verdict.Uncertain(verdict.ReasonServerFailed, "the backend server broke the connection: %v", cause)
	}
	a.blame(ctx, r.serverStart)
	return crashError()
}

// blame raises suspicions for a crashed server start once and returns after
// the entry VMs know them, so that no entry VM retries without that knowledge.
func (a *agent) blame(ctx context.Context, serverStart string) {
	a.server.crashMu.Lock()
	defer a.server.crashMu.Unlock()
	if a.server.blamed == serverStart {
		return
	}
	a.server.blamed = serverStart
	var suspicions []wire.Suspicion
	for _, r := range a.suspects(a.runs.inFlight(serverStart)) {
		crash := wire.Crash{Agent: a.process, ServerStart: serverStart}
		suspicions = append(suspicions, a.quarantine.AddCrash(r.submit.Fingerprint, r.submit.Account, crash))
		a.recorder.Record("request.suspected", r.submit.Request, events.F("server_start", serverStart))
	}
	a.recorder.Record("server.crashed", "", events.F("server_start", serverStart), events.F("suspects", len(suspicions)))
	if len(suspicions) > 0 {
		a.links.PublishSuspicions(context.WithoutCancel(ctx), suspicions)
	}
}

// suspects returns the known suspects among the runs, or all if there are none.
func (a *agent) suspects(runs []*run) []*run {
	var known []*run
	for _, r := range runs {
		if a.quarantine.State(r.submit.Fingerprint) != quarantine.Clear {
			known = append(known, r)
		}
	}
	if len(known) > 0 {
		return known
	}
	return runs
}

// succeeded clears the suspicion that a request crashes its server.
func (a *agent) succeeded(r *run) {
	if s, ok := a.quarantine.Succeeded(r.submit.Fingerprint); ok {
		a.recorder.Record("request.cleared", r.submit.Request)
		go a.links.PublishSuspicions(context.Background(), []wire.Suspicion{s})
	}
}
