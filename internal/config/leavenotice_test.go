package config

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a replacement VM that leaves immediately because a lagging list
// still describes the VM that it replaced, and against a leaving state that never
// takes effect.
func TestLeaveNoticeIgnoresEarlierStart(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	leaving, live := []VM{{Name: "a", State: VMLeaving}}, []VM{{Name: "a", State: VMLive}}
	n := NewLeaveNotice("a", start)
	is.True(!n.Leaving(leaving, start.Add(30*time.Second)))
	is.True(n.Leaving(leaving, start.Add(staleListPeriod)))
	n = NewLeaveNotice("a", start)
	is.True(!n.Leaving(live, start))
	is.True(n.Leaving(leaving, start.Add(time.Second)))
}
