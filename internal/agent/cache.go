package agent

import (
	"context"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixStep is the difference in length between consecutive cached
	// prefixes of a prompt, in bytes.
	prefixStep = 256
	// maxPrefixes limits the number of prefixes in a report; 256 hashes take
	// about 2.3 KB.
	maxPrefixes = 256
	// maxCacheEvents limits how many events of one response are applied.
	maxCacheEvents = 4096
)

// cacheEvents is the engine's response to GET /v1/cache/events.
type cacheEvents struct {
	Next   uint64 `json:"next"`
	Events []struct {
		Sequence uint64 `json:"sequence"`
		Kind     string `json:"kind"`
		Prefix   uint64 `json:"prefix"`
	} `json:"events"`
}

// prefixCache mirrors the prompt prefixes that the engine has cached, limited
// to the most recent maxPrefixes. The prefixes are ordered from oldest to
// newest.
type prefixCache struct {
	mu       sync.Mutex
	prefixes []uint64
	after    uint64
}

// readCacheEvents reads and applies the engine's cache events since the last
// read.
func (a *agent) readCacheEvents(ctx context.Context) {
	var e cacheEvents
	if err := a.server.get(ctx, fmt.Sprintf("/v1/cache/events?after=%d", a.cache.position()), &e); err != nil {
		return // retried at the next probe
	}
	if a.cache.apply(e) {
		a.triggerReport()
	}
}

func (c *prefixCache) position() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.after
}

// apply updates the prefixes and reports whether there were any events. A gap
// in the sequence numbers may hide evictions. Since the engine evicts the
// oldest prefixes first, apply drops one of the oldest prefixes for each missed
// event.
func (c *prefixCache) apply(e cacheEvents) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, event := range e.Events {
		if n >= maxCacheEvents {
			break
		}
		if event.Sequence <= c.after {
			continue
		}
		if c.after > 0 && event.Sequence > c.after+1 {
			missed := event.Sequence - c.after - 1
			c.prefixes = c.prefixes[min(missed, uint64(len(c.prefixes))):]
		}
		c.after = event.Sequence
		c.remove(event.Prefix)
		if event.Kind == "stored" {
			c.add(event.Prefix)
		}
	}
	return len(e.Events) > 0
}

// addPrompt adds the prefixes of a prompt that the engine has just processed.
// The engine's own events arrive late and may be lost.
func (c *prefixCache) addPrompt(model, prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := xxhash.New()
	_, _ = hash.WriteString(model + "\x00")
	for n := prefixStep; n <= len(prompt); n += prefixStep {
		_, _ = hash.WriteString(prompt[n-prefixStep : n])
		c.remove(hash.Sum64())
		c.add(hash.Sum64())
	}
}

func (c *prefixCache) add(prefix uint64) {
	c.prefixes = append(c.prefixes, prefix)
	if len(c.prefixes) > maxPrefixes {
		c.prefixes = append([]uint64(nil), c.prefixes[len(c.prefixes)-maxPrefixes:]...)
	}
}

func (c *prefixCache) remove(prefix uint64) {
	for n, p := range c.prefixes {
		if p == prefix {
			c.prefixes = append(c.prefixes[:n:n], c.prefixes[n+1:]...)
			return
		}
	}
}

// clear removes all prefixes after a restart of the engine.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefixes, c.after = nil, 0
}

// snapshot returns a copy of the prefixes, oldest first.
func (c *prefixCache) snapshot() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]uint64(nil), c.prefixes...)
}

// engineLoad is the engine's response to GET /v1/load. The values are AgeMs
// milliseconds old.
type engineLoad struct {
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	AgeMs           int64   `json:"age_ms"`
}

// readLoad exports the load that the engine reports as metrics.
func (a *agent) readLoad(ctx context.Context) {
	var load engineLoad
	if err := a.server.get(ctx, "/v1/load", &load); err != nil {
		return // retried at the next probe
	}
	a.meters.scope.Gauge("engine_running").Update(float64(load.Running))
	a.meters.scope.Gauge("engine_waiting").Update(float64(load.Waiting))
	a.meters.scope.Gauge("engine_tokens_per_second").Update(load.TokensPerSecond)
}
