package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	goal       = 500 * time.Millisecond
	firstWait  = 1250 * time.Millisecond // then a first request is refused
	lastWait   = 1700 * time.Millisecond // then a caller that came back leaves
	heeded     = 2500 * time.Millisecond // the longest Retry-After that is heeded
	patience   = 8 * time.Second
	perSecond  = 100 // places
	replayStep = 10 * time.Millisecond
)

// caller is one that asks, and once more after a refusal.
type caller struct {
	first    time.Time
	returned bool
}

type outcome struct{ asked, onTime, late, lost int }

// replayReturns plays callers that come at a rate, a second, in relation to the places,
// and come back once when they are refused.
func replayReturns(rate func(t time.Duration) float64, length time.Duration) outcome {
	q, callers := NewQueue[caller](), NewRetryDetector(time.Unix(0, 0))
	random := rand.New(rand.NewPCG(1, 2))
	var out outcome
	back := map[time.Duration][]caller{}
	refuse := func(c caller, t, wait time.Duration) {
		callers.RecordRefusal(time.Unix(0, 0).Add(t))
		if c.returned {
			out.lost++
			return
		}
		at := t + wait + time.Duration(random.Float64()*float64(max(heeded-wait, 0)))
		at -= at % replayStep
		back[at+replayStep] = append(back[at+replayStep], caller{c.first, true})
	}
	ask := func(c caller, t time.Duration) {
		now := time.Unix(0, 0).Add(t)
		i := &Item[caller]{Value: c, Account: "a", Arrived: now, TargetDeadline: now.Add(goal), RefuseAt: now.Add(firstWait)}
		left := patience - now.Sub(c.first) - time.Duration(random.Int64N(int64(patience/8)))
		i.CallerRetry = callers.Observe("r", left, patience, now) && q.TakeSpareCapacity()
		if i.CallerRetry {
			i.RefuseAt = now.Add(lastWait)
		}
		q.SetSlots(0, perSecond, now)
		q.Arrived(0, i.CallerRetry, now)
		wait, ok := q.EstimateWait(0, goal, now)
		if i.CallerRetry {
			wait, ok = q.EstimateRetryWait(now)
		}
		if ok && wait > i.RefuseAt.Sub(now) {
			refuse(c, t, min(wait, heeded))
			return
		}
		q.Push(i)
	}
	due, places := 0.0, 0.0
	for t := time.Duration(0); t < length+10*time.Second; t += replayStep {
		now := time.Unix(0, 0).Add(t)
		if t < length {
			for due += rate(t) * perSecond * replayStep.Seconds(); due >= 1; due-- {
				out.asked++
				ask(caller{first: now}, t)
			}
		}
		for _, c := range back[t] {
			ask(c, t)
		}
		for _, i := range q.Expired(now) {
			refuse(i.Value, t, 0)
		}
		for places = min(places+perSecond*replayStep.Seconds(), 3); places >= 1 && q.Len() > 0; places-- {
			c := q.Pop(now).Value
			if now.Sub(c.first) <= goal {
				out.onTime++
			} else {
				out.late++
			}
		}
	}
	return out
}

// Guards against callers that are lost in a wave though there are places for all of
// them before and after its crest: on kta-bell 4 in 100 were refused for good, because
// those who came back were refused like those who have a try left.
func TestWaveServesCallersThatComeBack(t *testing.T) {
	is := is.New(t)
	const period, swing, mean = 17.0, 0.55, 0.8
	got := replayReturns(func(t time.Duration) float64 {
		return mean * (1 + swing*math.Sin(2*math.Pi*t.Seconds()/period))
	}, 68*time.Second)
	is.True(share(got.lost, got.asked) < 0.01)
	is.True(share(got.onTime, got.asked) > 0.7)
}

// Guards against a flood that lasts in which places go to callers that came back until
// all are late: whoever can't be served is lost in any case.
func TestFloodThatLastsIsServedOnTime(t *testing.T) {
	is := is.New(t)
	got := replayReturns(func(time.Duration) float64 { return 1.15 }, 60*time.Second)
	is.True(share(got.onTime, got.asked) > 0.6)
	is.True(share(got.onTime+got.late, got.asked) > 0.8) // no place stays free
}

// Guards against callers that are refused because the first few places of a process
// look like a rate of places: 190 of them came back in the second in which a group
// started after a loss of power, and were lost.
func TestStartIsNoFullQueue(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int]()
	now := time.Unix(10, 0)
	q.SetSlots(0, perSecond, now)
	for range 30 {
		q.Push(&Item[int]{Account: "a", TargetDeadline: now.Add(goal), RefuseAt: now.Add(firstWait)})
	}
	q.Pop(now)
	q.Pop(now)
	wait, ok := q.EstimateWait(0, goal, now)
	is.True(ok)
	is.True(wait < goal)
	// A group that has not opened yet has all of its places free.
	for range 2 * perSecond {
		q.Push(&Item[int]{Account: "a", TargetDeadline: now.Add(goal), RefuseAt: now.Add(firstWait)})
	}
	q.SetSlots(2*perSecond, perSecond, now)
	wait, _ = q.EstimateWait(0, goal, now)
	is.True(wait < goal)
}

// Guards against callers with little time that are taken for ones that came back, and
// the other way round.
func TestCallersThatComeBackAreKnown(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	c := NewRetryDetector(start)
	is.True(c.Observe("r", 5*time.Second, 8*time.Second, start)) // after a start, by the route's limit
	is.True(!c.Observe("r", 7*time.Second, 8*time.Second, start))
	later := start.Add(refusalMemory + time.Second)
	for n := range 2 * callersKept {
		is.True(!c.Observe("r", 7*time.Second+time.Duration(n%10)*100*time.Millisecond, 30*time.Second, later))
	}
	is.True(!c.Observe("r", 5*time.Second, 30*time.Second, later)) // nobody was refused
	c.RecordRefusal(later)
	is.True(c.Observe("r", 5*time.Second, 30*time.Second, later))
	is.True(!c.Observe("r", 7*time.Second, 30*time.Second, later))
}
