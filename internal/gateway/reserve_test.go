package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a reserve that does not follow the servers, that one stall
// brings up, or that leaves no time to wait.
func TestReserveFollowsTheServers(t *testing.T) {
	is := is.New(t)
	const goal = 500 * time.Millisecond
	var r reserve
	is.Equal(r.of(goal), time.Duration(reserveMargin*float64(firstReserve)))
	for range 200 {
		r.took(100 * time.Millisecond)
	}
	short := r.of(goal)
	is.True(short > 100*time.Millisecond && short < 150*time.Millisecond)
	r.took(2 * time.Second)
	is.True(r.of(goal) < 2*short)
	for range 200 {
		r.took(2 * time.Second)
	}
	is.Equal(r.of(goal), goal/2)
}
