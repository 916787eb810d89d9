package mapcontrol

import (
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
)

const (
	// gapShare is the part of the tightest allowed pause between events that a
	// pass should take. The rest is for passes that read long prompts, for maps
	// that lag behind demand and for the way to the caller.
	gapShare = 0.72
	// passMemory is the weight of a new measurement of the time of a pass, four a
	// second. The average is over a whole time between two shifts of demand: the
	// long passes after each of them are foreseen by the model.
	passMemory = 0.1
	// modelShare is the part of the tightest allowed pause that the passes after a
	// shift may take by the engine's own figures. At 5.8 requests a rank and an
	// unevenness of 2.5 (0.96) no stream of the grown site had a longer pause.
	modelShare = 1
	// recentShifts is the number of shifts that the expected unevenness is taken
	// from: the second largest of them. An average would let every second shift break
	// the allowed pause of all requests that run, and what looks like a mild shift
	// after a freeze of the controller brought it from 2.5 down to 2.0.
	recentShifts = 5
	// feedbackFloor is the part of the modelled number down to which the measured
	// time of a pass may lower the limit.
	feedbackFloor = 0.75
	// longestPass bounds a measured pass; passes of working groups take less than
	// 0.2 s.
	longestPass = 250 * time.Millisecond
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
	// uneven is the time of a pass with the map in force, relative to an even
	// group; peak is what shifts of demand usually raise it to.
	uneven, peak float64
	shifts       []float64
}

// shifted takes the unevenness that a shift of demand has brought.
func (l *limiter) shifted(uneven float64) {
	l.shifts = append(l.shifts, uneven)
	l.shifts = l.shifts[max(len(l.shifts)-recentShifts, 0):]
	sorted := slices.Sorted(slices.Values(l.shifts))
	l.peak = sorted[max(len(sorted)-2, 0)]
	if len(sorted) < recentShifts {
		l.peak = sorted[len(sorted)-1]
	}
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
	// The mean of a time in which the group was idle or held says nothing.
	pass := min(took/time.Duration(step-l.step), longestPass)
	if l.pass == 0 {
		l.pass = pass
	}
	l.pass += time.Duration(passMemory * float64(pass-l.pass))
	l.step, l.at = step, now
}

// decide returns the number of requests that ranks should run on average when
// they run running now. gap is the tightest allowed pause.
func (l *limiter) decide(e *deployment.Engine, running float64, gap time.Duration) float64 {
	if gap == 0 {
		l.limit = float64(e.Slots)
		return l.limit
	}
	model := l.byModel(e, gap)
	n := model
	if l.pass > 0 && running >= 1 {
		// A pass that was long for another reason, such as an order without an
		// answer, must not stop the group's work.
		n = max(min(l.byPass(e, running, gap), model), feedbackFloor*model)
	}
	l.limit = min(max(n, minLimit), float64(e.Slots))
	return l.limit
}

// byPass returns how many requests a rank can run by the measured time of a
// pass, with which each rank runs so many now.
func (l *limiter) byPass(e *deployment.Engine, running float64, gap time.Duration) float64 {
	perRequest := stepPerRequest(e)
	even := e.Step.Seconds() + perRequest*running
	wanted := gapShare * gap.Seconds() / l.pass.Seconds() * even
	return (wanted - e.Step.Seconds()) / perRequest
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

// byModel returns how many requests a rank can run so that passes stay within
// the gap, also when demand shifts now: the requests that run then go on.
func (l *limiter) byModel(e *deployment.Engine, gap time.Duration) float64 {
	uneven := max(l.uneven, l.peak)
	if l.peak == 0 {
		uneven = max(l.uneven, firstPeak)
	}
	step := modelShare * gap.Seconds() / uneven / float64(e.StepsPerPass)
	return (step - e.Step.Seconds()) / stepPerRequest(e)
}
