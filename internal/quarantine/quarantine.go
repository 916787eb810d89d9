// Package quarantine records which requests were running when backend servers
// crashed, and decides whether further requests with the same fingerprint may
// run. This prevents one request, or requests that share a property, from crashing
// all servers. A fingerprint identifies a whole request or one such property.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// State determines how requests with a fingerprint are treated.
type State int

// Values of State.
const (
	// Clear requests run without restriction.
	Clear State = iota
	// Suspect requests run on a backend server only while no other suspect request
	// runs on it.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

const (
	// SuspicionLifetime is the time after its last change at which a suspicion
	// expires.
	SuspicionLifetime = 10 * time.Minute
	// conclusiveLifetime is the time for which conclusive evidence from a single crash
	// quarantines. After it, one request is tried.
	conclusiveLifetime = 30 * time.Second
	// forgottenLifetime is the same for a crash before which others may have been
	// forgotten. It bounds how long a sound request is refused whose server crashed.
	forgottenLifetime = 2 * time.Minute
	// quarantineCrashes is the number of distinct crashes from which on a
	// fingerprint is quarantined.
	quarantineCrashes = 2
	// unconfirmedCrashes is the same number for a property, which requests of all
	// accounts may have, if no crash happened under suspicion.
	unconfirmedCrashes = 3
	// maxEntries bounds the entries of the registry. Beyond it the entry with the
	// fewest crashes, and among those the one that expires first, is deleted.
	maxEntries = 4096
)

// Registry holds the suspicions that this process knows. It is safe for
// concurrent use.
type Registry struct {
	now     func() time.Time
	started time.Time

	mu      sync.Mutex
	entries map[uint64]*entry
	// knownSafe holds the fingerprints of recently completed requests.
	knownSafe recentMap[uint64, struct{}]
	// joint holds the fingerprints of the entries with members.
	joint map[uint64]struct{}
	// crashes holds what is known of recent crashes.
	crashes recentMap[crashID, crashInfo]
	// lastCrash is when this process learned of the last crash.
	lastCrash time.Time
	// digest is the result of Digest at digestAt; it is zero after a change.
	digest   uint64
	digestAt time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		now: time.Now, started: time.Now(), entries: map[uint64]*entry{}, knownSafe: newRecentMap[uint64, struct{}](),
		joint: map[uint64]struct{}{}, crashes: newRecentMap[crashID, crashInfo](),
	}
}

// Fingerprint returns a 64-bit hash of a client account and the contents of a request,
// which identifies requests of an account with the same contents.
func Fingerprint(account fleet.ClientAccount, contents ...[]byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(account))
	for _, content := range contents {
		_, _ = d.Write([]byte{0})
		_, _ = d.Write(content)
	}
	return d.Sum64()
}

// PropertyFingerprint returns a 64-bit hash that identifies the requests of all accounts
// that have the same value of a property.
func PropertyFingerprint(property, value string) uint64 {
	d := xxhash.New()
	// No account begins with a zero byte.
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(property)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(value)
	return d.Sum64()
}

// addCrash adds a crash to a fingerprint and returns the suspicion to publish.
func (r *Registry) addCrash(fingerprint uint64, account fleet.ClientAccount, crash wire.Crash) wire.Suspicion {
	s := wire.Suspicion{
		Fingerprint: fingerprint,
		Account:     account,
		Crashes:     []wire.Crash{crash},
		Remaining:   SuspicionLifetime.Milliseconds(),
	}
	if e := r.find(fingerprint); e != nil {
		s.Lifts = e.lifts
	}
	merged, _ := r.merge(s)
	return merged.toSuspicion(fingerprint, r.now())
}

// State returns how requests with the fingerprint are treated.
func (r *Registry) State(fingerprint uint64) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stateOf(fingerprint)
}

func (r *Registry) stateOf(fingerprint uint64) State {
	if e := r.find(fingerprint); e != nil {
		return r.state(e)
	}
	return Clear
}

// Counts returns the numbers of suspect and of quarantined fingerprints.
func (r *Registry) Counts() (suspected, quarantined int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for fingerprint := range r.entries {
		switch r.stateOf(fingerprint) {
		case Quarantined:
			quarantined++
		case Suspect:
			suspected++
		}
	}
	return suspected, quarantined
}

// KnownSafe reports whether a request with the fingerprint recently completed
// without a later crash. Only completions recorded by this process count.
func (r *Registry) KnownSafe(fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stateOf(fingerprint) == Clear && r.knownSafe.has(fingerprint)
}

// CrashedAgents returns the agents whose servers crashed while running a request
// with the fingerprint.
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

// recordSuccess records that a server has begun to answer a request with the fingerprint,
// and clears what that disproves of a suspicion that is not confirmed. It returns the
// suspicion that is left, or false if nothing was cleared.
func (r *Registry) recordSuccess(fingerprint uint64) (s wire.Suspicion, ok bool) {
	r.knownSafe.set(fingerprint, struct{}{})
	e := r.find(fingerprint)
	if e == nil || r.state(e) != Suspect {
		return wire.Suspicion{}, false
	}
	return r.liftBegun(fingerprint, e)
}

// Lift clears the crashes of a fingerprint at an operator's request. It returns the
// cleared suspicion, which must be published, or false if the fingerprint has no
// crashes.
func (r *Registry) Lift(fingerprint uint64) (s wire.Suspicion, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.find(fingerprint)
	if e == nil || len(e.crashes) == 0 {
		return wire.Suspicion{}, false
	}
	return r.lift(fingerprint, e), true
}

// List returns all suspicions that have not expired, sorted by fingerprint. It
// includes cleared ones, because their lift count invalidates older crashes in
// other processes.
func (r *Registry) List() []wire.Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	list := make([]wire.Suspicion, 0, len(r.entries))
	for fingerprint, e := range r.entries {
		if !now.Before(e.expires) {
			r.delete(fingerprint)
			continue
		}
		list = append(list, e.toSuspicion(fingerprint, now))
	}
	slices.SortFunc(list, compareFingerprint)
	return list
}
