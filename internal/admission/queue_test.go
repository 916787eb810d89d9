package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// class describes a stream of requests of one account and rank.
type class struct {
	name    string
	account fleet.ClientAccount
	urgency int
	// interval is the time between two arrivals, latencyTarget the queue wait after
	// which an item is late.
	interval, latencyTarget time.Duration
}

type served struct{ requested, onTime, late, expired int }

// replay pushes the arrivals of each class and grants one slot per interval. It returns
// the results by class name.
func replay(classes []class, slotInterval, length time.Duration) map[string]*served {
	q := NewQueue[string]()
	out := map[string]*served{}
	start := time.Unix(0, 0)
	next := map[string]time.Duration{}
	for _, c := range classes {
		out[c.name] = &served{}
	}
	for t := time.Duration(0); t < length; t += time.Millisecond {
		now := start.Add(t)
		for _, c := range classes {
			for ; next[c.name] <= t; next[c.name] += c.interval {
				out[c.name].requested++
				q.Push(&Item[string]{Value: c.name, Account: c.account, Urgency: c.urgency, Work: 100,
					Arrived: now, TargetDeadline: now.Add(c.latencyTarget), RefuseAt: now.Add(3 * c.latencyTarget)})
			}
		}
		for _, i := range q.Expired(now) {
			out[i.Value].expired++
		}
		if t%slotInterval == 0 {
			if i := q.Pop(now); i != nil {
				if i.late(now) {
					out[i.Value].late++
				} else {
					out[i.Value].onTime++
				}
			}
		}
	}
	return out
}

func share(n, of int) float64 { return float64(n) / float64(of) }

// Guards against urgent work that is queued behind a flood of bottom-rank work.
func TestBottomRankFloodKeepsTopRankOnTime(t *testing.T) {
	is := is.New(t)
	got := replay([]class{
		{"top", "a", 0, 20 * time.Millisecond, 300 * time.Millisecond},
		{"bottom", "b", 2, 2 * time.Millisecond, 800 * time.Millisecond},
	}, 10*time.Millisecond, 20*time.Second)
	is.True(share(got["top"].onTime, got["top"].requested) > 0.95)
	is.True(got["bottom"].onTime+got["bottom"].late > 500) // the remaining slots
}

// Guards against starvation of the lower ranks in a flood of top-rank work.
func TestTopRankFloodDoesNotStarveLowerRanks(t *testing.T) {
	is := is.New(t)
	got := replay([]class{
		{"top", "a", 0, 2 * time.Millisecond, 300 * time.Millisecond},
		{"middle", "b", 1, 50 * time.Millisecond, 300 * time.Millisecond},
		{"bottom", "c", 2, 50 * time.Millisecond, 800 * time.Millisecond},
	}, 10*time.Millisecond, 20*time.Second)
	slots := 2000.0
	for _, name := range []string{"middle", "bottom"} {
		is.True(float64(got[name].onTime+got[name].late) > 0.4*slots/floorInterval)
	}
}

// Guards against small accounts that are queued behind a large account of the same rank.
func TestLargeAccountDoesNotDelaySmallOnes(t *testing.T) {
	is := is.New(t)
	classes := []class{{"large", "large", 0, 3 * time.Millisecond, 300 * time.Millisecond}}
	for n := range 5 {
		name := fmt.Sprintf("small%d", n)
		classes = append(classes, class{name, fleet.ClientAccount(name), 0, 100 * time.Millisecond, 300 * time.Millisecond})
	}
	got := replay(classes, 10*time.Millisecond, 20*time.Second)
	for _, c := range classes[1:] {
		is.True(share(got[c.name].onTime, got[c.name].requested) > 0.95)
	}
}

// Guards against an overload that makes all items late: slots must go to items that can
// still be on time.
func TestOverloadServesSomeOnTime(t *testing.T) {
	is := is.New(t)
	got := replay([]class{{"top", "a", 0, 8 * time.Millisecond, 300 * time.Millisecond}}, 10*time.Millisecond, 20*time.Second)
	is.True(share(got["top"].onTime, got["top"].requested) > 0.7)
}

// Guards against wait estimates that include items that are already late or belong to
// less urgent ranks.
func TestWaitEstimateExcludesLateAndLessUrgentItems(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int]()
	now := time.Unix(10, 0)
	_, ok := q.EstimateWait(0, time.Second, now)
	is.True(!ok)
	push := func(urgency int, onTime time.Duration) {
		q.Push(&Item[int]{Urgency: urgency, Account: "a", TargetDeadline: now.Add(onTime), RefuseAt: now.Add(time.Minute)})
	}
	for range 100 {
		push(0, time.Second)
		q.Pop(now)
		now = now.Add(10 * time.Millisecond)
	}
	for range 10 {
		push(0, time.Second)
		push(2, time.Second)
		push(0, -time.Second)
	}
	wait, ok := q.EstimateWait(0, time.Second, now)
	is.True(ok)
	is.True(wait > 50*time.Millisecond && wait < 300*time.Millisecond)
}

// Guards against requests that are queued in vain: in a flood of more urgent work,
// bottom-rank requests were queued for 1.2 s and then refused. The estimate for the more
// urgent requests must remain short.
func TestWaitEstimateIncludesUrgentArrivals(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int]()
	now := time.Unix(10, 0)
	push := func(urgency int) {
		q.RecordArrival(urgency, false, now)
		q.Push(&Item[int]{Urgency: urgency, Account: "a", TargetDeadline: now.Add(300 * time.Millisecond), RefuseAt: now.Add(time.Second)})
	}
	// Per second: 100 slots, 80 top-rank requests and 60 bottom-rank requests.
	for n := range 1000 {
		if n%5 != 4 {
			push(0)
		}
		if n%5 < 3 {
			push(2)
		}
		q.Expired(now)
		q.Pop(now)
		now = now.Add(10 * time.Millisecond)
	}
	top, _ := q.EstimateWait(0, 300*time.Millisecond, now)
	bottom, _ := q.EstimateWait(2, 300*time.Millisecond, now)
	is.True(top < 100*time.Millisecond)
	is.True(bottom > time.Second)
}

// Guards against slots for items whose caller has disconnected.
func TestRemovedItemsGetNoSlot(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int]()
	now := time.Unix(0, 0)
	i := &Item[int]{TargetDeadline: now.Add(time.Second), RefuseAt: now.Add(time.Second)}
	q.Push(i)
	is.True(q.Remove(i))
	is.True(!q.Remove(i))
	is.True(q.Pop(now) == nil)
}
