package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blame describes the crash of a server that ran a request with some properties. The
// response had begun.
func blame(server string, request uint64, properties ...uint64) Blame {
	return Blame{Request: request, Properties: properties, Agent: "s", ServerStart: server, Begun: true}
}

func (b Blame) conclusive() Blame {
	b.Conclusive = true
	return b
}

func (b Blame) waiting() Blame {
	b.Begun = false
	return b
}

// tried makes b the crash of a trial of some fingerprints.
func (b Blame) tried(fingerprints ...uint64) Blame {
	b.Tried = fingerprints
	return b
}

func checkStates(t *testing.T, r *Registry, want map[uint64]State) {
	t.Helper()
	for f, state := range want {
		if got, _ := r.Check([]uint64{f}); got != state {
			t.Errorf("fingerprint %d: state %d, want %d", f, got, state)
		}
	}
}

// Guards against a quarantine of what requests have in common that ran on several servers
// which crashed at the same moment, as when a rack loses power.
func TestSimultaneousCrashesAloneDoNotQuarantine(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.AddBlame(blame("a", 100, 1, 2))
	r.AddBlame(blame("b", 101, 1, 3))
	state, suspects := r.Check([]uint64{102, 1, 4})
	is.Equal(state, Suspect)
	is.Equal(suspects, []uint64{1})
	is.Equal(len(r.RecordSuccesses([]uint64{102, 1, 4})), 1)
	checkStates(t, r, map[uint64]State{1: Clear})
}

// Guards against more than two crashes by a part of a prompt if the second one was a trial,
// and against a quarantine of the request that the part came with.
func TestCrashOfTrialQuarantinesOnlyWhatWasTried(t *testing.T) {
	r := NewRegistry()
	r.AddBlame(blame("a", 100, 1, 9))
	r.AddBlame(blame("b", 101, 2, 9).tried(9))
	checkStates(t, r, map[uint64]State{1: Clear, 2: Clear, 9: Quarantined, 100: Clear, 101: Clear}) // 9 explains both
}

// Guards against suspicion of requests that only waited or began on a server which another
// request crashed, in whichever order the reports arrive.
func TestCrashCountsAgainstStrongestEvidence(t *testing.T) {
	reports := []Blame{blame("a", 1).waiting(), blame("a", 2), blame("a", 3).tried(3)}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			r := NewRegistry()
			for _, n := range order {
				r.AddBlame(reports[n])
			}
			checkStates(t, r, map[uint64]State{1: Clear, 2: Clear, 3: Suspect})
		})
	}
}

// Guards against a second crash of a whole group where the first one left no doubt, against
// refusing requests that have only one of the possible causes, and against a quarantine
// that stays after a single crash.
func TestConclusiveCrashQuarantinesForShortTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := testRegistry(&now)
	r.AddBlame(blame("a", 100, 1, 9).conclusive())
	both := []uint64{101, 1, 9}
	state, _ := r.Check(both)
	is.Equal(state, Quarantined)
	checkStates(t, r, map[uint64]State{1: Suspect, 9: Suspect})
	r.RecordSuccesses([]uint64{102, 1}) // 1 is not the cause
	checkStates(t, r, map[uint64]State{1: Clear, 9: Quarantined})
	now = now.Add(conclusiveLifetime)
	checkStates(t, r, map[uint64]State{9: Suspect})
	r.AddBlame(blame("b", 103, 9).tried(9))
	now = now.Add(conclusiveLifetime)
	checkStates(t, r, map[uint64]State{9: Quarantined})
}

// Guards against a quarantine by evidence that another process's report of the same crash
// puts in doubt.
func TestSeveralBegunRequestsAreNotConclusive(t *testing.T) {
	here, there := NewRegistry(), NewRegistry()
	fromHere := here.AddBlame(blame("a", 100, 1).conclusive())
	checkStates(t, here, map[uint64]State{1: Quarantined})
	fromThere := there.AddBlame(blame("a", 200, 2).conclusive())
	here.Receive(fromThere)
	there.Receive(fromHere)
	checkStates(t, here, map[uint64]State{1: Suspect, 2: Suspect})
	checkStates(t, there, map[uint64]State{1: Suspect, 2: Suspect})
}

