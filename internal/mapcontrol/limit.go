package mapcontrol

import (
	"math"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
)

const (
	// gapShare is the part of the tightest allowed pause between events that a
	// pass should take. The rest is for passes that read long prompts, for maps
	// that lag behind demand and for the way to the caller.
	gapShare = 0.72
	// passMemory is the weight of a new measurement of the time of a pass.
	passMemory = 0.4
	// minLimit keeps a rank at work whatever the measurements say.
	minLimit = 2
)

// limiter steers how many requests a rank runs at a time by the time of a pass.
// Load pattern: more requests than the group can run. All ranks pass together,
// so each request that runs makes the pause between events longer for all.
type limiter struct {
	step  int64
	at    time.Time
	pass  time.Duration
	limit int
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
	if l.pass == 0 {
		l.pass = pass
	}
	l.pass += time.Duration(passMemory * float64(pass-l.pass))
	l.step, l.at = step, now
}

// decide returns the number of requests that a rank should run when each runs
// running now on average. gap is the tightest allowed pause.
func (l *limiter) decide(e *deployment.Engine, running float64, gap time.Duration) int {
	if l.pass == 0 || gap == 0 || running < 1 {
		l.limit = e.Slots
		return l.limit
	}
	even := e.Step.Seconds() + e.StepPerRequest.Seconds()*running
	wanted := gapShare * gap.Seconds() / l.pass.Seconds() * even
	n := (wanted - e.Step.Seconds()) / e.StepPerRequest.Seconds()
	l.limit = min(max(int(math.Round(n)), minLimit), e.Slots)
	return l.limit
}
