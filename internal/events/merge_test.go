package events

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

func recorderWithClockOffset(name fleet.ProcessID, offset time.Duration) *Recorder {
	r := NewRecorder(name, 1, io.Discard)
	at := time.Unix(100000, 0).Add(offset)
	r.Clock.wall = func() time.Time { return at }
	return r
}

// Guards against a timeline that shows an effect before its cause when wall
// clocks disagree by minutes.
func TestMergeKeepsCausalOrder(t *testing.T) {
	is := is.New(t)
	a, b, c := recorderWithClockOffset("a", 5*time.Minute), recorderWithClockOffset("b", -4*time.Minute), recorderWithClockOffset("c", 0)
	a.Record("1", "r")
	b.Clock.Observe(a.Clock.Now())
	b.Record("2", "r")
	c.Clock.Observe(b.Clock.Now())
	c.Record("3", "r")
	a.Clock.Observe(c.Clock.Now())
	a.Record("4", "r")
	names := ""
	for _, e := range Merge(c.Recent(0), b.Recent(0), a.Recent(0)) {
		names += e.Name
	}
	is.Equal(names, "1234")
}

// Guards against one faulty peer that moves the fleet's clocks far ahead.
func TestClockIgnoresTimestampsFarAhead(t *testing.T) {
	is := is.New(t)
	r := recorderWithClockOffset("a", 0)
	before := r.Clock.Now()
	r.Clock.Observe(wallTimestamp(r.Clock.wall().Add(2 * maxClockLead)))
	is.Equal(r.Clock.Now().Milliseconds(), before.Milliseconds())
}
