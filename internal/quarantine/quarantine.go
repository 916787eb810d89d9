// Package quarantine keeps track of requests during whose run backend servers
// ended, so that one request cannot end them all.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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

const (
	// lifetime is how long a suspicion lasts after its last change.
	lifetime = 10 * time.Minute
	// quarantineCrashes is the number of distinct crashes that quarantine.
	quarantineCrashes = 2
	// maxEntries bounds the registry. At the bound the entry with the fewest
	// crashes, and among those the one that expires first, is dropped.
	maxEntries = 4096
)

// Registry holds suspicions. It is safe for concurrent use.
type Registry struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[uint64]*entry
	proven  proven
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{now: time.Now, entries: map[uint64]*entry{}, proven: newProven()}
}

// Fingerprint identifies requests of an account with the same content.
func Fingerprint(account fleet.ClientAccount, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(account))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// AddCrash adds a crash to a fingerprint and returns the suspicion to publish.
func (r *Registry) AddCrash(fingerprint uint64, account fleet.ClientAccount, crash wire.Crash) wire.Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := wire.Suspicion{
		Fingerprint: fingerprint,
		Account:     account,
		Crashes:     []wire.Crash{crash},
		Remaining:   lifetime.Milliseconds(),
	}
	if e := r.find(fingerprint); e != nil {
		s.Lifts = e.lifts
	}
	merged, _ := r.merge(s)
	return merged.export(fingerprint, r.now())
}

// State returns how requests with the fingerprint are treated.
func (r *Registry) State(fingerprint uint64) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.find(fingerprint)
	switch {
	case e == nil || len(e.crashes) == 0:
		return Clear
	case len(e.crashes) < quarantineCrashes:
		return Suspect
	}
	return Quarantined
}

// Counts returns how many fingerprints are suspects and how many are
// quarantined.
func (r *Registry) Counts() (suspected, quarantined int) {
	for _, s := range r.List() {
		switch n := len(s.Crashes); {
		case n >= quarantineCrashes:
			quarantined++
		case n > 0:
			suspected++
		}
	}
	return suspected, quarantined
}

// KnownSafe reports whether a request with the fingerprint ran to its end here
// lately and no server has ended during one since.
func (r *Registry) KnownSafe(fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.find(fingerprint)
	return (e == nil || len(e.crashes) == 0) && r.proven.has(fingerprint)
}

// CrashedAgents returns the agents whose servers ended during a request with the
// fingerprint.
func (r *Registry) CrashedAgents(fingerprint uint64) []fleet.ProcessID {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.find(fingerprint)
	if e == nil {
		return nil
	}
	var out []fleet.ProcessID
	for _, c := range e.crashes {
		out = append(out, c.Agent)
	}
	return out
}

// Succeeded notes that a request ran to its end and clears a suspicion of a
// single crash; ok is false if there was none. The returned suspicion is to be
// published.
func (r *Registry) Succeeded(fingerprint uint64) (s wire.Suspicion, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proven.add(fingerprint)
	e := r.find(fingerprint)
	if e == nil || len(e.crashes) != 1 {
		return wire.Suspicion{}, false
	}
	return r.lift(fingerprint, e), true
}

// Lift clears a fingerprint on an operator's order; ok is false if it is not
// known. The returned suspicion is to be published.
func (r *Registry) Lift(fingerprint uint64) (s wire.Suspicion, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.find(fingerprint)
	if e == nil || len(e.crashes) == 0 {
		return wire.Suspicion{}, false
	}
	return r.lift(fingerprint, e), true
}

// Merge adds suspicions from other processes and returns those that changed
// something, for passing on.
func (r *Registry) Merge(suspicions []wire.Suspicion) []wire.Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []wire.Suspicion
	for _, s := range suspicions {
		if e, news := r.merge(s); news {
			changed = append(changed, e.export(s.Fingerprint, r.now()))
		}
	}
	return changed
}

// List returns all suspicions that have not expired, cleared ones included:
// their lift count voids older crashes elsewhere.
func (r *Registry) List() []wire.Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	list := make([]wire.Suspicion, 0, len(r.entries))
	for fingerprint, e := range r.entries {
		if !now.Before(e.expires) {
			delete(r.entries, fingerprint)
			continue
		}
		list = append(list, e.export(fingerprint, now))
	}
	slices.SortFunc(list, compareFingerprint)
	return list
}
