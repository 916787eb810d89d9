package mapcontrol

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// passTime returns the pass time from the engine parameters, for a number of requests
// per rank and an imbalance.
func passTime(s shape, requests, imbalance float64) time.Duration {
	step := float64(s.engine.Step) + requests*float64(s.engine.StepPerRequest)
	return time.Duration(step * float64(s.engine.StepsPerPass) * imbalance)
}

// Guards against late events in all streams after a demand shift: the requests that run
// when demand shifts make passes longer than the target gap.
func TestLimitHoldsThroughAShift(t *testing.T) {
	for name, c := range map[string]struct {
		shape shape
		gap   time.Duration
	}{"small": {small, 120 * time.Millisecond}, "large": {large, 150 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l limiter
			l.imbalance = 1.1
			for range 5 {
				l.recordShift(2.3)
			}
			n := l.updateLimit(&c.shape.engine, 5, c.gap)
			is.True(passTime(c.shape, n, 2.3) <= c.gap)
			is.True(n >= float64(c.shape.engine.Slots)/2) // the group is not idle
		})
	}
}

// Guards against a limit that falls to 2 after one long pass, which makes the queue
// grow although the group has capacity (the score was 0.484 instead of 0.594).
func TestOneLongPassDoesNotStopTheGroup(t *testing.T) {
	is := is.New(t)
	l := limiter{imbalance: 1.1, peak: 2.2}
	now := time.Unix(0, 0)
	step := int64(0)
	for range 8 {
		step += 6
		now = now.Add(300 * time.Millisecond)
		l.measurePass(step, now)
	}
	typical := l.updateLimit(&small.engine, 6, 120*time.Millisecond)
	now = now.Add(1500 * time.Millisecond)
	step++
	l.measurePass(step, now)
	is.True(l.updateLimit(&small.engine, 6, 120*time.Millisecond) >= typical/2)
}

// Guards against too many requests on a group that is slower than its configured engine
// parameters.
func TestMeasuredPassLowersTheLimit(t *testing.T) {
	is := is.New(t)
	fast, slow := limiter{imbalance: 1.1, peak: 1.6}, limiter{imbalance: 1.1, peak: 1.6}
	for i := int64(1); i < 20; i++ {
		now := time.Unix(0, 0).Add(time.Duration(i) * 300 * time.Millisecond)
		fast.measurePass(i*6, now)
		slow.measurePass(i*2, now)
	}
	gap := 120 * time.Millisecond
	is.True(slow.updateLimit(&small.engine, 8, gap) < fast.updateLimit(&small.engine, 8, gap))
}

// Guards against pass times measured across two epochs.
func TestPassMeasurementRestartsWithEpoch(t *testing.T) {
	is := is.New(t)
	var l limiter
	l.measurePass(500, time.Unix(1, 0))
	l.measurePass(3, time.Unix(2, 0))
	is.Equal(l.meanPass, time.Duration(0))
	l.measurePass(13, time.Unix(3, 0))
	is.Equal(l.meanPass, 100*time.Millisecond)
}

// Guards against a limit that mild shifts raise too far for strong ones: in a large
// deployment 2,600 of 11,000 streams had a gap of more than 150 ms in passes after
// shifts of 2.3 to 2.8. At least half of the shifts must stay within the target gap,
// and none may exceed it by more than a fifth.
func TestLimitFitsTypicalShift(t *testing.T) {
	is := is.New(t)
	gap := 150 * time.Millisecond
	l := limiter{imbalance: 1.1}
	withinGap, all := 0, 0
	for range 4 {
		for _, imbalance := range []float64{2.77, 2.57, 2.28, 2.46, 2.8, 2.57, 2.26, 2.5} {
			if l.peak > 0 {
				all++
				took := passTime(large, l.updateLimit(&large.engine, 5, gap), imbalance)
				if took <= gap {
					withinGap++
				}
				is.True(took <= gap+gap/5)
			}
			l.recordShift(imbalance)
		}
	}
	is.True(2*withinGap >= all)
}

