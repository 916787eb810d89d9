package queue

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// agedPart bounds the part of token time up to which aged bottom items go
// next. Without it a bottom flood older than its max age would stop all other
// work.
const agedPart = 0.25

// pick returns the next item and the class it is charged to.
func (q *Queue) pick(now time.Time) (*Item, fleet.Rank) {
	switch q.options.Ordering {
	case FIFO, TokenBuckets:
		return q.first(func(a, b *Item) bool { return a.sequence < b.sequence })
	case Strict:
		return q.first(func(a, b *Item) bool {
			return a.Rank < b.Rank || a.Rank == b.Rank && a.sequence < b.sequence
		})
	}
	return q.pickFair(now)
}

func (q *Queue) pickFair(now time.Time) (*Item, fleet.Rank) {
	if i := q.pickAged(now); i != nil {
		return i, fleet.RankBottom
	}
	if i, class := q.pickFloor(now); i != nil {
		return i, class
	}
	if i, class := q.pickRank(q.withinShare); i != nil {
		return i, class
	}
	return q.pickRank(anyAccount)
}

// pickRank returns the most urgent item of the accounts that eligible accepts.
func (q *Queue) pickRank(eligible func(*account, fleet.Rank) bool) (*Item, fleet.Rank) {
	for class := fleet.RankTop; class < fleet.RankCount; class++ {
		if i := q.pickClass(class, eligible); i != nil {
			return i, class
		}
	}
	return nil, 0
}

func anyAccount(*account, fleet.Rank) bool { return true }

// first returns the head item that less puts before all others.
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

// head returns the account's first item of a rank that may run now: only one
// suspect runs at a time.
func (q *Queue) head(a *account, rank fleet.Rank) *Item {
	for _, i := range a.items[rank] {
		if i.Suspect == nil || !i.Suspect() || !q.suspectRuns() {
			return i
		}
	}
	return nil
}

// pickAged returns the oldest bottom item if it is older than its max age.
func (q *Queue) pickAged(now time.Time) *Item {
	if q.part(fleet.RankBottom, now) > agedPart {
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

// part returns a rank's part of the token time in the window.
func (q *Queue) part(rank fleet.Rank, now time.Time) float64 {
	total := q.total(now)
	if total == 0 {
		return 0
	}
	return float64(q.served[rank].sum(now)) / float64(total)
}

func (q *Queue) total(now time.Time) int64 {
	var total int64
	for r := range q.served {
		total += q.served[r].sum(now)
	}
	return total
}

// pickFloor returns an item of the rank that is furthest below its floor.
func (q *Queue) pickFloor(now time.Time) (*Item, fleet.Rank) {
	if q.total(now) == 0 {
		return nil, 0
	}
	var best *Item
	lowest := 1.0
	for rank := fleet.RankTop; rank < fleet.RankCount; rank++ {
		floor := q.options.Floors[rank]
		if floor == 0 || q.stats.ByRank[rank] == 0 {
			continue
		}
		if ratio := q.part(rank, now) / floor; ratio < lowest {
			if i := q.pickClass(rank, anyAccount); i != nil {
				best, lowest = i, ratio
			}
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, best.Rank
}

// pickClass returns the head item of the eligible account with the earliest
// virtual start time.
func (q *Queue) pickClass(class fleet.Rank, eligible func(*account, fleet.Rank) bool) *Item {
	var best *Item
	var bestStart float64
	for _, a := range q.accounts {
		i := q.head(a, class)
		if i == nil || !eligible(a, class) {
			continue
		}
		start := a.start[class]
		if best == nil || start < bestStart || start == bestStart && i.sequence < best.sequence {
			best, bestStart = i, start
		}
	}
	return best
}
