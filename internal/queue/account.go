package queue

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// pruneAbove is the number of accounts above which idle ones are dropped.
const pruneAbove = 1024

// account holds the waiting items and the fair queueing state of one account.
type account struct {
	id     fleet.ClientAccount
	weight float64
	// start is the virtual start time of the account's next item per class.
	start   [fleet.RankCount]float64
	items   [fleet.RankCount][]*Item
	running int
	bucket  bucket
	// ahead is how many tokens the account was served ahead of its share as of
	// aheadAt, the tokens that the queue had served by then.
	ahead   float64
	aheadAt float64
	// itemTokens is the size of the item that began last.
	itemTokens int64
}

func (q *Queue) account(i *Item) *account {
	a := q.accounts[i.Account]
	if a == nil {
		a = &account{id: i.Account, aheadAt: q.tokens, itemTokens: i.Tokens}
		q.accounts[i.Account] = a
	}
	a.weight = max(i.Weight, minWeight)
	return a
}

// activate moves the start time of an idle account to the present, so that
// time without work earns no precedence within the rank.
func (a *account) activate(rank fleet.Rank, virtual *[fleet.RankCount]float64) {
	if len(a.items[rank]) == 0 {
		a.start[rank] = max(a.start[rank], virtual[rank])
	}
}

func (a *account) waiting() int {
	n := 0
	for r := range a.items {
		n += len(a.items[r])
	}
	return n
}

// prune forgets accounts without work whose start times are in the past.
func (q *Queue) prune() {
	if len(q.accounts) <= pruneAbove {
		return
	}
	for id, a := range q.accounts {
		if a.running == 0 && a.waiting() == 0 && a.settled(&q.virtual) {
			delete(q.accounts, id)
		}
	}
}

func (a *account) settled(virtual *[fleet.RankCount]float64) bool {
	for r := range a.start {
		if a.start[r] > virtual[r] {
			return false
		}
	}
	return true
}

// windowBuckets of one second each form the sliding window of token time.
const windowBuckets = 10

// window counts tokens over the last 10 s.
type window struct {
	buckets [windowBuckets]int64
	newest  int64
}

func (w *window) add(now time.Time, tokens int64) {
	w.advance(now)
	w.buckets[w.newest%windowBuckets] += tokens
}

func (w *window) sum(now time.Time) int64 {
	w.advance(now)
	var total int64
	for _, b := range w.buckets {
		total += b
	}
	// A correction can fall into a later bucket than its charge.
	return max(total, 0)
}

func (w *window) advance(now time.Time) {
	second := now.Unix()
	if second-w.newest >= windowBuckets {
		w.buckets = [windowBuckets]int64{}
		w.newest = second
	}
	for w.newest < second {
		w.newest++
		w.buckets[w.newest%windowBuckets] = 0
	}
}
