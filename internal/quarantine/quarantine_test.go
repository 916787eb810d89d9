package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

func testRegistry(now *time.Time) *Registry {
	r := NewRegistry()
	r.now = func() time.Time { return *now }
	return r
}

// addCrash adds a crash to a fingerprint and returns the suspicion.
func addCrash(r *Registry, fingerprint uint64, account fleet.ClientAccount, crash wire.Crash) wire.Suspicion {
	s := r.addCrash(fingerprint, account, crash)
	r.confirm([]uint64{fingerprint})
	return s
}

// recordSuccess records a success and returns the suspicion that it cleared, or false.
func recordSuccess(r *Registry, fingerprint uint64) (wire.Suspicion, bool) {
	cleared := r.RecordSuccesses([]uint64{fingerprint})
	if len(cleared) == 0 {
		return wire.Suspicion{}, false
	}
	return cleared[0], true
}

// merge merges suspicions of another process and returns those that changed.
func merge(r *Registry, suspicions []wire.Suspicion) []wire.Suspicion {
	changed, _ := r.Receive(Update{Suspicions: suspicions})
	return changed
}

func drawSuspicions(t *rapid.T, label string) []wire.Suspicion {
	crash := rapid.Custom(func(t *rapid.T) wire.Crash {
		return wire.Crash{Agent: fleet.ProcessID(rapid.StringMatching("[ab]").Draw(t, "agent")), ServerStart: rapid.StringMatching("[0-9]").Draw(t, "start"),
			NotBegun: rapid.Bool().Draw(t, "notBegun"), BeforeSuspicion: rapid.Bool().Draw(t, "beforeSuspicion"),
			Unproven: rapid.Uint64Range(0, 2).Draw(t, "unproven"), Conclusive: rapid.Bool().Draw(t, "conclusive"), Streamed: rapid.Uint8Range(0, 4).Draw(t, "streamed")}
	})
	one := rapid.Custom(func(t *rapid.T) wire.Suspicion {
		return wire.Suspicion{
			Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "fingerprint"),
			Crashes:     rapid.SliceOfN(crash, 0, 10).Draw(t, "crashes"),
			Remaining:   rapid.Int64Range(1, 700000).Draw(t, "remaining"),
			Lifts:       rapid.Uint32Range(0, 2).Draw(t, "lifts"),
		}
	})
	return rapid.SliceOfN(one, 0, 5).Draw(t, label)
}

// Guards against processes that disagree on a quarantine because they received
// suspicions in a different order or more than once.
func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		a, b, c := drawSuspicions(t, "a"), drawSuspicions(t, "b"), drawSuspicions(t, "c")
		left, right, nested := testRegistry(&now), testRegistry(&now), testRegistry(&now)
		for _, s := range [][]wire.Suspicion{a, b, c, a} {
			merge(left, s)
		}
		for _, s := range [][]wire.Suspicion{c, b, a} {
			merge(right, s)
		}
		inner := testRegistry(&now)
		merge(inner, b)
		merge(inner, c)
		merge(nested, inner.List())
		merge(nested, a)
		is := is.New(t)
		is.Equal(left.List(), right.List())
		is.Equal(left.List(), nested.List())
		is.Equal(len(merge(left, right.List())), 0) // repeated suspicions change nothing
	})
}

// Guards against a quarantine after one crash or none after two, and against
// suspicions that never expire or are not cleared by a success or lift.
func TestStateTransitions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := testRegistry(&now)
	one, two := wire.Crash{Agent: "a", ServerStart: "1"}, wire.Crash{Agent: "b", ServerStart: "1"}
	old := addCrash(r, 7, "x", one)
	addCrash(r, 7, "x", one)
	is.Equal(r.State(7), Suspect)
	cleared, ok := recordSuccess(r, 7)
	is.True(ok)
	is.Equal(cleared.Lifts, uint32(1))
	is.Equal(len(merge(r, []wire.Suspicion{old})), 0) // a late copy is ignored
	is.Equal(r.State(7), Clear)
	addCrash(r, 7, "x", one)
	addCrash(r, 7, "x", two)
	is.Equal(r.State(7), Quarantined)
	_, ok = recordSuccess(r, 7)
	is.True(!ok)
	_, ok = r.Lift(7)
	is.True(ok)
	is.Equal(r.State(7), Clear)
	addCrash(r, 7, "x", one)
	now = now.Add(SuspicionLifetime)
	is.Equal(r.State(7), Clear)
	is.Equal(len(r.List()), 0)
}

// Guards against unbounded memory use, and against many single crashes that evict
// quarantined fingerprints.
func TestEvictionKeepsQuarantines(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := testRegistry(&now)
	addCrash(r, 0, "x", wire.Crash{Agent: "a"})
	addCrash(r, 0, "x", wire.Crash{Agent: "b"})
	for f := uint64(1); f < maxEntries+10; f++ {
		now = now.Add(time.Millisecond)
		addCrash(r, f, "x", wire.Crash{Agent: "a"})
	}
	is.Equal(len(r.List()), maxEntries)
	is.Equal(r.State(0), Quarantined)
	is.Equal(r.State(1), Clear) // the oldest single crash was evicted
}

// Guards against equal fingerprints for requests of different accounts whose
// account and body concatenate to the same bytes.
func TestFingerprintSeparatesAccountFromBody(t *testing.T) {
	is.New(t).True(Fingerprint("a", []byte("bc")) != Fingerprint("ab", []byte("c")))
}

// Guards against a request that counts as known safe although a server crashed
// during a later run of it.
func TestCrashRevokesKnownSafe(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	is.True(!r.KnownSafe(1))
	recordSuccess(r, 1)
	is.True(r.KnownSafe(1))
	s := addCrash(r, 1, "alpha", wire.Crash{Agent: "agent-1", ServerStart: "1"})
	is.True(!r.KnownSafe(1))
	is.Equal(len(r.CrashedAgents(1)), 1)
	merge(r, []wire.Suspicion{{Fingerprint: 1, Remaining: s.Remaining, Lifts: 1}})
	is.True(!r.KnownSafe(1))
	for i := range uint64(4 * generationSize) {
		recordSuccess(r, i+10)
	}
	is.True(len(r.knownSafe.current)+len(r.knownSafe.previous) <= 2*generationSize)
}
