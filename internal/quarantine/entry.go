package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// maxCrashes bounds the crashes kept per fingerprint. Those that sort first are
// kept, which makes the result independent of the order of merges.
const maxCrashes = 8

// maxMembers bounds the members of an entry.
const maxMembers = 64

// entry holds the crashes attributed to one fingerprint, sorted and distinct.
type entry struct {
	account fleet.ClientAccount
	crashes []wire.Crash
	lifts   uint32
	expires time.Time
	// members is set if the entry applies to a set of fingerprints; see
	// wire.Suspicion.Members.
	members []uint64
	// confirmed is true once the crashes amounted to a quarantine.
	confirmed bool
}

func (e *entry) toSuspicion(fingerprint uint64, now time.Time) wire.Suspicion {
	return wire.Suspicion{
		Fingerprint: fingerprint,
		Account:     e.account,
		Crashes:     slices.Clone(e.crashes),
		Remaining:   e.expires.Sub(now).Milliseconds(),
		Lifts:       e.lifts,
		Members:     e.members,
	}
}

// find returns the entry of a fingerprint, or nil if there is none or it expired.
func (r *Registry) find(fingerprint uint64) *entry {
	e := r.entries[fingerprint]
	if e != nil && !r.now().Before(e.expires) {
		r.delete(fingerprint)
		return nil
	}
	return e
}

func (r *Registry) delete(fingerprint uint64) {
	delete(r.entries, fingerprint)
	delete(r.joint, fingerprint)
}

func (r *Registry) lift(fingerprint uint64, e *entry) wire.Suspicion {
	now := r.now()
	r.digestAt = time.Time{}
	e.lifts++
	e.crashes, e.confirmed = nil, false
	// The cleared entry must be kept longer than every copy of the crashes that
	// it invalidates.
	e.expires = now.Add(SuspicionLifetime)
	return e.toSuspicion(fingerprint, now)
}

// liftBegun clears the crashes that a begun response disproves: those before its events. It
// returns false if there are none.
func (r *Registry) liftBegun(fingerprint uint64, e *entry) (s wire.Suspicion, ok bool) {
	streamed := slices.DeleteFunc(slices.Clone(e.crashes), func(c wire.Crash) bool { return c.Streamed == 0 })
	if len(streamed) == len(e.crashes) {
		return wire.Suspicion{}, false
	}
	r.lift(fingerprint, e)
	e.crashes = streamed
	return e.toSuspicion(fingerprint, r.now()), true
}

// merge merges s into the registry. It returns the entry and whether its crashes or
// lifts changed. A longer remaining time is stored but not reported as a change;
// otherwise processes would forward suspicions to each other without end.
func (r *Registry) merge(s wire.Suspicion) (*entry, bool) {
	remaining := min(time.Duration(s.Remaining)*time.Millisecond, SuspicionLifetime)
	e := r.find(s.Fingerprint)
	if s.Remaining <= 0 {
		return e, false
	}
	known := e != nil
	if !known {
		e = &entry{account: s.Account, lifts: s.Lifts, members: s.Members[:min(len(s.Members), maxMembers)]}
		r.entries[s.Fingerprint] = e
		if len(e.members) > 0 {
			r.joint[s.Fingerprint] = struct{}{}
		}
	}
	for _, c := range s.Crashes {
		r.noteCrash(c)
	}
	changed := e.add(s) || !known
	if changed {
		r.digestAt = time.Time{}
	}
	if len(e.crashes) > 0 {
		r.knownSafe.remove(s.Fingerprint)
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

// add merges the crashes and lifts of s and reports whether the entry changed. A
// higher lift count replaces the crashes, an equal one adds to them, and s is
// ignored if its count is lower.
func (e *entry) add(s wire.Suspicion) bool {
	if s.Lifts < e.lifts {
		return false
	}
	changed := s.Lifts > e.lifts
	if changed {
		e.lifts, e.crashes, e.confirmed = s.Lifts, nil, false
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

// evict deletes the entry that ranks lowest by compareRestriction.
func (r *Registry) evict() {
	var leastFingerprint uint64
	var least *entry
	for fingerprint, e := range r.entries {
		if least == nil || r.compareRestriction(e, fingerprint, least, leastFingerprint) < 0 {
			leastFingerprint, least = fingerprint, e
		}
	}
	r.delete(leastFingerprint)
}

func (r *Registry) compareRestriction(a *entry, fingerprintA uint64, b *entry, fingerprintB uint64) int {
	return cmp.Or(
		cmp.Compare(r.state(a), r.state(b)),
		a.expires.Compare(b.expires),
		cmp.Compare(fingerprintA, fingerprintB),
	)
}

func compareCrash(a, b wire.Crash) int {
	return cmp.Or(
		cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.ServerStart, b.ServerStart),
		compareBool(a.BeforeSuspicion, b.BeforeSuspicion), compareBool(a.NotBegun, b.NotBegun),
		cmp.Compare(a.Unproven, b.Unproven), compareBool(a.Conclusive, b.Conclusive), cmp.Compare(a.Streamed, b.Streamed),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func compareFingerprint(a, b wire.Suspicion) int {
	return cmp.Compare(a.Fingerprint, b.Fingerprint)
}
