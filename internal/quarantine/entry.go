package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// maxCrashes bounds the crashes kept per fingerprint. The lowest in order are
// kept, so that the result does not depend on the order of merges.
const maxCrashes = 8

// entry is what is known of one fingerprint. Crashes are sorted and distinct.
type entry struct {
	account fleet.ClientAccount
	crashes []wire.Crash
	lifts   uint32
	expires time.Time
}

func (e *entry) export(fingerprint uint64, now time.Time) wire.Suspicion {
	return wire.Suspicion{
		Fingerprint: fingerprint,
		Account:     e.account,
		Crashes:     slices.Clone(e.crashes),
		Remaining:   e.expires.Sub(now).Milliseconds(),
		Lifts:       e.lifts,
	}
}

// find returns the entry that has not expired, or nil.
func (r *Registry) find(fingerprint uint64) *entry {
	e := r.entries[fingerprint]
	if e != nil && !r.now().Before(e.expires) {
		delete(r.entries, fingerprint)
		return nil
	}
	return e
}

func (r *Registry) lift(fingerprint uint64, e *entry) wire.Suspicion {
	now := r.now()
	e.lifts++
	e.crashes = nil
	// A cleared entry outlives every copy of the crashes that it voids.
	e.expires = now.Add(lifetime)
	return e.export(fingerprint, now)
}

// merge adds s and tells whether crashes or lifts changed. A longer remaining
// time alone is kept but is not news, so that suspicions do not circulate.
func (r *Registry) merge(s wire.Suspicion) (*entry, bool) {
	remaining := min(time.Duration(s.Remaining)*time.Millisecond, lifetime)
	e := r.find(s.Fingerprint)
	if s.Remaining <= 0 {
		return e, false
	}
	known := e != nil
	if !known {
		e = &entry{account: s.Account, lifts: s.Lifts}
		r.entries[s.Fingerprint] = e
	}
	changed := e.add(s) || !known
	if len(e.crashes) > 0 {
		r.proven.remove(s.Fingerprint)
	}
	e.account = max(e.account, s.Account)
	if until := r.now().Add(remaining); until.After(e.expires) {
		e.expires = until
	}
	if len(r.entries) > maxEntries {
		r.evict()
	}
	_, kept := r.entries[s.Fingerprint]
	return e, changed && kept
}

// add merges crashes and lifts: a higher lift count replaces the crashes, an
// equal one unites them, a lower one is void.
func (e *entry) add(s wire.Suspicion) bool {
	if s.Lifts < e.lifts {
		return false
	}
	changed := s.Lifts > e.lifts
	if changed {
		e.lifts, e.crashes = s.Lifts, nil
	}
	before := slices.Clone(e.crashes)
	e.crashes = slices.Concat(e.crashes, s.Crashes)
	slices.SortFunc(e.crashes, compareCrash)
	e.crashes = slices.Compact(e.crashes)
	if len(e.crashes) > maxCrashes {
		e.crashes = e.crashes[:maxCrashes]
	}
	return changed || !slices.Equal(before, e.crashes)
}

// evict drops the entry that restricts least.
func (r *Registry) evict() {
	var worst uint64
	var found *entry
	for fingerprint, e := range r.entries {
		if found == nil || compareWeight(e, fingerprint, found, worst) < 0 {
			worst, found = fingerprint, e
		}
	}
	delete(r.entries, worst)
}

func compareWeight(a *entry, af uint64, b *entry, bf uint64) int {
	return cmp.Or(
		cmp.Compare(min(len(a.crashes), quarantineCrashes), min(len(b.crashes), quarantineCrashes)),
		a.expires.Compare(b.expires),
		cmp.Compare(af, bf),
	)
}

func compareCrash(a, b wire.Crash) int {
	return cmp.Or(cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.ServerStart, b.ServerStart))
}

func compareFingerprint(a, b wire.Suspicion) int {
	return cmp.Compare(a.Fingerprint, b.Fingerprint)
}
