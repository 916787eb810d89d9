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
	// dueShare is the part of its time after which a caller that came back goes first.
	dueShare = 0.5
	// grantsNeeded is the number of places after which their rate is measured.
	grantsNeeded = 32
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
	// CallerRetry tells that the caller was refused before, and that TakeSpareCapacity let it go first
	// when its time is nearly over.
	CallerRetry bool
	// Arrived is when the request came, TargetDeadline until when a place lets it meet its
	// goal, RefuseAt when it is refused if it has no place yet.
	Arrived, TargetDeadline, RefuseAt time.Time
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue[T any] struct {
	items  []*Item[T]
	usage  map[fleet.ClientAccount]*usage
	grants int
	// byRank counts the recent grants of each rank.
	byRank map[int]float64
	// granted is the rate of places, arrived that of requests by rank, and returned
	// that of callers that came back.
	granted  rate
	arrived  map[int]*rate
	returned rate
	// expected is the rate of places by the engines' figures, which stands for the
	// measured one until enough were granted, and free the number that is free now.
	expected, free float64
	spare          spare
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

// SetSlots sets how many places are free, and the rate of places, a second, that is
// assumed until it was measured.
func (q *Queue[T]) SetSlots(free, perSecond float64, now time.Time) {
	q.free, q.expected = max(free, 0), perSecond
	q.spare.note(perSecond, q.granted.now(now), len(q.items) == 0, now)
}

// TakeSpareCapacity reports whether a caller that came back may go first, and takes that from the
// places that the group had to spare lately. These say that the overload will pass, and
// that the others are served then.
func (q *Queue[T]) TakeSpareCapacity() bool { return q.spare.take() }

// places returns the rate of places, 0 if it is unknown. Load pattern: all processes
// start at once and callers come back. The rate of the first few grants is near
// nothing, and 190 callers were refused in the second in which the group started.
func (q *Queue[T]) places() float64 {
	if q.grants < grantsNeeded {
		return q.expected
	}
	return q.granted.perSecond
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds an item.
func (q *Queue[T]) Push(i *Item[T]) { q.items = append(q.items, i) }

// ahead returns how many items would get a place before a new one of a rank that
// is on time.
func (q *Queue[T]) ahead(urgency int, now time.Time) int {
	n := 0
	for _, i := range q.items {
		if i.Urgency <= urgency && !i.late(now) {
			n++
		}
	}
	return n
}

// Arrived notes a request of a rank, whether it will wait or not.
func (q *Queue[T]) Arrived(urgency int, returned bool, now time.Time) {
	if returned {
		q.returned.count(now)
		return
	}
	r := q.arrived[urgency]
	if r == nil {
		r = &rate{}
		q.arrived[urgency] = r
	}
	r.count(now)
}

// EstimateWait estimates how long a new item of a rank would wait, which is late after
// inTime; ok is false while the rate of places is unknown. Load pattern: a flood
// that lasts. More urgent requests that come later go first too, and a late item
// comes after all that can be on time, so that those who wait in vain are told at
// once.
func (q *Queue[T]) EstimateWait(urgency int, inTime time.Duration, now time.Time) (wait time.Duration, ok bool) {
	places := q.places()
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
	returned := q.returned.now(now)
	wait = q.timeFor(q.ahead(urgency, now), places-urgent-returned, places)
	if wait <= inTime {
		return wait, true
	}
	return max(wait, q.timeFor(len(q.items), places-all-returned, places)), true
}

// EstimateRetryWait estimates how long a caller that came back would wait: those that came
// back before it go first.
func (q *Queue[T]) EstimateRetryWait(now time.Time) (wait time.Duration, ok bool) {
	places := q.places()
	if places <= 0 {
		return 0, false
	}
	n := 0
	for _, i := range q.items {
		if i.CallerRetry {
			n++
		}
	}
	return q.timeFor(n, places, places), true
}

// timeFor returns the time until n items have places, those that are free and others
// at a rate, of which a rank keeps its floor.
func (q *Queue[T]) timeFor(n int, perSecond, places float64) time.Duration {
	waiting := max(float64(n)-q.free, 0)
	return time.Duration(waiting / max(perSecond, places/floorEvery) * float64(time.Second))
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
		if now.After(i.RefuseAt) {
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
// small part of one in time and takes as much work. Callers that came back are late
// in any case and are lost if they are refused again, so they go first when their
// time is nearly over, as long as the group has places to spare between floods.
func (q *Queue[T]) Pop(now time.Time) *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	q.grants++
	group := q.firstGroup(now)
	rank := q.mostUrgent(now, group)
	if q.grants%floorEvery == 0 {
		rank = q.leastServed(now, group)
	}
	best, bestDue := -1, false
	var bestUse float64
	for k, i := range q.items {
		if i.Urgency != rank || i.group(now) != group {
			continue
		}
		use, due := q.used(i.Account, now), i.goesFirst(now)
		if best < 0 || (due && !bestDue) || (due == bestDue && use < bestUse) {
			best, bestDue, bestUse = k, due, use
		}
	}
	item := q.items[best]
	q.removeAt(best)
	q.Charge(item, now)
	return item
}

// group returns which items an item waits with, 0 for those that go first.
func (i *Item[T]) group(now time.Time) int {
	const onTimeGroup, returnedGroup, lateGroup = 0, 1, 2
	switch {
	case i.goesFirst(now):
		return onTimeGroup
	case i.CallerRetry:
		return returnedGroup
	case i.late(now):
		return lateGroup
	}
	return onTimeGroup
}

// goesFirst reports whether an item of a caller that came back goes before the items
// of its rank that can be on time.
func (i *Item[T]) goesFirst(now time.Time) bool { return i.CallerRetry && i.due(now) }

// firstGroup returns the first group that has an item.
func (q *Queue[T]) firstGroup(now time.Time) int {
	first := math.MaxInt
	for _, i := range q.items {
		first = min(first, i.group(now))
	}
	return first
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

func (i *Item[T]) late(now time.Time) bool { return now.After(i.TargetDeadline) }

// due reports whether an item has waited for most of its time.
func (i *Item[T]) due(now time.Time) bool {
	return now.Sub(i.Arrived) >= time.Duration(dueShare*float64(i.RefuseAt.Sub(i.Arrived)))
}

// noRank is above all ranks.
const noRank = math.MaxInt

// mostUrgent returns the most urgent rank of the items of a group.
func (q *Queue[T]) mostUrgent(now time.Time, group int) int {
	best := noRank
	for _, i := range q.items {
		if i.group(now) == group {
			best = min(best, i.Urgency)
		}
	}
	return best
}

// leastServed returns the rank that got the fewest places lately, of the items of a
// group.
func (q *Queue[T]) leastServed(now time.Time, group int) int {
	best := noRank
	for _, i := range q.items {
		if i.group(now) == group && (best == noRank || q.byRank[i.Urgency] < q.byRank[best]) {
			best = i.Urgency
		}
	}
	return best
}
