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

// CacheEvent tells that a prefix was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Prefix   uint64 `json:"prefix"`
	at       time.Time
}

// maxCacheEvents bounds the events kept for readers.
const maxCacheEvents = 8192

// prefixCache keeps the most recently used prefixes.
type prefixCache struct {
	bound    int
	gap      uint64
	order    *list.List // of uint64, most recent first
	elements map[uint64]*list.Element
	sequence uint64
	events   []CacheEvent
}

func newPrefixCache(bound int, gap uint64) *prefixCache {
	return &prefixCache{bound: bound, gap: gap, order: list.New(), elements: map[uint64]*list.Element{}}
}

// use stores the keys of a prompt, shortest first, and returns how many blocks
// from the start were cached before.
func (c *prefixCache) use(keys []uint64, now time.Time) int {
	hits := len(c.held(keys))
	for _, key := range keys {
		if element, ok := c.elements[key]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.elements[key] = c.order.PushFront(key)
		c.note(CacheStored, key, now)
	}
	for c.order.Len() > c.bound {
		key := c.order.Remove(c.order.Back()).(uint64)
		delete(c.elements, key)
		c.note(CacheEvicted, key, now)
	}
	return hits
}

// held returns the leading keys that are cached.
func (c *prefixCache) held(keys []uint64) []uint64 {
	held := []uint64{}
	for _, key := range keys {
		if _, ok := c.elements[key]; !ok {
			break
		}
		held = append(held, key)
	}
	return held
}

func (c *prefixCache) note(kind string, key uint64, now time.Time) {
	c.sequence++
	if c.gap > 0 && c.sequence%c.gap == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Kind: kind, Prefix: key, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// after returns the events above a sequence number that happened before a
// time.
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
