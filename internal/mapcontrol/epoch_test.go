package mapcontrol

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

// Guards against one report of an epoch far ahead that hides all later reports of a group
// for as long as the controller runs.
func TestEpochThatNoRankReportsEnds(t *testing.T) {
	is := is.New(t)
	c := New(Config{Recorder: events.NewRecorder("gateway", 1, io.Discard)})
	report := func(rank int, epoch int64) {
		c.HandleReport(&peers.Report{Group: "g", Rank: rank, Size: 2, Epoch: epoch})
	}
	report(0, 3)
	report(1, 3)
	report(1, 1<<50)
	report(0, 3)
	g := c.groups["g"]
	is.Equal(g.epoch, int64(1<<50)) // a report of epoch 3 may be a delayed one
	g.ranks[1].reportedAt = time.Now().Add(-epochTimeout)
	report(1, 3)
	report(0, 3)
	is.Equal(g.epoch, int64(3))
	report(0, 2)
	is.Equal(g.epoch, int64(3))
}
