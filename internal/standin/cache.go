package standin

import (
	"container/list"
	"time"
)

// Kinds of cache event.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// CacheEvent reports that a prefix was stored in or evicted from the cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Prefix   uint64 `json:"prefix"`
	at       time.Time
}

// maxCacheEvents is the number of most recent events kept for readers.
const maxCacheEvents = 8192

// prefixCache is a least-recently-used cache of prompt prefixes.
type prefixCache struct {
	capacity  int
	dropEvery uint64
	recency   *list.List // of uint64, most recent first
	elements  map[uint64]*list.Element
	sequence  uint64
	events    []CacheEvent
}

func newPrefixCache(capacity int, dropEvery uint64) *prefixCache {
	return &prefixCache{capacity: capacity, dropEvery: dropEvery, recency: list.New(), elements: map[uint64]*list.Element{}}
}

// use stores the keys of a prompt, shortest first, and returns how many blocks
// from the start were already cached.
func (c *prefixCache) use(keys []uint64, now time.Time) int {
	hits := len(c.cachedPrefixes(keys))
	for _, key := range keys {
		if element, ok := c.elements[key]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.elements[key] = c.recency.PushFront(key)
		c.record(CacheStored, key, now)
	}
	for c.recency.Len() > c.capacity {
		key := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.elements, key)
		c.record(CacheEvicted, key, now)
	}
	return hits
}

// cachedPrefixes returns the leading keys that are cached.
func (c *prefixCache) cachedPrefixes(keys []uint64) []uint64 {
	held := []uint64{}
	for _, key := range keys {
		if _, ok := c.elements[key]; !ok {
			break
		}
		held = append(held, key)
	}
	return held
}

func (c *prefixCache) record(kind string, key uint64, now time.Time) {
	c.sequence++
	if c.dropEvery > 0 && c.sequence%c.dropEvery == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Kind: kind, Prefix: key, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// after returns the events with a higher sequence number than the given one
// that happened before a time.
func (c *prefixCache) after(sequence uint64, before time.Time) CacheEvents {
	answer := CacheEvents{Next: sequence, Events: []CacheEvent{}}
	for _, event := range c.events {
		if event.Sequence > sequence && event.at.Before(before) {
			answer.Events = append(answer.Events, event)
			answer.Next = event.Sequence
		}
	}
	return answer
}
