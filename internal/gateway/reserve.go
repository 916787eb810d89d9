package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// initialReserve is the time from sending a request to its first event that is
	// assumed before the first measurement: the rest of the running forward pass and
	// the pass that processes the prompt.
	initialReserve = 180 * time.Millisecond
	// reserveSmoothing is the weight of a new measurement in the moving average.
	reserveSmoothing = 1.0 / 32
	// reserveMargin is the factor applied to the average. Forward passes are longer
	// after a demand shift, and three quarters of the requests should be on time.
	reserveMargin = 1.25
)

// reserve estimates the part of a latency target that a server takes until the first
// event of a stream. It is safe for concurrent use. Load pattern: more requests than
// slots. A request that gets its slot with less than this time left before its target
// is late, and takes the slot of one that would have been on time: with a fixed 180 ms,
// where servers took 150 to 250 ms, a fifth of the answered requests of scale-1 on the
// large deployment had their first event up to 0.2 s late.
type reserve struct{ average atomic.Int64 }

// record updates the average with a measured time from sending a request to its first
// event.
func (r *reserve) record(d time.Duration) {
	old := r.average.Load()
	if old == 0 {
		old = int64(initialReserve)
	}
	// One of two concurrent updates may be lost.
	r.average.Store(old + int64(reserveSmoothing*float64(int64(d)-old)))
}

// forTarget returns the reserve for a latency target: at most half of the target, which
// always leaves some time to wait in the queue.
func (r *reserve) forTarget(target time.Duration) time.Duration {
	average := time.Duration(r.average.Load())
	if average == 0 {
		average = initialReserve
	}
	return min(time.Duration(reserveMargin*float64(average)), target/2)
}
