package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a deadline that counts from when a request was read although the
// request waited in its socket while the process was paused, both before and after
// the first tick, and against deadlines that stay shortened afterwards.
func TestPauseShortensDeadlines(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := &pauses{}
	is.Equal(p.deadlineReduction(now), time.Duration(0))
	p.tick(now.Add(-3 * time.Second))
	is.Equal(p.deadlineReduction(now), 3*time.Second-tickInterval)
	is.Equal(p.tick(now), 3*time.Second-tickInterval)
	p.tick(now.Add(deadlineWindow / 2).Add(-tickInterval))
	is.Equal(p.deadlineReduction(now.Add(deadlineWindow/2)), 3*time.Second-tickInterval)
	p.tick(now.Add(deadlineWindow))
	is.Equal(p.deadlineReduction(now.Add(deadlineWindow)), time.Duration(0))
}
