// Package admission decides in which order the requests that wait at a gateway
// get the places of a model group, and which of them are refused. It makes no
// calls and starts no goroutines.
//
// Load patterns it answers: a flood of less urgent work (urgent ranks go first
// and the flood waits), a flood of the most urgent work (each rank keeps a floor
// of the places), one account that asks for much more than the others (places
// go to the account that had least), and demand beyond the capacity (a request
// that can't start in time is refused as soon as that is known, so that what is
// served is served on time).
package admission

import (
	"math"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

const (
	// floorEvery gives every so many-th place to the rank that waits and had the
	// fewest places, so that a flood of urgent work leaves the others a part.
	floorEvery = 8
	// usageHalfLife is the time in which an account's past use counts half.
	usageHalfLife = 4 * time.Second
	// rateHalfLife is the time over which the rates of places and of arrivals are
	// averaged.
	rateHalfLife = time.Second
)

// Item is a request that waits, with a value for the owner of the queue.
type Item[T any] struct {
	Value   T
	ID      fleet.RequestID
	Account fleet.ClientAccount
	// Urgency is 0 for the most urgent rank.
	Urgency int
	// Work is the estimated work in tokens.
	Work float64
	// Arrived is when the request came, OnTime until when a place lets it meet its
	// goal, Latest when it is refused if it has no place yet.
	Arrived, OnTime, Latest time.Time
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue[T any] struct {
	items  []*Item[T]
	usage  map[fleet.ClientAccount]*usage
	grants int
	// byRank counts the recent grants of each rank.
	byRank map[int]float64
	// granted is the rate of places, and arrived that of requests by rank.
	granted rate
	arrived map[int]*rate
}

// rate is an average number of events a second.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) count(now time.Time) {
	// With this weight the average settles at the number of events a second.
	const perEvent = math.Ln2
	r.perSecond = r.now(now) + perEvent/rateHalfLife.Seconds()
	r.at = now
}

func (r *rate) now(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return decayed(r.perSecond, now.Sub(r.at), rateHalfLife)
}

type usage struct {
	work float64
	at   time.Time
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{usage: map[fleet.ClientAccount]*usage{}, byRank: map[int]float64{}, arrived: map[int]*rate{}}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds an item.
func (q *Queue[T]) Push(i *Item[T]) { q.items = append(q.items, i) }

// Ahead returns how many items would get a place before a new one of a rank that
// is on time.
func (q *Queue[T]) Ahead(urgency int, now time.Time) int {
	n := 0
	for _, i := range q.items {
		if i.Urgency <= urgency && !i.late(now) {
			n++
		}
	}
	return n
}

// Arrived notes a request of a rank, whether it will wait or not.
func (q *Queue[T]) Arrived(urgency int, now time.Time) {
	r := q.arrived[urgency]
	if r == nil {
		r = &rate{}
		q.arrived[urgency] = r
	}
	r.count(now)
}

// Wait estimates how long a new item of a rank would wait, which is late after
// inTime; ok is false while the rate of places is unknown. Load pattern: a flood
// that lasts. More urgent requests that come later go first too, and a late item
// comes after all that can be on time, so that those who wait in vain are told at
// once.
func (q *Queue[T]) Wait(urgency int, inTime time.Duration, now time.Time) (wait time.Duration, ok bool) {
	places := q.granted.perSecond
	if places <= 0 {
		return 0, false
	}
	urgent, all := 0.0, 0.0
	for rank, r := range q.arrived {
		perSecond := r.now(now)
		all += perSecond
		if rank < urgency {
			urgent += perSecond
		}
	}
	wait = timeFor(q.Ahead(urgency, now), places-urgent, places)
	if wait <= inTime {
		return wait, true
	}
	return max(wait, timeFor(len(q.items), places-all, places)), true
}

// timeFor returns the time until n items have places at a rate, of which a rank
// keeps its floor.
func timeFor(n int, perSecond, places float64) time.Duration {
	return time.Duration(float64(n) / max(perSecond, places/floorEvery) * float64(time.Second))
}

// Remove takes an item out, for a caller that left. It returns false if the
// item does not wait any more.
func (q *Queue[T]) Remove(i *Item[T]) bool {
	for k, x := range q.items {
		if x == i {
			q.removeAt(k)
			return true
		}
	}
	return false
}

func (q *Queue[T]) removeAt(k int) {
	q.items = append(q.items[:k], q.items[k+1:]...)
}

// Expired takes out the items that are too late for a place.
func (q *Queue[T]) Expired(now time.Time) []*Item[T] {
	var out []*Item[T]
	kept := q.items[:0]
	for _, i := range q.items {
		if now.After(i.Latest) {
			out = append(out, i)
		} else {
			kept = append(kept, i)
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
	return out
}

// Pop takes out the item that gets the next place, or returns nil. Items that
// are late already come after all that can be on time: a late answer is worth a
// small part of one in time and takes as much work.
func (q *Queue[T]) Pop(now time.Time) *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	q.grants++
	late := q.allLate(now)
	rank := q.mostUrgent(now, late)
	if q.grants%floorEvery == 0 {
		rank = q.leastServed(now, late)
	}
	best := -1
	var bestUse float64
	for k, i := range q.items {
		if i.Urgency != rank || i.late(now) != late {
			continue
		}
		use := q.used(i.Account, now)
		if best < 0 || use < bestUse {
			best, bestUse = k, use
		}
	}
	item := q.items[best]
	q.removeAt(best)
	q.Charge(item, now)
	return item
}

// Charge counts a place that an item got, from the queue or at once.
func (q *Queue[T]) Charge(i *Item[T], now time.Time) {
	for rank := range q.byRank {
		q.byRank[rank] *= 1 - 1.0/64
	}
	q.byRank[i.Urgency]++
	u := q.usage[i.Account]
	if u == nil {
		u = &usage{}
		q.usage[i.Account] = u
	}
	u.work = decayed(u.work, now.Sub(u.at), usageHalfLife) + i.Work
	u.at = now
	q.granted.count(now)
}

func (q *Queue[T]) used(a fleet.ClientAccount, now time.Time) float64 {
	u := q.usage[a]
	if u == nil {
		return 0
	}
	return decayed(u.work, now.Sub(u.at), usageHalfLife)
}

func (i *Item[T]) late(now time.Time) bool { return now.After(i.OnTime) }

// allLate reports whether no waiting item can be on time any more.
func (q *Queue[T]) allLate(now time.Time) bool {
	for _, i := range q.items {
		if !i.late(now) {
			return false
		}
	}
	return true
}

// noRank is above all ranks.
const noRank = math.MaxInt

// mostUrgent returns the most urgent rank of the items that are late, or not.
func (q *Queue[T]) mostUrgent(now time.Time, late bool) int {
	best := noRank
	for _, i := range q.items {
		if i.late(now) == late {
			best = min(best, i.Urgency)
		}
	}
	return best
}

// leastServed returns the rank that got the fewest places lately, of the items
// that are late, or not.
func (q *Queue[T]) leastServed(now time.Time, late bool) int {
	best := noRank
	for _, i := range q.items {
		if i.late(now) == late && (best == noRank || q.byRank[i.Urgency] < q.byRank[best]) {
			best = i.Urgency
		}
	}
	return best
}
