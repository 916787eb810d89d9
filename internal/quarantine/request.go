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

// Update is what processes tell each other.
type Update struct {
	Suspicions []wire.Suspicion
	// Doubted holds fingerprints that no longer count as safe, and Proven those that a
	// server has answered since a crash.
	Doubted, Proven []uint64
}

// Empty reports whether there is nothing to tell.
func (u Update) Empty() bool { return len(u.Suspicions)+len(u.Doubted)+len(u.Proven) == 0 }

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
	if worst == Suspect && r.quarantinesJointly(fingerprints) {
		worst = Quarantined
	}
	return worst, suspects
}

const (
	// alertTime is how long after a crash requests with unproven properties run one at a
	// time: while servers are down, requests with another cause of crashes may have
	// gathered.
	alertTime = time.Minute
	// startAlertTime is the same after the start of this process, which may have followed
	// crashes that it does not know of.
	startAlertTime = 20 * time.Second
)

// Unproven returns the fingerprints that are not known to be safe. It returns none if no
// crash became known within alertTime and the process has not just started.
func (r *Registry) Unproven(fingerprints []uint64) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now.Sub(r.started) > startAlertTime && (r.lastCrash.IsZero() || now.Sub(r.lastCrash) > alertTime) {
		return nil
	}
	var unproven []uint64
	for _, f := range fingerprints {
		if !r.knownSafe.has(f) {
			unproven = append(unproven, f)
		}
	}
	return unproven
}

// Blame describes a request that a server ran when it crashed.
type Blame struct {
	// Request is the fingerprint of the request, and Properties those of its properties.
	Request    uint64
	Properties []uint64
	Account    fleet.ClientAccount
	// Tried holds those fingerprints that were under suspicion when the request was
	// sent, if it was a trial.
	Tried []uint64
	// Agent and ServerStart identify the crash; see wire.Crash.
	Agent       fleet.ProcessID
	ServerStart string
	// Begun is true if the response had begun. Conclusive is true if a sound request is
	// hardly ever in that state.
	Begun, Conclusive bool
	// Streamed is set if events of the response had been sent; see wire.Crash.
	Streamed uint8
	// Forgotten is true if earlier crashes may have been forgotten, and the request was sent
	// to the server shortly before, or as the last one: a request that crashes servers does
	// so when they begin to run it.
	Forgotten bool
}

// AddBlame records that a server crashed while it ran a request. A fingerprint that is
// known to be safe does not become suspect, because many requests share it; it is returned
// as doubted and has to prove itself again, in all processes. If earlier crashes may have been
// forgotten, a suspect request is quarantined for forgottenLifetime. The result must be
// published.
func (r *Registry) AddBlame(b Blame) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	crash := wire.Crash{Agent: b.Agent, ServerStart: b.ServerStart, NotBegun: !b.Begun}
	if len(b.Tried) > 0 && b.Streamed == 0 {
		return Update{Suspicions: r.addTrialCrash(b, crash)}
	}
	crash.BeforeSuspicion = true
	var u Update
	if b.Streamed > 0 {
		crash.NotBegun, crash.Streamed = true, b.Streamed
		if b.Forgotten {
			crash.Streamed = max(b.Streamed, streamedSuspicion)
		}
		u.Suspicions = append(u.Suspicions, r.addCrash(b.Request, b.Account, crash))
		r.confirm([]uint64{b.Request})
	} else {
		u = r.addFirstCrash(b, crash)
	}
	if b.Forgotten && r.stateOf(b.Request) == Suspect {
		u.Suspicions = append(u.Suspicions, r.addJoint([]uint64{b.Request}, crash, forgottenLifetime))
	}
	return u
}

// addFirstCrash records the crash of a server that ran a request without suspicion and had
// sent no events of its response.
func (r *Registry) addFirstCrash(b Blame, crash wire.Crash) Update {
	var u Update
	var unproven []uint64
	isProven := func(f uint64) bool {
		proven := r.stateOf(f) == Clear && r.knownSafe.has(f)
		if proven && b.Begun {
			r.knownSafe.remove(f)
			u.Doubted = append(u.Doubted, f)
		}
		return proven
	}
	for _, f := range b.Properties {
		if !isProven(f) {
			unproven = append(unproven, f)
		}
	}
	if b.Begun && len(unproven) > 0 {
		slices.Sort(unproven)
		crash.Unproven = jointFingerprint(unproven)
	}
	if !isProven(b.Request) {
		u.Suspicions = append(u.Suspicions, r.addCrash(b.Request, b.Account, crash))
	}
	for _, f := range unproven {
		u.Suspicions = append(u.Suspicions, r.addCrash(f, "", crash))
	}
	if b.Begun && b.Conclusive && len(unproven) > 0 {
		crash.Conclusive = true
		u.Suspicions = append(u.Suspicions, r.addJoint(unproven, crash, conclusiveLifetime))
	}
	r.confirm(append(unproven, b.Request))
	return u
}

