package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a reserve that does not follow the measured times, that a single stall
// inflates, or that leaves no time to wait in the queue.
func TestReserveFollowsMeasuredTimes(t *testing.T) {
	is := is.New(t)
	const target = 500 * time.Millisecond
	var r reserve
	is.Equal(r.forTarget(target), time.Duration(reserveMargin*float64(initialReserve)))
	for range 200 {
		r.record(100 * time.Millisecond)
	}
	short := r.forTarget(target)
	is.True(short > 100*time.Millisecond && short < 150*time.Millisecond)
	r.record(2 * time.Second)
	is.True(r.forTarget(target) < 2*short)
	for range 200 {
		r.record(2 * time.Second)
	}
	is.Equal(r.forTarget(target), target/2)
}
