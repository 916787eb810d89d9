package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that crashes servers anew after each restart of all processes, and
// against refusing a sound one for long whose server crashed.
func TestCrashAfterForgottenOnesQuarantinesForShortTime(t *testing.T) {
	for name, describe := range map[string]func(r *Registry, server string) Blame{
		"before the response": func(_ *Registry, server string) Blame {
			return Blame{Request: 100, Account: "account", Agent: "s", ServerStart: server}
		},
		"anonymous, before its events": func(_ *Registry, server string) Blame {
			return Blame{Request: 100, Agent: "s", ServerStart: server, Begun: true}
		},
		"after events": func(r *Registry, server string) Blame { return streamed(r, server, 100) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			r, other := NewRegistry(), NewRegistry()
			r.now, other.now = func() time.Time { return now }, func() time.Time { return now }
			blame := describe(r, "1")
			blame.Forgotten = true
			other.Receive(r.AddBlame(blame))
			for _, x := range []*Registry{r, other} {
				state, _ := x.Check([]uint64{100})
				is.Equal(state, Quarantined)
				state, _ = x.Check([]uint64{200})
				is.Equal(state, Clear)
			}
			now = now.Add(forgottenLifetime)
			state, suspects := other.Check([]uint64{100})
			is.Equal(state, Suspect) // one is tried
			is.Equal(suspects, []uint64{100})
			cleared := r.RecordCompletion(100)
			is.Equal(len(cleared), 1)
			other.Receive(Update{Suspicions: cleared})
			state, _ = other.Check([]uint64{100})
			is.Equal(state, Clear)
		})
	}
}

// Guards against a request that crashes a second server after a short quarantine and is
// quarantined for a short time only.
func TestTrialAfterShortQuarantineDecides(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := NewRegistry()
	r.now = func() time.Time { return now }
	blame := streamed(r, "1", 100)
	blame.Forgotten = true
	r.AddBlame(blame)
	now = now.Add(forgottenLifetime)
	r.AddBlame(streamed(r, "2", 100))
	now = now.Add(forgottenLifetime)
	state, _ := r.Check([]uint64{100})
	is.Equal(state, Quarantined)
}

// Guards against blaming a request that a server has answered before.
func TestSafeRequestIsNotBlamedForForgottenCrashes(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.RecordSuccesses([]uint64{100})
	r.AddBlame(Blame{Request: 100, Account: "account", Agent: "s", ServerStart: "1", Forgotten: true})
	state, _ := r.Check([]uint64{100})
	is.Equal(state, Clear)
}
