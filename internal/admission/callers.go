package admission

import (
	"slices"
	"time"
)

const (
	// callersKept is the number of first waits per route that are remembered, and
	// callersNeeded how many make them a measure.
	callersKept   = 64
	callersNeeded = 16
	// usualRank is the place of the usual wait among them, in 100: nearly the
	// longest, because those who come back bring less, and a few callers more.
	usualRank = 90
	// returnedShare is the part of the usual wait below which a caller has come
	// back. Callers that heed Retry-After have spent up to a third of their time.
	returnedShare = 0.8
	// refusalMemory is how long after a refusal its caller may come back.
	refusalMemory = 6 * time.Second
	// refusingFor is how long after a refusal places count as short.
	refusingFor = 3 * time.Second
)

// RetryDetector tells callers that come back after a refusal from those that ask for the
// first time, by the time that they are still willing to wait beside what the
// callers of their route usually bring. It is not safe for concurrent use.
type RetryDetector struct {
	routes  map[string]*waits
	refused time.Time
}

// waits are the last times that callers of a route were willing to wait.
type waits struct {
	last  []time.Duration
	next  int
	usual time.Duration
}

// NewRetryDetector returns a RetryDetector that knows no route. Callers that a former process
// refused or cut off may come now.
func NewRetryDetector(now time.Time) *RetryDetector {
	return &RetryDetector{routes: map[string]*waits{}, refused: now}
}

// RecordRefusal notes that a caller was told to come back.
func (c *RetryDetector) RecordRefusal(now time.Time) { c.refused = now }

// RefusedRecently reports whether callers were told to come back lately.
func (c *RetryDetector) RefusedRecently(now time.Time) bool { return now.Sub(c.refused) < refusingFor }

// Observe notes a caller of a route that is willing to wait so long, and reports
// whether it has come back. longest is the route's own limit, which stands for the
// usual wait until that is known. Where nobody was refused lately, nobody has come
// back: a short wait is then the caller's own.
func (c *RetryDetector) Observe(route string, wait, longest time.Duration, now time.Time) bool {
	w := c.routes[route]
	if w == nil {
		w = &waits{}
		c.routes[route] = w
	}
	w.add(wait)
	if now.Sub(c.refused) > refusalMemory {
		return false
	}
	usual := w.usual
	if len(w.last) < callersNeeded {
		usual = longest
	}
	return wait < time.Duration(returnedShare*float64(usual))
}

func (w *waits) add(wait time.Duration) {
	// renewEvery is the number of callers after which the usual wait is found anew.
	const renewEvery = 8
	if len(w.last) < callersKept {
		w.last = append(w.last, wait)
	} else {
		w.last[w.next%callersKept] = wait
	}
	w.next++
	if w.next%renewEvery == 0 {
		w.usual = slices.Sorted(slices.Values(w.last))[usualRank*len(w.last)/100]
	}
}
