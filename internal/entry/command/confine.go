package command

import (
	"context"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/routing"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// suspicionPropagationWait is how long a suspected request waits if the servers
// that it is confined to are down. A server's crash is reported before the
// resulting suspicion, which takes up to the 300 ms of link.PublishSuspicions.
const suspicionPropagationWait = 300 * time.Millisecond

// confine restricts the agents of the next attempt, so that a request that
// crashes its server crashes at most two. It refuses the request once it is
// quarantined.
func (a *attempts) confine(ctx context.Context) *verdict.Error {
	a.updateConfinement()
	if a.query.Confinement == routing.Suspected && !routing.ConfinedAgentReady(a.commands.View.Agents(), a.query) {
		if !wait(ctx, suspicionPropagationWait) {
			return deadlineOrCanceled(ctx)
		}
		a.updateConfinement()
	}
	return a.commands.admitFingerprint(a.call)
}

// updateConfinement sets the confinement from the current state of the
// quarantine.
func (a *attempts) updateConfinement() {
	registry := a.commands.Quarantine
	state, suspects := registry.Check(a.call.fingerprints())
	a.query.Fingerprint = a.call.Fingerprint
	switch {
	case state != quarantine.Clear:
		if len(suspects) > 0 {
			// Requests with the same suspect property are confined to the same agents.
			a.query.Fingerprint = suspects[0]
		}
		a.query.Confinement, a.query.CrashedAgents = routing.Suspected, registry.CrashedAgents(a.query.Fingerprint)
	case registry.KnownSafe(a.call.Fingerprint):
		a.query.Confinement = routing.Unconfined
	default:
		a.query.Confinement = routing.Untried
	}
}
