package mapcontrol

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// passTime is the time of a pass by the engine's figures.
func passTime(s shape, requests, uneven float64) time.Duration {
	step := float64(s.engine.Step) + requests*float64(s.engine.StepPerRequest)
	return time.Duration(step * float64(s.engine.StepsPerPass) * uneven)
}

// Guards against streams that are all late after a shift of demand: the requests
// that run when it comes make passes longer than the allowed pause.
func TestLimitHoldsThroughAShift(t *testing.T) {
	for name, c := range map[string]struct {
		shape shape
		gap   time.Duration
	}{"small": {small, 120 * time.Millisecond}, "large": {large, 150 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l limiter
			l.uneven = 1.1
			for range 5 {
				l.shifted(2.3)
			}
			n := l.decide(&c.shape.engine, 5, c.gap)
			is.True(passTime(c.shape, n, 2.3) <= c.gap)
			is.True(n >= float64(c.shape.engine.Slots)/2) // the group is not left idle
		})
	}
}

// Guards against a limit that one long pass brings down to 2, after which the
// queue grows although the group could work (worth 0.484 instead of 0.594).
func TestOneLongPassDoesNotStopTheGroup(t *testing.T) {
	is := is.New(t)
	l := limiter{uneven: 1.1, peak: 2.2}
	now := time.Unix(0, 0)
	step := int64(0)
	for range 8 {
		step += 6
		now = now.Add(300 * time.Millisecond)
		l.measure(step, now)
	}
	usual := l.decide(&small.engine, 6, 120*time.Millisecond)
	now = now.Add(1500 * time.Millisecond)
	step++
	l.measure(step, now)
	is.True(l.decide(&small.engine, 6, 120*time.Millisecond) >= usual/2)
}

// Guards against too many requests on a group that is slower than its figures
// say.
func TestMeasuredPassLowersTheLimit(t *testing.T) {
	is := is.New(t)
	fast, slow := limiter{uneven: 1.1, peak: 1.6}, limiter{uneven: 1.1, peak: 1.6}
	for i := int64(1); i < 20; i++ {
		now := time.Unix(0, 0).Add(time.Duration(i) * 300 * time.Millisecond)
		fast.measure(i*6, now)
		slow.measure(i*2, now)
	}
	gap := 120 * time.Millisecond
	is.True(slow.decide(&small.engine, 8, gap) < fast.decide(&small.engine, 8, gap))
}

// Guards against the use of passes of a former epoch.
func TestMeasureStartsAnewWithTheSteps(t *testing.T) {
	is := is.New(t)
	var l limiter
	l.measure(500, time.Unix(1, 0))
	l.measure(3, time.Unix(2, 0))
	is.Equal(l.pass, time.Duration(0))
	l.measure(13, time.Unix(3, 0))
	is.Equal(l.pass, 100*time.Millisecond)
}

// Guards against a limit that a mild shift raises and that a bad one cuts: on the grown
// site 2,600 of 11,000 streams had a pause of more than 150 ms in passes after shifts
// of 2.3 to 2.8. Half of the shifts have to hold, and none may be far beyond.
func TestLimitIsForTheUsualShift(t *testing.T) {
	is := is.New(t)
	gap := 150 * time.Millisecond
	l := limiter{uneven: 1.1}
	kept, all := 0, 0
	for range 4 {
		for _, uneven := range []float64{2.77, 2.57, 2.28, 2.46, 2.8, 2.57, 2.26, 2.5} {
			if l.peak > 0 {
				all++
				took := passTime(large, l.decide(&large.engine, 5, gap), uneven)
				if took <= gap {
					kept++
				}
				is.True(took <= gap+gap/5)
			}
			l.shifted(uneven)
		}
	}
	is.True(2*kept >= all)
}

// Guards against a limit that goes up after what only looks like a mild shift: on
// trouble-2 of the grown site it went from 5.5 to 8 requests a rank.
func TestOneMildShiftDoesNotRaiseTheLimit(t *testing.T) {
	is := is.New(t)
	gap := 150 * time.Millisecond
	l := limiter{uneven: 1.1}
	for range recentShifts {
		l.shifted(2.5)
	}
	before := l.decide(&large.engine, 5, gap)
	l.shifted(1.12)
	is.True(l.decide(&large.engine, 5, gap) <= before)
	for range 2 * recentShifts {
		l.shifted(1.12)
	}
	is.True(l.decide(&large.engine, 5, gap) > before) // demand has become even
}

// Guards against a limit for the first shift that was seen: those of 16 ranks differ
// more, and on scale-1 of today's sites one of 2.7 met 8.7 requests a rank after one
// of 2.1.
func TestFirstShiftDoesNotRaiseTheLimit(t *testing.T) {
	is := is.New(t)
	gap := 120 * time.Millisecond
	l := limiter{uneven: 1.1}
	l.shifted(2.1)
	is.True(passTime(small, l.decide(&small.engine, 5, gap), usualPeak) <= gap)
	before := l.limit
	l.shifted(1.12)
	is.True(l.decide(&small.engine, 5, gap) <= before)
}

// Guards against a limit that leaves the reading of prompts out: each request
// that runs is followed by another whose prompt is read in the same passes.
func TestLimitCountsTheReadingOfPrompts(t *testing.T) {
	is := is.New(t)
	l := limiter{uneven: 1.1, peak: 2}
	reading := large.engine
	reading.PromptTokensPerSecond, reading.MeanPromptTokens, reading.MeanAnswerTokens = 61400, 840, 97
	gap := 150 * time.Millisecond
	is.True(l.byModel(&reading, gap, 1) < l.byModel(&large.engine, gap, 1))
	is.True(l.decide(&reading, 5, gap) >= minLimit)
}

// Guards against a limit that stays low for seconds after one rank was slow: the
// passes of that time are expected, and the next ones are short again. On trouble-1
// of the grown site it was 4.2 in place of 5.6 for 5 s.
func TestSlowRankLeavesNoLowLimit(t *testing.T) {
	is := is.New(t)
	gap := 150 * time.Millisecond
	l := limiter{uneven: 1.1, peak: 2.5}
	now, step := time.Unix(0, 0), int64(0)
	play := func(uneven float64, rounds int) (limit float64) {
		l.uneven = uneven
		for range rounds {
			for range 3 {
				step++
				now = now.Add(passTime(large, 5, uneven))
			}
			now = now.Add(100 * time.Millisecond) // too short for a pass
			l.measure(step, now)
			limit = l.decide(&large.engine, 5, gap)
		}
		return limit
	}
	usual := play(1.1, 20)
	play(4, 6)
	is.True(play(1.1, 1) > 0.95*usual)
}

// Guards against a limit for the most uneven shifts while callers are refused: on
// kta-bell it was 4 to 5 requests a rank, with passes of 30 to 50 ms where 120 are
// allowed, and 4 in 100 callers were refused for good.
func TestLimitGoesUpWhileCallersAreRefused(t *testing.T) {
	is := is.New(t)
	gap := 120 * time.Millisecond
	l := limiter{uneven: 1.1}
	for _, uneven := range []float64{2.6, 3.2, 2.6, 2.4, 3.4} {
		l.shifted(uneven)
	}
	usual := l.decide(&small.engine, 5, gap)
	l.refusing = true
	pressed := l.decide(&small.engine, 5, gap)
	is.True(pressed > usual)
	is.True(passTime(small, pressed, l.uneven) <= gap) // passes between shifts are short enough
	is.True(passTime(small, pressed, 2.4) <= gap)      // and those after a mild one
	l.refusing = false
	is.Equal(l.decide(&small.engine, 5, gap), usual)
}
