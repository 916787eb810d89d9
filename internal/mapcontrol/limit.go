package mapcontrol

import (
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
)

const (
	// passWeight is the weight of a new measurement of the time of a pass.
	passWeight = 0.4
	// slowdownWeight is the weight of a new measurement, four a second, of how much
	// slower the group is than its engines' figures say. It lasts for some shifts of
	// demand: until one is seen, passes are longer than expected.
	slowdownWeight = 0.1
	// usualSlowdown is the part by which passes are longer on average for that reason,
	// for 0.2 s of 2.5 s, and for copies and switches.
	usualSlowdown = 1.25
	// gapShare is the part of the tightest allowed pause that the passes after a
	// shift may take by the engine's own figures. At 5.8 requests a rank and an
	// unevenness of 2.5 (0.96) no stream of the grown site had a longer pause.
	gapShare = 1
	// maxRecentShifts is the number of shifts that the expected unevenness is taken from:
	// peakPercentile in 100 of them are milder. What looks like a mild shift after a freeze
	// of the controller brought an average from 2.5 down to 2.0.
	maxRecentShifts = 5
	peakPercentile  = 60
	// assumedPeak stands for the shifts before the first one that was seen, twice: those
	// of today's sites are 1.8 to 2.8, of the grown ones 2.3 to 2.8.
	assumedPeak = 2.4
	// mildPercentile, assumedMild and initialMild take the place of peakPercentile, assumedPeak and
	// initialPeak while callers are refused: a place more serves somebody, and only the
	// streams that run at an uneven shift have a long pause.
	mildPercentile = 20
	assumedMild    = 1.8
	initialMild    = 2.0
	// minMeasuredShare is the part of the modelled number down to which measured passes
	// may lower the limit.
	minMeasuredShare = 0.75
	// maxPassTime bounds a measured pass; passes of working groups take less than
	// 0.2 s, and 0.45 s with one rank that is 12 times slower.
	maxPassTime = 500 * time.Millisecond
	// initialPeak is the unevenness that is assumed until a shift was seen: that of
	// the map with which an epoch begins, 2.7 to 2.8 on the grown sites.
	initialPeak = 2.8
	// minLimit keeps a rank at work whatever the measurements say.
	minLimit = 3.0
)

// limiter steers how many requests a rank runs at a time by the time of a pass.
// Load pattern: more requests than the group can run. All ranks pass together,
// so each request that runs makes the pause between events longer for all.
type limiter struct {
	lastStep   int64
	lastStepAt time.Time
	meanPass   time.Duration
	limit      float64
	// sample is a measured pass that was not compared yet, and slower how much slower
	// than its engines' figures the group is; 0 is unknown.
	sample   time.Duration
	slowdown float64
	// imbalance is the time of a pass with the map in force, relative to an even
	// group; peak is what shifts of demand usually raise it to, and mild what they
	// raise it to at least in most cases. shifts has those that were seen.
	imbalance, peak, mild float64
	recentImbalances      []float64
	// refusing tells that callers are refused because places are short.
	refusing bool
}

// recordShift takes the unevenness that a shift of demand has brought.
func (l *limiter) recordShift(imbalance float64) {
	l.recentImbalances = append(l.recentImbalances, imbalance)
	l.recentImbalances = l.recentImbalances[max(len(l.recentImbalances)-maxRecentShifts, 0):]
	l.peak = l.shiftPercentile(peakPercentile, assumedPeak)
	l.mild = l.shiftPercentile(mildPercentile, assumedMild)
}

// shiftPercentile returns the unevenness that share in 100 of the last shifts don't exceed.
// Two shifts of first stand before those that were seen: one mild shift must not raise
// the limit for the next one.
func (l *limiter) shiftPercentile(share int, first float64) float64 {
	last := append([]float64{first, first}, l.recentImbalances...)
	last = last[max(len(last)-maxRecentShifts, 0):]
	return slices.Sorted(slices.Values(last))[share*len(last)/100]
}

// expectedImbalance returns the unevenness that the next shift is expectedImbalance to bring.
func (l *limiter) expectedImbalance() float64 {
	switch {
	case l.refusing && l.peak == 0:
		return initialMild
	case l.refusing:
		return l.mild
	case l.peak == 0:
		return initialPeak
	}
	return l.peak
}

// measurePass takes the last pass that was begun.
func (l *limiter) measurePass(step int64, now time.Time) {
	// minMeasureInterval is the least time between two measurements.
	const minMeasureInterval = 250 * time.Millisecond
	if l.lastStepAt.IsZero() || step < l.lastStep {
		l.lastStep, l.lastStepAt = step, now
		return
	}
	took := now.Sub(l.lastStepAt)
	if took < minMeasureInterval || step == l.lastStep {
		return
	}
	pass := took / time.Duration(step-l.lastStep)
	l.lastStep, l.lastStepAt = step, now
	if pass > maxPassTime {
		// The group was idle or held for a part of the time.
		return
	}
	l.sample = pass
	if l.meanPass == 0 {
		l.meanPass = pass
	}
	l.meanPass += time.Duration(passWeight * float64(pass-l.meanPass))
}

// updateSlowdown takes the last measured pass, relative to the time that the engine's
// figures give with each rank running so many requests.
func (l *limiter) updateSlowdown(e *deployment.Engine, running float64) {
	if l.sample == 0 || running < 1 {
		return
	}
	expected := (e.Step.Seconds() + stepPerRequest(e)*running) * float64(e.StepsPerPass) * max(l.imbalance, 1)
	slowdown := l.sample.Seconds() / expected
	l.sample = 0
	if l.slowdown == 0 {
		l.slowdown = slowdown
	}
	l.slowdown += slowdownWeight * (slowdown - l.slowdown)
}

// updateLimit returns the number of requests that ranks should run on average when
// they run running now. gap is the tightest allowed pause.
func (l *limiter) updateLimit(e *deployment.Engine, running float64, gap time.Duration) float64 {
	if gap == 0 {
		l.limit = float64(e.Slots)
		return l.limit
	}
	l.updateSlowdown(e, running)
	model := l.modelLimit(e, gap, 1)
	measured := l.modelLimit(e, gap, max(l.slowdown/usualSlowdown, 1))
	// A pass that was long for another reason, such as an order without an
	// answer, must not stop the group's work.
	l.limit = min(max(measured, minMeasuredShare*model, minLimit), float64(e.Slots))
	return l.limit
}

// stepPerRequest returns what each running request adds to a step, in seconds:
// its token, and its part of the reading of the prompts that follow it.
func stepPerRequest(e *deployment.Engine) float64 {
	s := e.StepPerRequest.Seconds()
	if e.PromptTokensPerSecond > 0 && e.UsualAnswer > 0 {
		s += e.UsualPrompt / e.UsualAnswer / e.PromptTokensPerSecond
	}
	return s
}

// modelLimit returns how many requests a rank can run so that passes stay within
// the gap, also when demand shifts now: the requests that run then go on. The group
// is so many times slower than the engine's figures say.
func (l *limiter) modelLimit(e *deployment.Engine, gap time.Duration, slowdown float64) float64 {
	imbalance := max(l.imbalance, l.expectedImbalance())
	step := gapShare * gap.Seconds() / imbalance / slowdown / float64(e.StepsPerPass)
	return (step - e.Step.Seconds()) / stepPerRequest(e)
}
