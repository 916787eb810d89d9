// Package quarantine keeps track of requests during whose run backend servers
// ended, so that one request cannot end them all.
package quarantine

import (
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// State tells how a request with a fingerprint is treated.
type State int

// States of a fingerprint.
const (
	// Clear requests run without restriction.
	Clear State = iota
	// Suspect requests run on a backend server only with no other suspect.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// Registry holds suspicions. It is safe for concurrent use.
type Registry struct{}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{} }

// Fingerprint identifies requests of an account with the same content.
func Fingerprint(account fleet.ClientAccount, body []byte) uint64 { return 0 }

// Blame adds a crash to a fingerprint and returns the suspicion to publish.
func (r *Registry) Blame(fingerprint uint64, account fleet.ClientAccount, crash wire.Crash) wire.Suspicion {
	return wire.Suspicion{}
}

// State returns how requests with the fingerprint are treated.
func (r *Registry) State(fingerprint uint64) State { return Clear }

// Succeeded clears a suspicion of a single crash; ok is false if there was
// none. The returned suspicion is to be published.
func (r *Registry) Succeeded(fingerprint uint64) (s wire.Suspicion, ok bool) {
	return wire.Suspicion{}, false
}

// Lift clears a fingerprint on an operator's order; ok is false if it is not
// known. The returned suspicion is to be published.
func (r *Registry) Lift(fingerprint uint64) (s wire.Suspicion, ok bool) {
	return wire.Suspicion{}, false
}

// Merge adds suspicions from other processes and returns those that changed
// something, for passing on.
func (r *Registry) Merge(suspicions []wire.Suspicion) []wire.Suspicion { return nil }

// List returns all suspicions that have not expired.
func (r *Registry) List() []wire.Suspicion { return nil }