// Guards against a limit that rises after a single mild shift, which may be an
// artefact: in a large deployment it rose from 5.5 to 8 requests per rank.
func TestOneMildShiftDoesNotRaiseTheLimit(t *testing.T) {
	is := is.New(t)
	gap := 150 * time.Millisecond
	l := limiter{imbalance: 1.1}
	for range maxRecentShifts {
		l.recordShift(2.5)
	}
	before := l.updateLimit(&large.engine, 5, gap)
	l.recordShift(1.12)
	is.True(l.updateLimit(&large.engine, 5, gap) <= before)
	for range 2 * maxRecentShifts {
		l.recordShift(1.12)
	}
	is.True(l.updateLimit(&large.engine, 5, gap) > before) // demand has become balanced
}

// Guards against a limit based on the first detected shift alone: shifts of 16 ranks
// vary more, and in a small deployment one of 2.7 followed one of 2.1 and met 8.7
// requests per rank.
func TestFirstShiftDoesNotRaiseTheLimit(t *testing.T) {
	is := is.New(t)
	gap := 120 * time.Millisecond
	l := limiter{imbalance: 1.1}
	l.recordShift(2.1)
	is.True(passTime(small, l.updateLimit(&small.engine, 5, gap), assumedPeak) <= gap)
	before := l.limit
	l.recordShift(1.12)
	is.True(l.updateLimit(&small.engine, 5, gap) <= before)
}

// Guards against a limit that ignores prompt processing: each running request is
// followed by another one, whose prompt is processed in the same passes.
func TestLimitIncludesPromptProcessing(t *testing.T) {
	is := is.New(t)
	l := limiter{imbalance: 1.1, peak: 2}
	withPrompts := large.engine
	withPrompts.PromptTokensPerSecond, withPrompts.MeanPromptTokens, withPrompts.MeanAnswerTokens = 61400, 840, 97
	gap := 150 * time.Millisecond
	is.True(l.modelLimit(&withPrompts, gap, 1) < l.modelLimit(&large.engine, gap, 1))
	is.True(l.updateLimit(&withPrompts, 5, gap) >= minLimit)
}

// Guards against a limit that stays low for seconds after a rank was slow: the long
// passes of that time are expected, and the next ones are short again. In a large
// deployment it was 4.2 instead of 5.6 for 5 s.
func TestLimitRecoversAfterSlowRank(t *testing.T) {
	is := is.New(t)
	gap := 150 * time.Millisecond
	l := limiter{imbalance: 1.1, peak: 2.5}
	now, step := time.Unix(0, 0), int64(0)
	simulate := func(imbalance float64, rounds int) (limit float64) {
		l.imbalance = imbalance
		for range rounds {
			for range 3 {
				step++
				now = now.Add(passTime(large, 5, imbalance))
			}
			now = now.Add(100 * time.Millisecond) // too short for a pass
			l.measurePass(step, now)
			limit = l.updateLimit(&large.engine, 5, gap)
		}
		return limit
	}
	typical := simulate(1.1, 20)
	simulate(4, 6)
	is.True(simulate(1.1, 1) > 0.95*typical)
}

// Guards against a limit for the strongest shifts while callers are refused: it was 4
// to 5 requests per rank, with passes of 30 to 50 ms where 120 ms are allowed, and 4%
// of the callers were still refused after their last retry.
func TestLimitRisesWhileCallersAreRefused(t *testing.T) {
	is := is.New(t)
	gap := 120 * time.Millisecond
	l := limiter{imbalance: 1.1}
	for _, imbalance := range []float64{2.6, 3.2, 2.6, 2.4, 3.4} {
		l.recordShift(imbalance)
	}
	typical := l.updateLimit(&small.engine, 5, gap)
	l.refusing = true
	raised := l.updateLimit(&small.engine, 5, gap)
	is.True(raised > typical)
	is.True(passTime(small, raised, l.imbalance) <= gap) // passes between shifts are within the gap
	is.True(passTime(small, raised, 2.4) <= gap)         // and so are those after a mild one
	l.refusing = false
	is.Equal(l.updateLimit(&small.engine, 5, gap), typical)
}
