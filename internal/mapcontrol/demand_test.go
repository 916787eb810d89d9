package mapcontrol

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

// roundTime is the interval between two rounds of messages.
const roundTime = 60 * time.Millisecond

// replay sends rounds of messages for the given time and returns when shifts were
// detected.
func replay(l *load, d *demand, now *time.Time, length time.Duration) (detected []time.Duration) {
	for t := time.Duration(0); t < length; t += roundTime {
		l.round(d)
		*now = now.Add(roundTime)
		if d.closeWindow(l.ranks, *now) {
			detected = append(detected, t+roundTime)
		}
	}
	return detected
}

// Guards against plans for a mix of the demand before and after a shift, which made
// passes 1.8 times as long as in a balanced group.
func TestShiftsAreDetectedWithinTwoRounds(t *testing.T) {
	for name, s := range map[string]shape{"small": small, "large": large} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, d, now := newLoad(s, 1), &demand{}, time.Unix(0, 0)
			is.Equal(len(replay(l, d, &now, 3*time.Second)), 0) // no shift, none detected
			for range 5 {
				l.shift(0.55)
				detected := replay(l, d, &now, 3*time.Second)
				is.Equal(len(detected), 1)
				is.True(detected[0] <= 2*roundTime)
			}
			is.True(d.shiftInterval > 2500*time.Millisecond && d.shiftInterval < 3500*time.Millisecond)
		})
	}
}

// Guards against windows that contain only some of the ranks: in a large deployment
// every other window was taken for a demand shift.
func TestWindowNeedsNearlyAllRanks(t *testing.T) {
	is := is.New(t)
	l, d := newLoad(small, 1), &demand{}
	l.round(d)
	is.True(!d.closeWindow(l.ranks, time.Unix(1, 0)))
	is.True(d.hasCounts(4, 64))
	for rank := range 10 {
		d.add(&peers.ExpertCounts{Rank: rank, Scale: 255, Last: true, Counts: make([]byte, 256)})
		d.window[rank] += 1e6
	}
	before := d.base[0]
	d.closeWindow(l.ranks, time.Unix(2, 0))
	is.Equal(d.base[0], before)
}

// Guards against malformed messages that exhaust the memory or cause a panic.
func TestOutOfRangeCountsAreDropped(t *testing.T) {
	is := is.New(t)
	d := &demand{}
	d.add(&peers.ExpertCounts{Offset: -1, Counts: []byte{1}})
	d.add(&peers.ExpertCounts{Offset: maxExpertCounts, Counts: []byte{1}})
	d.add(&peers.ExpertCounts{Offset: math.MaxInt, Counts: []byte{1}})
	is.Equal(len(d.window), 0)
}

// Guards against counting one shift twice: passes are long after a shift, so windows
// contain counts from before and after it. In a large deployment this lowered the
// estimated interval from 2.95 s to 1.87 s and raised the limit from 6 to 9.
func TestShiftSpanningSeveralWindowsCountsOnce(t *testing.T) {
	is := is.New(t)
	l, d, now := newLoad(large, 3), &demand{}, time.Unix(0, 0)
	replay(l, d, &now, 2700*time.Millisecond)
	shifts := 0
	for range 6 {
		// Half of the change is detected immediately, the rest some windows later.
		l.shift(0.5)
		shifts += len(replay(l, d, &now, 480*time.Millisecond))
		l.shift(0.5)
		shifts += len(replay(l, d, &now, 2220*time.Millisecond))
	}
	is.Equal(shifts, 6)
	is.True(d.shiftInterval > 2400*time.Millisecond)
}
