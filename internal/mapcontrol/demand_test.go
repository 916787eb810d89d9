package mapcontrol

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

// roundTime is the time between two rounds of messages.
const roundTime = 60 * time.Millisecond

// replay runs rounds until a time and returns when a shift was seen.
func replay(l *load, d *demand, now *time.Time, length time.Duration) (seen []time.Duration) {
	for t := time.Duration(0); t < length; t += roundTime {
		l.round(d)
		*now = now.Add(roundTime)
		if d.close(l.ranks, *now) {
			seen = append(seen, t+roundTime)
		}
	}
	return seen
}

// Guards against plans for a mix of the demands before and after a shift, which
// left a pass 1.8 times as long as an even one (quiet-1 of the first trials).
func TestShiftsAreSeenAtOnceAndOnlyThen(t *testing.T) {
	for name, s := range map[string]shape{"small": small, "large": large} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, d, now := newLoad(s, 1), &demand{}, time.Unix(0, 0)
			is.Equal(len(replay(l, d, &now, 3*time.Second)), 0) // no shift, none seen
			for range 5 {
				l.shift(0.55)
				seen := replay(l, d, &now, 3*time.Second)
				is.Equal(len(seen), 1)
				is.True(seen[0] <= 2*roundTime)
			}
			is.True(d.interval > 2500*time.Millisecond && d.interval < 3500*time.Millisecond)
		})
	}
}

// Guards against windows with a part of the ranks: on the grown site every other
// window was taken for a shift.
func TestWindowNeedsNearlyAllRanks(t *testing.T) {
	is := is.New(t)
	l, d := newLoad(small, 1), &demand{}
	l.round(d)
	is.True(!d.close(l.ranks, time.Unix(1, 0)))
	is.True(d.known(4, 64))
	for rank := range 10 {
		d.add(&peers.ExpertCounts{Rank: rank, Scale: 255, Last: true, Counts: make([]byte, 256)})
		d.window[rank] += 1e6
	}
	before := d.base[0]
	d.close(l.ranks, time.Unix(2, 0))
	is.Equal(d.base[0], before)
}

// Guards against a message that would take the memory or panic.
func TestWrongMessagesAreDropped(t *testing.T) {
	is := is.New(t)
	d := &demand{}
	d.add(&peers.ExpertCounts{Offset: -1, Counts: []byte{1}})
	d.add(&peers.ExpertCounts{Offset: maxCounts, Counts: []byte{1}})
	is.Equal(len(d.window), 0)
}

// Guards against the rest of a shift being taken for another one: passes are long
// after a shift, so that windows have choices from before and after it. On the
// grown site this brought the expected interval from 2.95 s down to 1.87 s and
// the limit up from 6 to 9.
func TestTheRestOfAShiftIsNoShift(t *testing.T) {
	is := is.New(t)
	l, d, now := newLoad(large, 3), &demand{}, time.Unix(0, 0)
	replay(l, d, &now, 2700*time.Millisecond)
	shifts := 0
	for range 6 {
		// Half of the change is seen at once, the rest some windows later.
		l.shift(0.5)
		shifts += len(replay(l, d, &now, 480*time.Millisecond))
		l.shift(0.5)
		shifts += len(replay(l, d, &now, 2220*time.Millisecond))
	}
	is.Equal(shifts, 6)
	is.True(d.interval > 2400*time.Millisecond)
}
