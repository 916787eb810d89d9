package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a deadline that counts from the reading of a request that
// waited in its socket while the process was stopped, before and after the
// first tick, and against deadlines that stay short afterwards.
func TestStopShortensDeadlines(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var s stops
	is.Equal(s.waited(now), time.Duration(0))
	tick := now.Add(-3 * time.Second)
	s.tick.Store(&tick)
	is.Equal(s.waited(now), 3*time.Second-stopTick)
	s.tick.Store(&now)
	s.late.Store(&stop{lasted: 2 * time.Second, ended: now})
	is.Equal(s.waited(now.Add(backlogTime/2)), 2*time.Second)
	later := now.Add(backlogTime)
	s.tick.Store(&later)
	is.Equal(s.waited(later), time.Duration(0))
}
