package agent

import (
	"context"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixStep is the length by which cached prefixes grow, in bytes.
	prefixStep = 256
	// maxPrefixes bounds the reported prefixes; 256 hashes are about 2.3 KB.
	maxPrefixes = 256
	// maxCacheEvents bounds the events that one answer is searched for.
	maxCacheEvents = 4096
)

type cacheEvents struct {
	Next   uint64 `json:"next"`
	Events []struct {
		Sequence uint64 `json:"sequence"`
		Kind     string `json:"kind"`
		Prefix   uint64 `json:"prefix"`
	} `json:"events"`
}

// prefixCache holds the newest prompt prefixes that the engine caches, oldest
// first.
type prefixCache struct {
	mu       sync.Mutex
	prefixes []uint64
	after    uint64
}

// readCacheEvents applies the engine's newest cache events.
func (a *agent) readCacheEvents(ctx context.Context) {
	var e cacheEvents
	if err := a.server.get(ctx, fmt.Sprintf("/v1/cache/events?after=%d", a.cache.position()), &e); err != nil {
		return // the next probe asks again
	}
	if a.cache.apply(e) {
		a.notify()
	}
}

func (c *prefixCache) position() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.after
}

// apply returns whether the events changed the prefixes. Every missed event may
// hide an eviction, and those concern the oldest prefixes first, so as many of
// them are dropped.
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

// completed adds the prefixes of a prompt that the engine has just processed,
// because the engine's events come late and with gaps.
func (c *prefixCache) completed(model, prompt string) {
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

// clear forgets everything after a restart of the engine.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefixes, c.after = nil, 0
}

// newest returns a copy of the prefixes.
func (c *prefixCache) newest() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]uint64(nil), c.prefixes...)
}

// engineLoad is the engine's answer to GET /v1/load. Its figures lag by age.
type engineLoad struct {
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	AgeMs           int64   `json:"age_ms"`
}

// readLoad exports the engine's own view of its load as metrics.
func (a *agent) readLoad(ctx context.Context) {
	var load engineLoad
	if err := a.server.get(ctx, "/v1/load", &load); err != nil {
		return // the next probe asks again
	}
	a.meters.scope.Gauge("engine_running").Update(float64(load.Running))
	a.meters.scope.Gauge("engine_waiting").Update(float64(load.Waiting))
	a.meters.scope.Gauge("engine_tokens_per_second").Update(load.TokensPerSecond)
}
