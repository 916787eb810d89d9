package mapcontrol

import (
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
)

const (
	// passWeight is the weight of a new pass time in the moving average.
	passWeight = 0.4
	// slowdownWeight is the weight of a new slowdown sample, of which there are four a
	// second. The average spans several demand shifts, because passes are longer than
	// expected until a shift is detected.
	slowdownWeight = 0.1
	// meanSlowdown is the mean ratio of measured to expected pass times, due to
	// undetected shifts (0.2 s of 2.5 s), copies and switches.
	meanSlowdown = 1.25
	// gapShare is the share of the tightest target gap that passes after a shift may
	// take according to the configured engine parameters. At 5.8 requests per rank and
	// an imbalance of 2.5 (a share of 0.96) no stream of the large deployment had a
	// longer gap.
	gapShare = 1
	// maxRecentShifts is the number of shifts from which the expected imbalance is
	// computed, as their peakPercentile. An average is not used: a freeze of the
	// controller can look like a mild shift and lowered an average from 2.5 to 2.0.
	maxRecentShifts = 5
	peakPercentile  = 60
	// assumedPeak is the imbalance of two assumed shifts before the first detected one.
	// Shifts cause an imbalance of 1.8 to 2.8 in the small deployments, and of 2.3 to
	// 2.8 in the large ones.
	assumedPeak = 2.4
	// mildPercentile, assumedMild and initialMild replace peakPercentile, assumedPeak
	// and initialPeak while callers are refused: an additional slot then serves a
	// caller, and only the streams that run during a strong shift have a long gap.
	mildPercentile = 20
	assumedMild    = 1.8
	initialMild    = 2.0
	// minMeasuredShare is the fraction of the modelled limit below which measured
	// passes cannot lower the limit.
	minMeasuredShare = 0.75
	// maxPassTime is the longest pass time that counts as a measurement. Passes of
	// active groups take less than 0.2 s, and 0.45 s if one rank is 12 times slower.
	maxPassTime = 500 * time.Millisecond
	// initialPeak is the imbalance that is assumed until the first shift is detected.
	// It is that of the map at the start of an epoch, 2.7 to 2.8 in the large
	// deployments.
	initialPeak = 2.8
	// minLimit is the minimum limit, in requests per rank. It keeps ranks working
	// regardless of the measurements.
	minLimit = 3.0
)

// limiter controls how many requests a rank runs concurrently, based on the pass time.
// Load pattern: more requests than the group can run. All ranks run a pass together, so
// each running request increases the inter-token gap of all streams.
type limiter struct {
	lastStep   int64
	lastStepAt time.Time
	meanPass   time.Duration
	limit      float64
	// sample is a measured pass time that updateSlowdown has not used yet; 0 if there is
	// none. slowdown is the ratio of measured to expected pass times; 0 if unknown.
	sample   time.Duration
	slowdown float64
	// imbalance is the pass time with the current map relative to a balanced group.
	// peak is the imbalance expected after a demand shift, and mild the imbalance that
	// most shifts reach. recentImbalances holds those of the last shifts.
	imbalance, peak, mild float64
	recentImbalances      []float64
	// refusing is true while callers are refused because no slot is free.
	refusing bool
}

// recordShift records the imbalance that a demand shift has caused.
func (l *limiter) recordShift(imbalance float64) {
	l.recentImbalances = append(l.recentImbalances, imbalance)
	l.recentImbalances = l.recentImbalances[max(len(l.recentImbalances)-maxRecentShifts, 0):]
	l.peak = l.shiftPercentile(peakPercentile, assumedPeak)
	l.mild = l.shiftPercentile(mildPercentile, assumedMild)
}

// shiftPercentile returns a percentile of the imbalances of the last shifts. Two shifts
// of the assumed imbalance precede the detected ones, so a single mild shift does not
// raise the limit.
func (l *limiter) shiftPercentile(percentile int, assumed float64) float64 {
	last := append([]float64{assumed, assumed}, l.recentImbalances...)
	last = last[max(len(last)-maxRecentShifts, 0):]
	return slices.Sorted(slices.Values(last))[percentile*len(last)/100]
}

// expectedImbalance returns the imbalance that the next shift is expected to cause.
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

// measurePass records the last step that has begun, and measures the pass time since
// the previous call.
func (l *limiter) measurePass(step int64, now time.Time) {
	// minMeasureInterval is the minimum time between two measurements.
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
		// The group was idle or held for some of the time.
		return
	}
	l.sample = pass
	if l.meanPass == 0 {
		l.meanPass = pass
	}
	l.meanPass += time.Duration(passWeight * float64(pass-l.meanPass))
}

// updateSlowdown compares the last measured pass time with the time expected from the
// configured engine parameters for the mean number of running requests per rank.
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

// updateLimit sets and returns the number of requests that a rank should run on
// average. running is the current mean per rank, and gap the tightest target gap; 0 if
// there is none.
func (l *limiter) updateLimit(e *deployment.Engine, running float64, gap time.Duration) float64 {
	if gap == 0 {
		l.limit = float64(e.Slots)
		return l.limit
	}
	l.updateSlowdown(e, running)
	model := l.modelLimit(e, gap, 1)
	measured := l.modelLimit(e, gap, max(l.slowdown/meanSlowdown, 1))
	// A pass that was long for another reason, such as a lost order, must not stop
	// the group.
	l.limit = min(max(measured, minMeasuredShare*model, minLimit), float64(e.Slots))
	return l.limit
}

// stepPerRequest returns the time that each running request adds to a step, in seconds:
// for its own token and for its share of processing the prompts of the requests that
// follow.
func stepPerRequest(e *deployment.Engine) float64 {
	s := e.StepPerRequest.Seconds()
	if e.PromptTokensPerSecond > 0 && e.MeanAnswerTokens > 0 {
		s += e.MeanPromptTokens / e.MeanAnswerTokens / e.PromptTokensPerSecond
	}
	return s
}

// modelLimit returns how many requests a rank can run so that passes stay within gap,
// even if demand shifts now, because the running requests continue. slowdown is the
// ratio of the group's pass times to those from the configured engine parameters.
func (l *limiter) modelLimit(e *deployment.Engine, gap time.Duration, slowdown float64) float64 {
	imbalance := max(l.imbalance, l.expectedImbalance())
	step := gapShare * gap.Seconds() / imbalance / slowdown / float64(e.StepsPerPass)
	return (step - e.Step.Seconds()) / stepPerRequest(e)
}
