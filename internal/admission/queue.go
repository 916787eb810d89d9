// Package admission decides in which order the requests queued at a gateway get the
// slots of a model group, and which requests are refused. It makes no calls and starts
// no goroutines.
//
// It handles these load patterns: a flood of less urgent work (more urgent ranks are
// served first and the flood waits), a flood of the most urgent work (each rank has a
// guaranteed minimum share of the slots), one account with far more requests than the
// others (slots go to the account with the lowest recent usage), and demand beyond the
// capacity (a request that cannot start in time is refused as soon as this is known,
// which keeps the served requests on time).
package admission

import (
	"math"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

const (
	// floorInterval is the number of slot grants after which one goes to the queued rank
	// with the fewest recent grants. It keeps a flood of urgent work from starving the
	// other ranks.
	floorInterval = 8
	// retryPriorityFraction is the fraction of the time from arrival to refusal after
	// which a retrying caller has priority.
	retryPriorityFraction = 0.5
	// minGrants is the number of granted slots needed before the measured rate is used.
	minGrants = 32
	// usageHalfLife is the half-life of an account's past usage.
	usageHalfLife = 4 * time.Second
	// rateHalfLife is the half-life of the moving averages of the grant and arrival
	// rates.
	rateHalfLife = time.Second
)

// Item is a queued request, with a value for the owner of the queue.
type Item[T any] struct {
	Value   T
	ID      fleet.RequestID
	Account fleet.ClientAccount
	// Urgency is 0 for the most urgent rank.
	Urgency int
	// Work is the estimated work, in tokens.
	Work float64
	// CallerRetry is true if the caller was refused before and TakeSpareCapacity allowed
	// it to have priority when RefuseAt is near.
	CallerRetry bool
	// Arrived is the time at which the request arrived, TargetDeadline the latest start
	// that meets its latency target, and RefuseAt the time at which it is refused if it
	// has no slot.
	Arrived, TargetDeadline, RefuseAt time.Time
}

// Queue holds the items that wait for a slot. It is not safe for concurrent use.
type Queue[T any] struct {
	items  []*Item[T]
	usage  map[fleet.ClientAccount]*usage
	grants int
	// grantsByRank is the exponentially decaying number of grants per rank.
	grantsByRank map[int]float64
	// grantRate is the rate of granted slots, arrivalRates the rate of first requests per
	// rank, and retryRate the rate of retrying callers.
	grantRate    rate
	arrivalRates map[int]*rate
	retryRate    rate
	// expectedRate is the rate of slots computed from the configured engine parameters,
	// in slots per second. It is used until minGrants slots were granted. freeSlots is
	// the current number of free slots.
	expectedRate, freeSlots float64
	spare                   spareCapacity
}

// rate is an exponentially weighted average of the number of events per second.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) count(now time.Time) {
	// With this weight the average converges to the number of events per second.
	const weight = math.Ln2
	r.perSecond = r.now(now) + weight/rateHalfLife.Seconds()
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
	return &Queue[T]{usage: map[fleet.ClientAccount]*usage{}, grantsByRank: map[int]float64{}, arrivalRates: map[int]*rate{}}
}

// SetSlots sets the number of free slots, and the rate, in slots per second, that is
// assumed until it has been measured.
func (q *Queue[T]) SetSlots(free, perSecond float64, now time.Time) {
	q.freeSlots, q.expectedRate = max(free, 0), perSecond
	q.spare.update(perSecond, q.grantRate.now(now), len(q.items) == 0, now)
}

// TakeSpareCapacity reports whether a retrying caller may have priority, and takes a slot
// from the group's recent spare capacity if so. Recent spare capacity indicates that the
// overload is temporary and that the other callers will be served after it.
func (q *Queue[T]) TakeSpareCapacity() bool { return q.spare.take() }

