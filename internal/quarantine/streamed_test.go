package quarantine

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// streamed describes the crash of a server that had sent events of a response.
func streamed(r *Registry, server string, request uint64) Blame {
	return Blame{Request: request, Account: "account", Agent: "s", ServerStart: server, Begun: true, Streamed: r.NextStreamed(request)}
}

// Guards against a request that crashes each server after its first event and is never
// under suspicion, although it begins to be answered each time.
func TestCrashesInARowAfterEventsQuarantine(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	for n, want := range []State{Clear, Suspect, Quarantined, Quarantined} {
		blame := streamed(r, fmt.Sprint(n), 100)
		is.Equal(len(r.RecordSuccesses([]uint64{100})), 0) // its first event
		r.AddBlame(blame)
		checkStates(t, r, map[uint64]State{100: want})
	}
}

// Guards against blaming requests whose servers crash at the same moment, as when a rack
// loses power: several equal requests may run on them.
func TestCrashesAtTheSameTimeAfterEventsBlameNobody(t *testing.T) {
	r := NewRegistry()
	var blames []Blame
	for n := range 5 {
		blames = append(blames, streamed(r, fmt.Sprint(n), 100))
	}
	for _, b := range blames {
		r.AddBlame(b)
	}
	checkStates(t, r, map[uint64]State{100: Clear})
}

// Guards against blaming a request that was answered in full between two crashes.
func TestCompleteAnswerClearsCrashesAfterEvents(t *testing.T) {
	is := is.New(t)
	r, other := NewRegistry(), NewRegistry()
	for n := range 2 {
		other.Receive(r.AddBlame(streamed(r, fmt.Sprint(n), 100)))
	}
	checkStates(t, other, map[uint64]State{100: Suspect})
	cleared := r.RecordCompletion(100)
	is.Equal(len(cleared), 1)
	other.Receive(Update{Suspicions: cleared})
	is.Equal(len(r.RecordCompletion(100)), 0) // nothing is left to publish
	for _, x := range []*Registry{r, other} {
		x.AddBlame(streamed(x, "9", 100))
		checkStates(t, x, map[uint64]State{100: Clear})
	}
}

// Guards against a suspicion that a process clears because it has seen the request begin to
// be answered.
func TestBegunAnswerElsewhereKeepsCrashesAfterEvents(t *testing.T) {
	is := is.New(t)
	r, other := NewRegistry(), NewRegistry()
	other.RecordSuccesses([]uint64{100})
	for n := range 2 {
		_, cleared := other.Receive(r.AddBlame(streamed(r, fmt.Sprint(n), 100)))
		is.Equal(len(cleared), 0)
	}
	checkStates(t, other, map[uint64]State{100: Suspect})
}

// Guards against blaming requests that ran beside the cause of the crashes.
func TestCrashesOfAQuarantinedRequestBlameNoOther(t *testing.T) {
	r := NewRegistry()
	for n := range 2 {
		beside := streamed(r, fmt.Sprint(n), 200)
		r.AddBlame(streamed(r, fmt.Sprint(n), 100))
		r.AddBlame(beside)
	}
	checkStates(t, r, map[uint64]State{100: Suspect, 200: Suspect})
	r.AddBlame(streamed(r, "2", 100))
	checkStates(t, r, map[uint64]State{100: Quarantined, 200: Clear})
}
