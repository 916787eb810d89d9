package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// crash returns a crash that a request was sent into before it was under suspicion.
func crash(server string) wire.Crash {
	return wire.Crash{Agent: "s", ServerStart: server, BeforeSuspicion: true}
}

// trialCrash returns a crash during a trial.
func trialCrash(server string) wire.Crash { return wire.Crash{Agent: "s", ServerStart: server} }

// Guards against a quarantine of what requests have in common that ran on several servers
// which crashed at the same moment, as when a rack loses power.
func TestSimultaneousCrashesAloneDoNotQuarantine(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.AddCrashes([]uint64{1, 2}, "", crash("a"))
	r.AddCrashes([]uint64{1, 3}, "", crash("b"))
	state, suspects := r.Check([]uint64{1, 4})
	is.Equal(state, Suspect)
	is.Equal(suspects, []uint64{1})
	is.Equal(len(r.RecordSuccesses([]uint64{1, 4})), 1)
	state, _ = r.Check([]uint64{1})
	is.Equal(state, Clear)
}

// Guards against more than two crashes by a part of a prompt if the second one was a trial,
// and against a quarantine of the request that the part came with.
func TestCrashUnderSuspicionQuarantinesOnlyWhatWasTried(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.AddCrashes([]uint64{1, 2, 9}, "", crash("a"))
	r.AddCrashes([]uint64{9}, "", trialCrash("b"))
	for f, want := range map[uint64]State{1: Clear, 2: Clear, 9: Quarantined} {
		state, _ := r.Check([]uint64{f})
		is.Equal(state, want) // the first crash is explained by 9
	}
}

// Guards against suspicion of requests that only waited or began on a server which another
// request crashed, in whichever order the reports arrive.
func TestCrashCountsAgainstStrongestEvidence(t *testing.T) {
	waiting := crash("a")
	waiting.NotBegun = true
	reports := []func(*Registry){
		func(r *Registry) { r.AddCrashes([]uint64{1}, "", waiting) },
		func(r *Registry) { r.AddCrashes([]uint64{2}, "", crash("a")) },
		func(r *Registry) { r.AddCrashes([]uint64{3}, "", trialCrash("a")) },
	}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			r := NewRegistry()
			for _, n := range order {
				reports[n](r)
			}
			for f, want := range map[uint64]State{1: Clear, 2: Clear, 3: Suspect} {
				if state, _ := r.Check([]uint64{f}); state != want {
					t.Errorf("fingerprint %d: state %d, want %d", f, state, want)
				}
			}
		})
	}
}

// Guards against suspicion of parts that many sound requests share, and against a part
// that has become unsafe and is never suspected because it was safe before.
func TestKnownSafePartHasToProveItselfAgain(t *testing.T) {
	is := is.New(t)
	here, there := NewRegistry(), NewRegistry()
	here.RecordSuccesses([]uint64{1})
	there.RecordSuccesses([]uint64{1})
	suspicions, doubted := here.AddCrashes([]uint64{1}, "", crash("a"))
	is.Equal(len(suspicions), 0)
	is.Equal(doubted, []uint64{1})
	there.Receive(suspicions, doubted)
	suspicions, doubted = there.AddCrashes([]uint64{1}, "", crash("b"))
	is.Equal(len(suspicions), 1)
	is.Equal(len(doubted), 0)
	cleared, changed := here.Receive(suspicions, nil)
	is.True(changed)
	is.Equal(len(cleared), 0) // no success since the first crash
	state, _ := here.Check([]uint64{1})
	is.Equal(state, Suspect)
}

// Guards against a suspicion that stays although another process knows better, and against
// one that a process clears again and again because of the same old success.
func TestProcessThatSawSuccessClearsSuspicionOnce(t *testing.T) {
	is := is.New(t)
	here, there := NewRegistry(), NewRegistry()
	there.RecordSuccesses([]uint64{1})
	suspicions, _ := here.AddCrashes([]uint64{1}, "", crash("a"))
	cleared, _ := there.Receive(suspicions, nil)
	is.Equal(len(cleared), 1)
	here.Receive(cleared, nil)
	state, _ := here.Check([]uint64{1})
	is.Equal(state, Clear)
	is.Equal(here.Digest(), there.Digest())
	suspicions, _ = here.AddCrashes([]uint64{1}, "", crash("b"))
	cleared, _ = there.Receive(suspicions, nil)
	is.Equal(len(cleared), 0)
}

// Guards against processes that do not notice that they know different suspicions, and
// against repairs that leave out the quarantined ones.
func TestDigestAndMostRestricted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := testRegistry(&now), testRegistry(&now)
	is.Equal(a.Digest(), uint64(0))
	a.AddCrashes([]uint64{1}, "", crash("a"))
	is.True(a.Digest() != b.Digest())
	a.AddCrashes([]uint64{1}, "", trialCrash("b"))
	for f := uint64(2); f < 50; f++ {
		a.AddCrashes([]uint64{f}, "", crash("c"))
	}
	first := a.MostRestricted(3)
	is.Equal(len(first), 3)
	is.Equal(first[0].Fingerprint, uint64(1))
	b.Receive(a.List(), nil)
	is.Equal(a.Digest(), b.Digest())
	now = now.Add(suspicionLifetime + digestLifetime)
	is.Equal(a.Digest(), uint64(0))
}

// Guards against two trials of one fingerprint or at one server at a time, which could
// crash two servers or could not be told apart, and against trials that never end.
func TestTrialsRunOneAtATime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	trials := NewTrials()
	trials.now = func() time.Time { return now }
	is.True(trials.Begin(Trial{ID: 1, Server: "a", Fingerprints: []uint64{1, 2}}))
	is.True(trials.Begin(Trial{ID: 1, Server: "a", Fingerprints: []uint64{1, 2}})) // the first answer was lost
	is.True(!trials.Begin(Trial{ID: 2, Server: "b", Fingerprints: []uint64{2}}))
	is.True(!trials.Begin(Trial{ID: 3, Server: "a", Fingerprints: []uint64{3}}))
	is.True(trials.Begin(Trial{ID: 4, Server: "b", Fingerprints: []uint64{4}}))
	trials.End(1)
	is.True(trials.Begin(Trial{ID: 2, Server: "a", Fingerprints: []uint64{2}}))
	now = now.Add(trialLifetime)
	is.True(trials.Begin(Trial{ID: 5, Server: "a", Fingerprints: []uint64{2, 4}}))
	for id := uint64(10); id < 10+2*maxTrials; id++ {
		trials.Begin(Trial{ID: id, Server: fmt.Sprint(id), Fingerprints: []uint64{id}})
	}
	is.True(len(trials.active) <= maxTrials)
}

// Guards against unbounded memory use when callers invent parts of prompts.
func TestInventedPartsAreBounded(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	for n := range uint64(300) {
		parts := make([]uint64, 64)
		for i := range parts {
			parts[i] = n<<8 + uint64(i)
		}
		r.RecordSuccesses(parts)
		slices.Reverse(parts)
		parts[0] ^= 1 << 40
		r.AddCrashes(parts, "", crash(fmt.Sprint(n)))
	}
	is.True(len(r.entries) <= maxEntries)
	is.True(len(r.knownSafe.current)+len(r.knownSafe.previous) <= 2*generationSize)
	is.True(len(r.strongest.current)+len(r.strongest.previous) <= 2*generationSize)
}