// addTrialCrash records the crash of a server during a trial. The fingerprints that were
// not under suspicion are not the cause. If properties were, the rest of the request is
// taken not to be.
func (r *Registry) addTrialCrash(b Blame, crash wire.Crash) []wire.Suspicion {
	properties := slices.DeleteFunc(slices.Clone(b.Tried), func(f uint64) bool { return f == b.Request })
	switch len(properties) {
	case 0:
		s := r.addCrash(b.Request, b.Account, crash)
		r.confirm([]uint64{b.Request})
		return []wire.Suspicion{s}
	case 1:
		s := r.addCrash(properties[0], "", crash)
		r.confirm(properties)
		return []wire.Suspicion{s}
	}
	return []wire.Suspicion{r.addJoint(properties, crash, SuspicionLifetime)}
}

// addJoint adds a crash to the set of fingerprints one of which is the cause.
func (r *Registry) addJoint(members []uint64, crash wire.Crash, lifetime time.Duration) wire.Suspicion {
	members = slices.Sorted(slices.Values(members))
	s := wire.Suspicion{
		Fingerprint: jointFingerprint(members), Members: members, Crashes: []wire.Crash{crash}, Remaining: lifetime.Milliseconds(),
	}
	if e := r.find(s.Fingerprint); e != nil {
		s.Lifts = e.lifts
	}
	merged, _ := r.merge(s)
	return merged.toSuspicion(s.Fingerprint, r.now())
}

// jointFingerprint returns the fingerprint of a sorted set of fingerprints.
func jointFingerprint(members []uint64) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString("\x00set")
	var number [8]byte
	for _, f := range members {
		binary.LittleEndian.PutUint64(number[:], f)
		_, _ = d.Write(number[:])
	}
	return d.Sum64()
}

// NextStreamed returns the value of Blame.Streamed for a request that is sent now.
func (r *Registry) NextStreamed(fingerprint uint64) uint8 {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.find(fingerprint)
	if e == nil {
		return 1
	}
	return uint8(min(r.streamedCrashes(e), streamedQuarantine) + 1)
}

// RecordCompletion records that a server has sent the whole answer to a request, and clears
// a suspicion that is not confirmed. It returns the cleared suspicions, which must be
// published.
func (r *Registry) RecordCompletion(fingerprint uint64) []wire.Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.find(fingerprint)
	if e == nil || len(e.crashes) == 0 || r.state(e) == Quarantined {
		return nil
	}
	return []wire.Suspicion{r.lift(fingerprint, e)}
}

// RecordSuccesses records that a server has begun to answer a request with the
// fingerprints. It returns the suspicions that this changed, which must be published.
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

// Receive merges what another process tells. It returns the suspicions that changed the
// registry, which must be forwarded if not all processes receive them. It clears new
// suspicions of fingerprints that this process knows to be safe, and returns these, which
// must be published. A fingerprint that is cleared in this way has to prove itself again:
// it may have become unsafe.
func (r *Registry) Receive(u Update) (changed, cleared []wire.Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var safe, merged []uint64
	for _, s := range u.Suspicions {
		if r.stateOf(s.Fingerprint) == Clear && r.knownSafe.has(s.Fingerprint) {
			safe = append(safe, s.Fingerprint)
		}
		if e, updated := r.merge(s); updated {
			merged = append(merged, s.Fingerprint)
			changed = append(changed, e.toSuspicion(s.Fingerprint, r.now()))
		}
	}
	r.confirm(merged)
	for _, f := range safe {
		if e := r.find(f); e != nil && r.state(e) == Suspect {
			if s, ok := r.liftBegun(f, e); ok {
				cleared = append(cleared, s)
			}
		}
	}
	for _, f := range u.Doubted {
		r.knownSafe.remove(f)
	}
	for _, f := range u.Proven {
		r.knownSafe.set(f, struct{}{})
	}
	return changed, cleared
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
		_, _ = d.Write([]byte{c.Streamed, flag(c.NotBegun), flag(c.BeforeSuspicion), flag(c.Conclusive)})
		_, _ = d.WriteString(c.ServerStart)
		binary.LittleEndian.PutUint64(number[:], c.Unproven)
		_, _ = d.Write(number[:])
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