// slotRate returns the rate at which slots become free, in slots per second, or 0 if it
// is unknown. Load pattern: all processes start at the same time and callers retry. The
// rate measured over the first few grants is near zero; used as it is, it caused 190
// callers to be refused in the second in which the group started.
func (q *Queue[T]) slotRate() float64 {
	if q.grants < minGrants {
		return q.expectedRate
	}
	return q.grantRate.perSecond
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds an item.
func (q *Queue[T]) Push(i *Item[T]) { q.items = append(q.items, i) }

// countAhead returns the number of items that would get a slot before a new item of a
// rank that can start on time.
func (q *Queue[T]) countAhead(urgency int, now time.Time) int {
	n := 0
	for _, i := range q.items {
		if i.Urgency <= urgency && !i.late(now) {
			n++
		}
	}
	return n
}

// RecordArrival records a request of a rank, whether it will be queued or not.
func (q *Queue[T]) RecordArrival(urgency int, retry bool, now time.Time) {
	if retry {
		q.retryRate.count(now)
		return
	}
	r := q.arrivalRates[urgency]
	if r == nil {
		r = &rate{}
		q.arrivalRates[urgency] = r
	}
	r.count(now)
}

// EstimateWait estimates how long a new item of a rank would wait. The item is late after
// onTimeWait. ok is false while the rate of slots is unknown. Load pattern: a sustained
// flood. The estimate includes more urgent requests that arrive later, and a late item is
// served after all items that can be on time. A caller that would wait in vain can
// therefore be refused immediately.
func (q *Queue[T]) EstimateWait(urgency int, onTimeWait time.Duration, now time.Time) (wait time.Duration, ok bool) {
	slotRate := q.slotRate()
	if slotRate <= 0 {
		return 0, false
	}
	urgent, all := 0.0, 0.0
	for rank, r := range q.arrivalRates {
		perSecond := r.now(now)
		all += perSecond
		if rank < urgency {
			urgent += perSecond
		}
	}
	retries := q.retryRate.now(now)
	wait = q.timeToStart(q.countAhead(urgency, now), slotRate-urgent-retries, slotRate)
	if wait <= onTimeWait {
		return wait, true
	}
	return max(wait, q.timeToStart(len(q.items), slotRate-all-retries, slotRate)), true
}

// EstimateRetryWait estimates how long a retrying caller would wait. Only earlier retrying
// callers are served before it. ok is false while the rate of slots is unknown.
func (q *Queue[T]) EstimateRetryWait(now time.Time) (wait time.Duration, ok bool) {
	slotRate := q.slotRate()
	if slotRate <= 0 {
		return 0, false
	}
	n := 0
	for _, i := range q.items {
		if i.CallerRetry {
			n++
		}
	}
	return q.timeToStart(n, slotRate, slotRate), true
}

// timeToStart returns the time until n items have slots: the free slots first, and then
// slots at the rate perSecond, but at no less than the floor of a rank, which is a
// fraction of slotRate.
func (q *Queue[T]) timeToStart(n int, perSecond, slotRate float64) time.Duration {
	waiting := max(float64(n)-q.freeSlots, 0)
	return time.Duration(waiting / max(perSecond, slotRate/floorInterval) * float64(time.Second))
}

// Remove removes an item whose caller has disconnected. It returns false if the item is
// not queued any more.
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

// Expired removes and returns the items whose RefuseAt has passed.
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

// Pop removes and returns the item that gets the next slot, or nil if the queue is empty.
// Late items are served after all items that can be on time, because a late response has
// a small fraction of the value of an on-time one and takes as much work. Retrying callers
// are late in any case and are lost if they are refused again; they have priority when
// RefuseAt is near, as long as the group has spare capacity between floods.
func (q *Queue[T]) Pop(now time.Time) *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	q.grants++
	tier := q.firstTier(now)
	rank := q.mostUrgent(now, tier)
	if q.grants%floorInterval == 0 {
		rank = q.leastServed(now, tier)
	}
	best, bestPriority := -1, false
	var bestWork float64
	for k, i := range q.items {
		if i.Urgency != rank || i.tier(now) != tier {
			continue
		}
		work, priority := q.accountUsage(i.Account, now), i.hasRetryPriority(now)
		if best < 0 || (priority && !bestPriority) || (priority == bestPriority && work < bestWork) {
			best, bestPriority, bestWork = k, priority, work
		}
	}
	item := q.items[best]
	q.removeAt(best)
	q.RecordStart(item, now)
	return item
}

// tier returns the precedence of an item: 0 for items that are served first.
func (i *Item[T]) tier(now time.Time) int {
	const onTimeTier, retryTier, lateTier = 0, 1, 2
	switch {
	case i.hasRetryPriority(now):
		return onTimeTier
	case i.CallerRetry:
		return retryTier
	case i.late(now):
		return lateTier
	}
	return onTimeTier
}

// hasRetryPriority reports whether an item of a retrying caller is served before the
// items of its rank that can be on time.
func (i *Item[T]) hasRetryPriority(now time.Time) bool { return i.CallerRetry && i.nearRefusal(now) }

// firstTier returns the lowest tier that has an item.
func (q *Queue[T]) firstTier(now time.Time) int {
	first := math.MaxInt
	for _, i := range q.items {
		first = min(first, i.tier(now))
	}
	return first
}

// RecordStart records a slot that an item got, from the queue or immediately.
func (q *Queue[T]) RecordStart(i *Item[T], now time.Time) {
	for rank := range q.grantsByRank {
		q.grantsByRank[rank] *= 1 - 1.0/64
	}
	q.grantsByRank[i.Urgency]++
	u := q.usage[i.Account]
	if u == nil {
		u = &usage{}
		q.usage[i.Account] = u
	}
	u.work = decayed(u.work, now.Sub(u.at), usageHalfLife) + i.Work
	u.at = now
	q.grantRate.count(now)
}

func (q *Queue[T]) accountUsage(a fleet.ClientAccount, now time.Time) float64 {
	u := q.usage[a]
	if u == nil {
		return 0
	}
	return decayed(u.work, now.Sub(u.at), usageHalfLife)
}

func (i *Item[T]) late(now time.Time) bool { return now.After(i.TargetDeadline) }

// nearRefusal reports whether an item has waited for at least retryPriorityFraction of
// the time from its arrival to its refusal.
func (i *Item[T]) nearRefusal(now time.Time) bool {
	return now.Sub(i.Arrived) >= time.Duration(retryPriorityFraction*float64(i.RefuseAt.Sub(i.Arrived)))
}

// noRank is greater than every rank.
const noRank = math.MaxInt

// mostUrgent returns the most urgent rank of the items of a tier.
func (q *Queue[T]) mostUrgent(now time.Time, tier int) int {
	best := noRank
	for _, i := range q.items {
		if i.tier(now) == tier {
			best = min(best, i.Urgency)
		}
	}
	return best
}

// leastServed returns the rank with the fewest recent grants among the items of a tier.
func (q *Queue[T]) leastServed(now time.Time, tier int) int {
	best := noRank
	for _, i := range q.items {
		if i.tier(now) == tier && (best == noRank || q.grantsByRank[i.Urgency] < q.grantsByRank[best]) {
			best = i.Urgency
		}
	}
	return best
}
