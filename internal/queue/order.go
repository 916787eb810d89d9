package queue

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// maxAgedShare is the fraction of the recently served tokens above which aged bottom-rank
// items lose their precedence. Without this bound, a flood of bottom-rank items older
// than their maximum age would starve all other work.
const maxAgedShare = 0.25

// next returns the next item to start and the class that it is charged to, or nil if no
// item can start.
func (q *Queue) next(now time.Time) (*Item, fleet.Rank) {
	switch q.options.Ordering {
	case FIFO, TokenBuckets:
		return q.first(func(a, b *Item) bool { return a.sequence < b.sequence })
	case Strict:
		return q.first(func(a, b *Item) bool {
			return a.Rank < b.Rank || a.Rank == b.Rank && a.sequence < b.sequence
		})
	}
	return q.nextFair(now)
}

func (q *Queue) nextFair(now time.Time) (*Item, fleet.Rank) {
	if i := q.nextAged(now); i != nil {
		return i, fleet.RankBottom
	}
	if i, class := q.nextBelowFloor(now); i != nil {
		return i, class
	}
	if i, class := q.nextByRank(q.withinShare); i != nil {
		return i, class
	}
	return q.nextByRank(anyAccount)
}

// nextByRank returns the next item of the most urgent class that has one from an account
// accepted by eligible, together with that class.
func (q *Queue) nextByRank(eligible func(*account, fleet.Rank) bool) (*Item, fleet.Rank) {
	for class := fleet.RankTop; class < fleet.RankCount; class++ {
		if i := q.nextInClass(class, eligible); i != nil {
			return i, class
		}
	}
	return nil, 0
}

func anyAccount(*account, fleet.Rank) bool { return true }

// first returns the head item that sorts first by less, and its rank.
func (q *Queue) first(less func(a, b *Item) bool) (*Item, fleet.Rank) {
	var best *Item
	for _, a := range q.accounts {
		for r := range a.items {
			if i := q.head(a, fleet.Rank(r)); i != nil && (best == nil || less(i, best)) {
				best = i
			}
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, best.Rank
}

// head returns the account's first item of a rank that may run now. At most one suspect
// runs at a time.
func (q *Queue) head(a *account, rank fleet.Rank) *Item {
	for _, i := range a.items[rank] {
		if i.Suspect == nil || !i.Suspect() || !q.suspectRunning() {
			return i
		}
	}
	return nil
}

// nextAged returns the oldest bottom-rank item that has exceeded its maximum age, or nil.
func (q *Queue) nextAged(now time.Time) *Item {
	if q.servedShare(fleet.RankBottom, now) > maxAgedShare {
		return nil
	}
	var oldest *Item
	for _, a := range q.accounts {
		i := q.head(a, fleet.RankBottom)
		if i == nil || i.MaxAge == 0 || now.Sub(i.arrived) <= i.MaxAge {
			continue
		}
		if oldest == nil || i.sequence < oldest.sequence {
			oldest = i
		}
	}
	return oldest
}

// servedShare returns the fraction of the tokens served in the window that belongs to a rank.
func (q *Queue) servedShare(rank fleet.Rank, now time.Time) float64 {
	total := q.servedTotal(now)
	if total == 0 {
		return 0
	}
	return float64(q.served[rank].sum(now)) / float64(total)
}

func (q *Queue) servedTotal(now time.Time) int64 {
	var total int64
	for r := range q.served {
		total += q.served[r].sum(now)
	}
	return total
}

// nextBelowFloor returns an item of the rank that is furthest below its floor, relative to
// the floor.
func (q *Queue) nextBelowFloor(now time.Time) (*Item, fleet.Rank) {
	if q.servedTotal(now) == 0 {
		return nil, 0
	}
	var best *Item
	lowest := 1.0
	for rank := fleet.RankTop; rank < fleet.RankCount; rank++ {
		floor := q.options.Floors[rank]
		if floor == 0 || q.stats.ByRank[rank] == 0 {
			continue
		}
		if ratio := q.servedShare(rank, now) / floor; ratio < lowest {
			if i := q.nextInClass(rank, anyAccount); i != nil {
				best, lowest = i, ratio
			}
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, best.Rank
}

// nextInClass returns the head item of the eligible account with the earliest virtual
// start time in a class.
func (q *Queue) nextInClass(class fleet.Rank, eligible func(*account, fleet.Rank) bool) *Item {
	var best *Item
	var bestStart float64
	for _, a := range q.accounts {
		i := q.head(a, class)
		if i == nil || !eligible(a, class) {
			continue
		}
		start := a.startTimes[class]
		if best == nil || start < bestStart || start == bestStart && i.sequence < best.sequence {
			best, bestStart = i, start
		}
	}
	return best
}
