package mapcontrol

import (
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
)

const (
	// passMemory is the weight of a new measurement of the time of a pass.
	passMemory = 0.4
	// slowerMemory is the weight of a new measurement, four a second, of how much
	// slower the group is than its engines' figures say. It lasts for some shifts of
	// demand: until one is seen, passes are longer than expected.
	slowerMemory = 0.1
	// usualSlower is the part by which passes are longer on average for that reason,
	// for 0.2 s of 2.5 s, and for copies and switches.
	usualSlower = 1.25
	// modelShare is the part of the tightest allowed pause that the passes after a
	// shift may take by the engine's own figures. At 5.8 requests a rank and an
	// unevenness of 2.5 (0.96) no stream of the grown site had a longer pause.
	modelShare = 1
	// recentShifts is the number of shifts that the expected unevenness is taken from:
	// peakShare in 100 of them are milder. What looks like a mild shift after a freeze
	// of the controller brought an average from 2.5 down to 2.0.
	recentShifts = 5
	peakShare    = 60
	// usualPeak stands for the shifts before the first one that was seen, twice: those
	// of today's sites are 1.8 to 2.8, of the grown ones 2.3 to 2.8.
	usualPeak = 2.4
	// mildShare, mildPeak and firstMild take the place of peakShare, usualPeak and
	// firstPeak while callers are refused: a place more serves somebody, and only the
	// streams that run at an uneven shift have a long pause.
	mildShare = 20
	mildPeak  = 1.8
	firstMild = 2.0
	// feedbackFloor is the part of the modelled number down to which measured passes
	// may lower the limit.
	feedbackFloor = 0.75
	// longestPass bounds a measured pass; passes of working groups take less than
	// 0.2 s, and 0.45 s with one rank that is 12 times slower.
	longestPass = 500 * time.Millisecond
	// firstPeak is the unevenness that is assumed until a shift was seen: that of
	// the map with which an epoch begins, 2.7 to 2.8 on the grown sites.
	firstPeak = 2.8
	// minLimit keeps a rank at work whatever the measurements say.
	minLimit = 3.0
)

// limiter steers how many requests a rank runs at a time by the time of a pass.
// Load pattern: more requests than the group can run. All ranks pass together,
// so each request that runs makes the pause between events longer for all.
type limiter struct {
	step  int64
	at    time.Time
	pass  time.Duration
	limit float64
	// sample is a measured pass that was not compared yet, and slower how much slower
	// than its engines' figures the group is; 0 is unknown.
	sample time.Duration
	slower float64
	// uneven is the time of a pass with the map in force, relative to an even
	// group; peak is what shifts of demand usually raise it to, and mild what they
	// raise it to at least in most cases. shifts has those that were seen.
	uneven, peak, mild float64
	shifts             []float64
	// refusing tells that callers are refused because places are short.
	refusing bool
}

// shifted takes the unevenness that a shift of demand has brought.
func (l *limiter) shifted(uneven float64) {
	l.shifts = append(l.shifts, uneven)
	l.shifts = l.shifts[max(len(l.shifts)-recentShifts, 0):]
	l.peak = l.shiftAt(peakShare, usualPeak)
	l.mild = l.shiftAt(mildShare, mildPeak)
}

// shiftAt returns the unevenness that share in 100 of the last shifts don't exceed.
// Two shifts of first stand before those that were seen: one mild shift must not raise
// the limit for the next one.
func (l *limiter) shiftAt(share int, first float64) float64 {
	last := append([]float64{first, first}, l.shifts...)
	last = last[max(len(last)-recentShifts, 0):]
	return slices.Sorted(slices.Values(last))[share*len(last)/100]
}

// expected returns the unevenness that the next shift is expected to bring.
func (l *limiter) expected() float64 {
	switch {
	case l.refusing && l.peak == 0:
		return firstMild
	case l.refusing:
		return l.mild
	case l.peak == 0:
		return firstPeak
	}
	return l.peak
}

// measure takes the last pass that was begun.
func (l *limiter) measure(step int64, now time.Time) {
	// measureOver is the least time between two measurements.
	const measureOver = 250 * time.Millisecond
	if l.at.IsZero() || step < l.step {
		l.step, l.at = step, now
		return
	}
	took := now.Sub(l.at)
	if took < measureOver || step == l.step {
		return
	}
	pass := took / time.Duration(step-l.step)
	l.step, l.at = step, now
	if pass > longestPass {
		// The group was idle or held for a part of the time.
		return
	}
	l.sample = pass
	if l.pass == 0 {
		l.pass = pass
	}
	l.pass += time.Duration(passMemory * float64(pass-l.pass))
}

// compare takes the last measured pass, relative to the time that the engine's
// figures give with each rank running so many requests.
func (l *limiter) compare(e *deployment.Engine, running float64) {
	if l.sample == 0 || running < 1 {
		return
	}
	expected := (e.Step.Seconds() + stepPerRequest(e)*running) * float64(e.StepsPerPass) * max(l.uneven, 1)
	slower := l.sample.Seconds() / expected
	l.sample = 0
	if l.slower == 0 {
		l.slower = slower
	}
	l.slower += slowerMemory * (slower - l.slower)
}

// decide returns the number of requests that ranks should run on average when
// they run running now. gap is the tightest allowed pause.
func (l *limiter) decide(e *deployment.Engine, running float64, gap time.Duration) float64 {
	if gap == 0 {
		l.limit = float64(e.Slots)
		return l.limit
	}
	l.compare(e, running)
	model := l.byModel(e, gap, 1)
	measured := l.byModel(e, gap, max(l.slower/usualSlower, 1))
	// A pass that was long for another reason, such as an order without an
	// answer, must not stop the group's work.
	l.limit = min(max(measured, feedbackFloor*model, minLimit), float64(e.Slots))
	return l.limit
}

// stepPerRequest returns what each running request adds to a step, in seconds:
// its token, and its part of the reading of the prompts that follow it.
func stepPerRequest(e *deployment.Engine) float64 {
	s := e.StepPerRequest.Seconds()
	if e.PromptTokensPerSecond > 0 && e.MeanAnswerTokens > 0 {
		s += e.MeanPromptTokens / e.MeanAnswerTokens / e.PromptTokensPerSecond
	}
	return s
}

// byModel returns how many requests a rank can run so that passes stay within
// the gap, also when demand shifts now: the requests that run then go on. The group
// is so many times slower than the engine's figures say.
func (l *limiter) byModel(e *deployment.Engine, gap time.Duration, slower float64) float64 {
	uneven := max(l.uneven, l.expected())
	step := modelShare * gap.Seconds() / uneven / slower / float64(e.StepsPerPass)
	return (step - e.Step.Seconds()) / stepPerRequest(e)
}
