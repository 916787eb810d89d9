package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// The functions in this file handle requests that have several fingerprints: that of the
// whole request, and those of properties which it shares with other requests.

// Check returns the most restricted state of the fingerprints of a request, and those
// that are under suspicion.
func (r *Registry) Check(fingerprints []uint64) (State, []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) == 0 {
		return Clear, nil
	}
	worst := Clear
	var suspects []uint64
	for _, f := range fingerprints {
		state := r.stateOf(f)
		worst = max(worst, state)
		if state == Suspect {
			suspects = append(suspects, f)
		}
	}
	return worst, suspects
}

// AddCrashes records that a server crashed while it ran a request with the fingerprints.
// A fingerprint that is known to be safe does not become suspect, because many requests
// share it; it is returned in doubted and has to prove itself again, in all processes.
// Both results must be published.
func (r *Registry) AddCrashes(fingerprints []uint64, account fleet.ClientAccount, crash wire.Crash) (suspicions []wire.Suspicion, doubted []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range fingerprints {
		if r.stateOf(f) != Clear || !r.knownSafe.has(f) {
			suspicions = append(suspicions, r.addCrash(f, account, crash))
			continue
		}
		if !crash.NotBegun {
			r.knownSafe.remove(f)
			doubted = append(doubted, f)
		}
	}
	r.confirm(fingerprints)
	return suspicions, doubted
}

// RecordSuccesses records that a server answered a request with the fingerprints. It
// returns the suspicions that this cleared, which must be published.
func (r *Registry) RecordSuccesses(fingerprints []uint64) []wire.Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cleared []wire.Suspicion
	for _, f := range fingerprints {
		if s, ok := r.recordSuccess(f); ok {
			cleared = append(cleared, s)
		}
	}
	return cleared
}

// Receive merges suspicions and doubted fingerprints from another process. It clears new
// suspicions of fingerprints that this process knows to be safe, and returns these, which
// must be published. changed reports whether any state may have changed. A fingerprint
// that is cleared in this way has to prove itself again: it may have become unsafe.
func (r *Registry) Receive(suspicions []wire.Suspicion, doubted []uint64) (cleared []wire.Suspicion, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var safe, merged []uint64
	for _, s := range suspicions {
		if r.stateOf(s.Fingerprint) == Clear && r.knownSafe.has(s.Fingerprint) {
			safe = append(safe, s.Fingerprint)
		}
		if _, updated := r.merge(s); updated {
			merged = append(merged, s.Fingerprint)
		}
	}
	r.confirm(merged)
	for _, f := range safe {
		if e := r.find(f); e != nil && r.state(e) == Suspect {
			cleared = append(cleared, r.lift(f, e))
		}
	}
	for _, f := range doubted {
		r.knownSafe.remove(f)
	}
	return cleared, len(merged) > 0
}

// digestLifetime is how long a digest is reused although suspicions may have expired.
const digestLifetime = time.Second

// Digest returns a hash of all suspicions without their remaining times. It is 0 if
// there are none.
func (r *Registry) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if !r.digestAt.IsZero() && now.Sub(r.digestAt) < digestLifetime {
		return r.digest
	}
	r.digest, r.digestAt = 0, now
	for f := range r.entries {
		if e := r.find(f); e != nil {
			r.digest ^= e.digest(f)
		}
	}
	return r.digest
}

func (e *entry) digest(fingerprint uint64) uint64 {
	d := xxhash.New()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], fingerprint)
	_, _ = d.Write(number[:])
	binary.LittleEndian.PutUint32(number[:4], e.lifts)
	_, _ = d.Write(number[:4])
	for _, c := range e.crashes {
		_, _ = d.WriteString(string(c.Agent))
		_, _ = d.Write([]byte{0, flag(c.NotBegun), flag(c.BeforeSuspicion)})
		_, _ = d.WriteString(c.ServerStart)
	}
	return d.Sum64()
}

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// MostRestricted returns at most n suspicions, those with the most restricted state
// first, and among these a random choice.
func (r *Registry) MostRestricted(n int) []wire.Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	byState := map[State][]uint64{}
	for f := range r.entries { // in random order
		if e := r.find(f); e != nil {
			byState[r.state(e)] = append(byState[r.state(e)], f)
		}
	}
	var out []wire.Suspicion
	for _, f := range slices.Concat(byState[Quarantined], byState[Suspect], byState[Clear]) {
		if len(out) == n {
			break
		}
		out = append(out, r.entries[f].toSuspicion(f, r.now()))
	}
	return out
}
