package events

import (
	"sync"
	"time"
)

// Timestamp is a hybrid logical clock value: 48 bits of wall-clock
// milliseconds above 16 bits of a logical counter. A message's receiver always
// has a later Timestamp than its sender, whatever the wall clocks say.
type Timestamp uint64

const logicalBits = 16

// Milliseconds returns the wall-clock part in milliseconds since 1970.
func (t Timestamp) Milliseconds() int64 { return int64(t >> logicalBits) }

// maxClockLead bounds how far a received timestamp may move the clock beyond
// the local wall clock. It keeps one faulty peer from moving the fleet's clocks
// arbitrarily far ahead.
const maxClockLead = time.Hour

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
	wall func() time.Time
}

// NewClock returns a clock on the system's wall clock.
func NewClock() *Clock { return &Clock{wall: time.Now} }

// Now returns a timestamp later than every one returned or observed before.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(0)
}

// Observe moves the clock past a timestamp received from another process. It
// ignores timestamps more than maxClockLead ahead of the local wall clock.
func (c *Clock) Observe(t Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := wallTimestamp(c.wall().Add(maxClockLead))
	if t > limit {
		return
	}
	c.advance(t)
}

func (c *Clock) advance(seen Timestamp) Timestamp {
	next := wallTimestamp(c.wall())
	if c.last >= next {
		next = c.last + 1
	}
	if seen >= next {
		next = seen + 1
	}
	c.last = next
	return next
}

func wallTimestamp(t time.Time) Timestamp {
	return Timestamp(t.UnixMilli()) << logicalBits
}
