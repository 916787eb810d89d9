package command

import (
	"context"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/routing"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// suspicionSettle is how long a suspect waits when the servers it is confined
// to are down. A server's end is reported before the suspicion that it raises,
// which takes at most the 300 ms of link.PublishSuspicions.
const suspicionSettle = 300 * time.Millisecond

// confine limits where the next attempt may run, so that a request that ends
// its server ends at most two. It refuses the request once it is quarantined.
func (a *attempts) confine(ctx context.Context) *verdict.Error {
	a.limit()
	if a.query.Confinement == routing.Suspected && !routing.ConfinedAgentReady(a.commands.View.Agents(), a.query) {
		if !wait(ctx, suspicionSettle) {
			return deadlineOrCanceled(ctx)
		}
		a.limit()
	}
	return a.commands.admitFingerprint(a.call)
}

// limit takes over what is known about the request now.
func (a *attempts) limit() {
	registry, fingerprint := a.commands.Quarantine, a.call.Fingerprint
	switch {
	case registry.State(fingerprint) != quarantine.Clear:
		a.query.Confinement, a.query.CrashedAgents = routing.Suspected, registry.CrashedAgents(fingerprint)
	case registry.KnownSafe(fingerprint):
		a.query.Confinement = routing.Unconfined
	default:
		a.query.Confinement = routing.Untried
	}
}
