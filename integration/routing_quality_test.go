package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

const (
	qualityPrefixes = 24
	// qualityBlocks is the number of 256-byte blocks in a shared prefix; an engine
	// takes 77 ms to read a prefix that is not cached.
	qualityBlocks = 24
	// qualityRate is in requests per second over the fleet.
	qualityRate = 30.0
	// qualityWarm is the number of initial requests, which fill the caches and are
	// not measured.
	qualityWarm = 100
)

// qualityEngine configures an engine that caches a third of the prefixes, reports
// its cache 0.3 s late, drops every seventh cache event and samples its load twice
// a second.
var qualityEngine = []string{"--cache-prefixes", "200", "--event-delay", "300ms", "--event-gap", "7", "--load-lag", "500ms"}

// Guards against scored routing that finds no more prompt tokens in caches than the
// policies without knowledge of the caches. First-token times are reported only.
func TestRoutingQuality(t *testing.T) {
	hits := map[string]float64{}
	for _, policy := range []string{"scored", "round_robin", "least_loaded", "two_choices"} {
		o := stopsOptions(4, 6, 0)
		entrySettings := o.EntrySettings
		o.EntrySettings = func(c *settings.EntryConfig) { entrySettings(c); c.Routing = policy }
		for i := range o.Agents {
			o.Agents[i].Arguments = qualityEngine
		}
		f := startFleet(t, o)
		random := rand.New(rand.NewPCG(uint64(*seed), 0))
		qualityLoad(f, random, 0, qualityWarm)
		prompt, cached := promptTokens(t, f)
		n := amount(200, 600)
		times := qualityLoad(f, random, qualityWarm, n)
		promptAfter, cachedAfter := promptTokens(t, f)
		f.Close()
		if len(times) < n {
			t.Errorf("%s: %d of %d requests were served", policy, len(times), n)
		}
		slices.Sort(times)
		hits[policy] = float64(cachedAfter-cached) / float64(promptAfter-prompt)
		proved(t, "routing_quality", "policy", policy, "requests", n, "hits", fmt.Sprintf("%.3f", hits[policy]),
			"first_token_p50_ms", times[len(times)/2].Milliseconds(), "first_token_p95_ms", times[len(times)*95/100].Milliseconds())
	}
	if hits["scored"] <= max(hits["round_robin"], hits["least_loaded"], hits["two_choices"]) {
		t.Errorf("scored finds no more prompt tokens in caches than the others: %v", hits)
	}
}

// qualityLoad sends requests at random times and returns their first-token times.
func qualityLoad(f *harness.Fleet, random *rand.Rand, first, n int) []time.Duration {
	popularity := rand.NewZipf(random, 1.2, 2, qualityPrefixes-1)
	clients := make([]*harness.Client, 16)
	for i := range clients {
		clients[i] = f.Client(stopsAccount)
	}
	var mu sync.Mutex
	var times []time.Duration
	var group sync.WaitGroup
	next := time.Now()
	for i := range n {
		next = next.Add(time.Duration(random.ExpFloat64() / qualityRate * float64(time.Second)))
		time.Sleep(time.Until(next))
		block := fmt.Sprintf("%0256d", popularity.Uint64())
		prompt := strings.Repeat(block, qualityBlocks) + fmt.Sprintf("question %d", first+i)
		client := clients[i%len(clients)]
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			o := client.Complete(ctx, harness.Completion{Model: stopsModel, Prompt: prompt, MaxTokens: 20, MaxAttempts: 1})
			mu.Lock()
			defer mu.Unlock()
			if o.Complete {
				times = append(times, o.FirstToken)
			}
		})
	}
	group.Wait()
	return times
}

func promptTokens(t *testing.T, f *harness.Fleet) (prompt, cached int) {
	t.Helper()
	for _, a := range f.Agents {
		c, err := a.EngineCounts(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		prompt, cached = prompt+c.PromptTokens, cached+c.CachedTokens
	}
	return prompt, cached
}
