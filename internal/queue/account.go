package queue

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// pruneThreshold is the number of accounts above which idle ones are dropped.
const pruneThreshold = 1024

// account holds the waiting items and the fair queueing state of one account.
type account struct {
	id     fleet.ClientAccount
	weight float64
	// startTimes is the virtual start time, per class, of the account's next item.
	startTimes [fleet.RankCount]float64
	items      [fleet.RankCount][]*Item
	running    int
	bucket     bucket
	// excess is the number of tokens by which the account was served beyond its share;
	// a negative value means that it was served less. It is valid as of excessAt, a
	// value of Queue.servedTokens.
	excess   float64
	excessAt float64
	// lastItemTokens is the estimated work, in tokens, of the account's last started item.
	lastItemTokens int64
}

func (q *Queue) account(i *Item) *account {
	a := q.accounts[i.Account]
	if a == nil {
		a = &account{id: i.Account, excessAt: q.servedTokens, lastItemTokens: i.Tokens}
		q.accounts[i.Account] = a
	}
	a.weight = max(i.Weight, minWeight)
	return a
}

// activate advances the virtual start time of an idle account to the current virtual
// time. Idle time therefore earns no precedence within the rank.
func (a *account) activate(rank fleet.Rank, virtualTime *[fleet.RankCount]float64) {
	if len(a.items[rank]) == 0 {
		a.startTimes[rank] = max(a.startTimes[rank], virtualTime[rank])
	}
}

func (a *account) waiting() int {
	n := 0
	for r := range a.items {
		n += len(a.items[r])
	}
	return n
}

// prune deletes accounts without queued or running items whose virtual start times are
// not ahead of the virtual time.
func (q *Queue) prune() {
	if len(q.accounts) <= pruneThreshold {
		return
	}
	for id, a := range q.accounts {
		if a.running == 0 && a.waiting() == 0 && a.noStartAhead(&q.virtualTime) {
			delete(q.accounts, id)
		}
	}
}

func (a *account) noStartAhead(virtualTime *[fleet.RankCount]float64) bool {
	for r := range a.startTimes {
		if a.startTimes[r] > virtualTime[r] {
			return false
		}
	}
	return true
}

// windowBuckets is the number of one-second buckets in a sliding window.
const windowBuckets = 10

// tokenWindow counts the tokens of the last 10 s.
type tokenWindow struct {
	buckets [windowBuckets]int64
	newest  int64
}

func (w *tokenWindow) add(now time.Time, tokens int64) {
	w.advance(now)
	w.buckets[w.newest%windowBuckets] += tokens
}

func (w *tokenWindow) sum(now time.Time) int64 {
	w.advance(now)
	var total int64
	for _, b := range w.buckets {
		total += b
	}
	// A correction may be negative and counted in a later bucket than its charge, which
	// may have left the window by then.
	return max(total, 0)
}

func (w *tokenWindow) advance(now time.Time) {
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
