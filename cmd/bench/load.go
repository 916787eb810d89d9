package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// model is the name of the only model.
const model = "small"

// bytesPerToken is the number of prompt bytes that the simulated engine counts as
// one token.
const bytesPerToken = 4

// sample is one request with its outcome. Times are relative to the start of the
// case.
type sample struct {
	account *accountSpec
	// arrival is the scheduled time of the request.
	arrival time.Duration
	// tokens are the times at which the response's tokens arrived.
	tokens []time.Duration
	// ended is when the response ended, or when the end of the case canceled the
	// request.
	ended    time.Duration
	complete bool
	// refused is true if the response has an error status, and not if the end of
	// the case canceled the request. notRun is true if a refusal has the verdict
	// not_run and a Retry-After header.
	refused bool
	notRun  bool
}

// engineSeconds returns the engine time in seconds that one request of an account
// uses on an engine with a full batch.
func (f fleetSpec) engineSeconds(a accountSpec) float64 {
	step := f.StepBase.Std().Seconds() + float64(f.Slots)*f.StepPerSequence.Std().Seconds()
	prefill := float64(a.PromptBytes/bytesPerToken) * f.PrefillPerToken.Std().Seconds()
	return float64(a.Tokens)*step/float64(f.Slots) + prefill
}

// arrivals returns the times of an account's requests: a Poisson process that
// depends only on the seed, the account and its load. An account sends the same
// requests in every case that does not change its load.
func (s *scenario) arrivals(c caseSpec, a accountSpec) []time.Duration {
	rate := a.Load * c.factor(a.ID) * float64(s.Fleet.Engines) / s.Fleet.engineSeconds(a)
	if rate <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(uint64(s.Seed), nameHash(a.ID)))
	var out []time.Duration
	at := a.Begin.Std()
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= s.Duration.Std() {
			return out
		}
		out = append(out, at)
	}
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// runCase generates the load of a case and returns all requests.
func (s *scenario) runCase(ctx context.Context, fleet *harness.Fleet, c caseSpec) []*sample {
	limit := s.Duration.Std() + s.Drain.Std()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	var calls, senders sync.WaitGroup
	var samples []*sample
	for i := range s.Account {
		account := &s.Account[i]
		accountSamples := newSamples(account, s.arrivals(c, *account))
		samples = append(samples, accountSamples...)
		client := s.client(fleet, account)
		senders.Go(func() {
			for n, x := range accountSamples {
				if !sleepUntil(ctx, began.Add(x.arrival)) {
					return
				}
				prompt := s.prompt(c, account, n)
				calls.Go(func() { x.call(ctx, client, prompt, began, s.Deadline.Std()) })
			}
		})
	}
	senders.Wait()
	calls.Wait()
	return samples
}

func newSamples(a *accountSpec, arrivals []time.Duration) []*sample {
	samples := make([]*sample, len(arrivals))
	for i, at := range arrivals {
		samples[i] = &sample{account: a, arrival: at}
	}
	return samples
}

// client returns a client that uses the account's entry VMs in turn.
func (s *scenario) client(fleet *harness.Fleet, a *accountSpec) *harness.Client {
	n := len(fleet.Entries)
	if a.Entries > 0 {
		n = min(n, a.Entries)
	}
	var addresses []string
	for _, e := range fleet.Entries[:n] {
		addresses = append(addresses, e.Settings.CallerAddress)
	}
	return harness.NewClient(addresses, accountKey(a), "")
}

// prompt returns a text of PromptBytes bytes that shares no prefix with another
// prompt.
func (s *scenario) prompt(c caseSpec, a *accountSpec, n int) string {
	text := fmt.Sprintf("%d %s %s %d ", n, a.ID, c.Name, s.Seed)
	return text + strings.Repeat("x", max(0, a.PromptBytes-len(text)))
}

func (x *sample) call(ctx context.Context, client *harness.Client, prompt string, began time.Time, deadline time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, began.Add(x.arrival+deadline))
	defer cancel()
	sent := time.Since(began)
	o := client.Complete(ctx, harness.Completion{Model: model, Prompt: prompt, MaxTokens: x.account.Tokens, MaxAttempts: 1})
	for _, t := range o.PartTimes {
		x.tokens = append(x.tokens, sent+t)
	}
	x.ended, x.complete = time.Since(began), o.Complete
	x.refused = o.Status >= 400
	last := o.Attempts[len(o.Attempts)-1]
	x.notRun = x.refused && o.Verdict == verdict.NotRun && last.RetryAfter > 0
}

// sleepUntil sleeps until a time. It returns false if ctx is done first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
