package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// trialLifetime is how long a trial stays registered if its end is not reported. A
	// server that sends nothing for 1.8 s counts as lost.
	trialLifetime = 2500 * time.Millisecond
	// maxTrials bounds the trials that run at the same time.
	maxTrials = 256
)

// Trial is the run of a request that has fingerprints which are under suspicion or, after
// a crash, not known to be safe.
type Trial struct {
	// ID is the same for all attempts to begin the trial of one request.
	ID uint64
	// Server is the server at which no other trial may run, or "".
	Server       string
	Fingerprints []uint64
}

// Trials decides which requests that may crash servers run now. A fingerprint is tried by
// one request at a time, so that it crashes one server more at most, and a server runs one
// request under suspicion at a time, so that a crash can be attributed. It is safe for concurrent use.
type Trials struct {
	now func() time.Time

	mu     sync.Mutex
	active map[uint64]activeTrial // by Trial.ID
}

type activeTrial struct {
	Trial
	expires time.Time
}

// NewTrials returns a table without trials.
func NewTrials() *Trials { return &Trials{now: time.Now, active: map[uint64]activeTrial{}} }

// Begin reports whether a trial may begin. A trial that is already registered with this ID
// is replaced, because the answer to the first call may have been lost.
func (t *Trials) Begin(trial Trial) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for id, other := range t.active {
		switch {
		case !now.Before(other.expires):
			delete(t.active, id)
		case id != trial.ID && other.conflicts(trial):
			return false
		}
	}
	if _, again := t.active[trial.ID]; !again && len(t.active) >= maxTrials {
		return false
	}
	t.active[trial.ID] = activeTrial{Trial: trial, expires: now.Add(trialLifetime)}
	return true
}

// conflicts reports whether the trials have the server or a fingerprint in common.
func (t Trial) conflicts(other Trial) bool {
	if t.Server != "" && t.Server == other.Server {
		return true
	}
	return slices.ContainsFunc(t.Fingerprints, func(f uint64) bool { return slices.Contains(other.Fingerprints, f) })
}

// End removes a trial.
func (t *Trials) End(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.active, id)
}