// Guards against a quarantine of a sound part that every crashing request happens to have
// beside the part that is the cause.
func TestTrialOfSeveralPartsDoesNotQuarantineEach(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.AddBlame(blame("a", 100, 1, 9))
	r.AddBlame(blame("b", 101, 1, 9).tried(101, 1, 9))
	state, _ := r.Check([]uint64{102, 1, 9})
	is.Equal(state, Quarantined)
	checkStates(t, r, map[uint64]State{1: Suspect, 9: Suspect})
	r.RecordSuccesses([]uint64{103, 1})
	checkStates(t, r, map[uint64]State{1: Clear, 9: Quarantined})
}

// Guards against suspicion of parts that many sound requests share, and against a part
// that has become unsafe and is never suspected because it was safe before.
func TestKnownSafePartHasToProveItselfAgain(t *testing.T) {
	is := is.New(t)
	here, there := NewRegistry(), NewRegistry()
	here.RecordSuccesses([]uint64{1})
	there.RecordSuccesses([]uint64{1})
	u := here.AddBlame(blame("a", 100, 1))
	is.Equal(len(u.Suspicions), 1) // the request itself
	is.Equal(u.Doubted, []uint64{1})
	there.Receive(u)
	u = there.AddBlame(blame("b", 100, 1))
	is.Equal(len(u.Suspicions), 2)
	is.Equal(len(u.Doubted), 0)
	changed, cleared := here.Receive(u)
	is.Equal(len(changed), 2)
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
	_, cleared := there.Receive(here.AddBlame(blame("a", 100, 1)))
	is.Equal(len(cleared), 1)
	here.Receive(Update{Suspicions: cleared})
	state, _ := here.Check([]uint64{1})
	is.Equal(state, Clear)
	is.Equal(here.Digest(), there.Digest())
	_, cleared = there.Receive(here.AddBlame(blame("b", 100, 1)))
	is.Equal(len(cleared), 0)
}

// Guards against processes that do not notice that they know different suspicions, and
// against repairs that leave out the quarantined ones.
func TestDigestAndMostRestricted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := testRegistry(&now), testRegistry(&now)
	is.Equal(a.Digest(), uint64(0))
	a.AddBlame(blame("a", 100, 1))
	is.True(a.Digest() != b.Digest())
	a.AddBlame(blame("b", 101, 1).tried(1))
	for f := uint64(2); f < 50; f++ {
		a.AddBlame(blame("c", f))
	}
	first := a.MostRestricted(3)
	is.Equal(len(first), 3)
	is.Equal(first[0].Fingerprint, uint64(1))
	b.Receive(Update{Suspicions: a.List()})
	is.Equal(a.Digest(), b.Digest())
	now = now.Add(SuspicionLifetime + digestLifetime)
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
		r.AddBlame(blame(fmt.Sprint(n), n<<8+200, parts...).conclusive())
	}
	is.True(len(r.entries) <= maxEntries)
	is.True(len(r.knownSafe.current)+len(r.knownSafe.previous) <= 2*generationSize)
	is.True(len(r.crashes.current)+len(r.crashes.previous) <= 2*generationSize)
}

// Guards against requests that gathered while servers were down and crash several of them
// at once, and against a process that has just started and does not know of the crashes.
func TestUnprovenAfterCrashAndStart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := testRegistry(&now)
	r.started = now
	is.Equal(r.Unproven([]uint64{1}), []uint64{1})
	now = now.Add(startAlertTime + time.Second)
	is.Equal(len(r.Unproven([]uint64{1})), 0)
	r.AddBlame(blame("a", 100, 9))
	r.RecordSuccesses([]uint64{1})
	r.Receive(Update{Proven: []uint64{3}})
	is.Equal(r.Unproven([]uint64{1, 2, 3}), []uint64{2})
	now = now.Add(alertTime + time.Second)
	is.Equal(len(r.Unproven([]uint64{1, 2, 3})), 0)
}
