package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// firstReserve is the time from sending a request to its first event that is
	// assumed before one was measured: the rest of a pass and one that reads the
	// prompt.
	firstReserve = 180 * time.Millisecond
	// reserveMemory is the part of a new measurement in the average.
	reserveMemory = 1.0 / 32
	// reserveMargin is what is kept beyond the average: passes after a shift of
	// demand are longer, and three quarters of the requests should be on time.
	reserveMargin = 1.25
)

// reserve is the part of a goal that a server takes for the first event of a
// stream. Load pattern: more requests than places. One that gets its place later
// than this before its goal is late, and takes the place of one that would not be:
// with 180 ms where servers took 150 to 250, a fifth of the answered requests of the
// grown scale-1 had their first event up to 0.2 s late. It is safe for concurrent
// use.
type reserve struct{ average atomic.Int64 }

// took takes the time from sending a request to its first event.
func (r *reserve) took(d time.Duration) {
	old := r.average.Load()
	if old == 0 {
		old = int64(firstReserve)
	}
	// Of two updates at the same time one may be lost.
	r.average.Store(old + int64(reserveMemory*float64(int64(d)-old)))
}

// of returns the reserve of a goal: half of it at most, so that some waiting is
// always allowed.
func (r *reserve) of(goal time.Duration) time.Duration {
	average := time.Duration(r.average.Load())
	if average == 0 {
		average = firstReserve
	}
	return min(time.Duration(reserveMargin*float64(average)), goal/2)
}
