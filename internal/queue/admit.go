package queue

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// maxWaitFactor limits a request's queue wait to a multiple of its first-token
// latency target.
const maxWaitFactor = 4

// waitSafety is the factor by which the time until the deadline must exceed the
// estimated wait. The estimate uses the highest recent rate; without a margin, an
// overloaded queue fills with items that miss their deadlines.
const waitSafety = 2

// refuseEarly refuses an item that would probably not start in time, while the caller
// can still try another server. It returns nil if the item may be queued.
func (q *Queue) refuseEarly(i *Item, now time.Time) *verdict.Error {
	if q.options.Ordering != Fair {
		return nil
	}
	wait := q.estimateWait(i)
	limit := (i.Deadline.Sub(now) - q.estimateRunTime(i)) / waitSafety
	if i.FirstToken > 0 {
		limit = min(limit, maxWaitFactor*i.FirstToken)
	}
	if wait <= limit {
		return nil
	}
	e := verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, "%s",
		fmt.Sprintf("the estimated wait of %s exceeds %s", wait.Round(time.Millisecond), limit.Round(time.Millisecond)))
	return e.WithRetryAfter(wait - limit + time.Second)
}

// estimateWait returns the expected queue wait of an item. An account within its share
// waits for the queued work of the item's rank and of more urgent ranks. An account
// beyond its share waits until its share covers the item or all queued work has been
// served. The floor of a rank bounds the wait in both cases.
func (q *Queue) estimateWait(i *Item) time.Duration {
	rate := q.options.Rate()
	if rate <= 0 || q.stats.Running < q.options.Slots {
		return 0
	}
	own, share := q.accountBacklog(i), max(i.Weight, minWeight)*rate
	seconds := min(q.queuedTokens(i.Rank)/rate, own/share)
	if excess := own + float64(i.Tokens) - q.credit(q.account(i), i.Rank); excess > 0 {
		seconds = min(excess/share, q.queuedTokens(fleet.RankBottom)/rate)
	}
	if floor := q.options.Floors[i.Rank]; floor > 0 {
		classRate := rate * floor
		seconds = min(seconds, float64(q.queuedByRank[i.Rank])/classRate, own/(classRate*q.classShare(i)))
	}
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// estimateRunTime estimates how long an item runs in a full batch. It returns 0 if the rate
// is unknown or more than one slot is free.
func (q *Queue) estimateRunTime(i *Item) time.Duration {
	rate := q.options.Rate()
	if rate <= 0 || q.stats.Running < q.options.Slots-1 {
		return 0
	}
	seconds := float64(i.Tokens) * float64(q.options.Slots) / rate
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// queuedTokens returns the queued work, in tokens, of a rank and of all more urgent
// ranks.
func (q *Queue) queuedTokens(rank fleet.Rank) float64 {
	tokens := 0.0
	for r := fleet.RankTop; r <= rank; r++ {
		tokens += float64(q.queuedByRank[r])
	}
	return tokens
}

// accountBacklog returns the queued work, in tokens, of the item's account in the item's
// rank.
func (q *Queue) accountBacklog(i *Item) float64 {
	a := q.accounts[i.Account]
	if a == nil {
		return 0
	}
	tokens := 0.0
	for _, w := range a.items[i.Rank] {
		tokens += float64(w.Tokens)
	}
	return tokens
}

// classShare returns the weight of the item's account as a fraction of the weights of
// all accounts with items in the same rank.
func (q *Queue) classShare(i *Item) float64 {
	own := max(i.Weight, minWeight)
	sum := own
	for _, a := range q.accounts {
		if a.id != i.Account && len(a.items[i.Rank]) > 0 {
			sum += a.weight
		}
	}
	return own / sum
}

// makeRoom evicts queued items of accounts with a longer weighted queue than the new
// item's account. This keeps a flood from one account from filling the queue. It
// returns false if the item does not fit.
func (q *Queue) makeRoom(i *Item) bool {
	for q.stats.Queued >= q.options.Items || q.queuedBytes+i.Bytes > q.options.Bytes {
		victim := q.victim(i)
		if victim == nil || q.options.Ordering != Fair {
			return false
		}
		q.evict(victim, fullError())
	}
	return true
}

// victim returns the item to evict for a new item: the newest of the least urgent items
// of the account with the longest weighted queue. It returns nil if that is the account
// of the new item.
func (q *Queue) victim(i *Item) *Item {
	own := 1 / max(i.Weight, minWeight)
	if a := q.accounts[i.Account]; a != nil {
		own += a.load()
	}
	var heaviest *account
	for _, a := range q.accounts {
		if a.id != i.Account && a.load() > own && (heaviest == nil || a.load() > heaviest.load()) {
			heaviest = a
		}
	}
	if heaviest == nil {
		return nil
	}
	return heaviest.newestLeastUrgent()
}

// load returns the number of the account's queued items divided by its weight.
func (a *account) load() float64 { return float64(a.waiting()) / a.weight }

func (a *account) newestLeastUrgent() *Item {
	for r := fleet.RankCount - 1; r >= 0; r-- {
		if n := len(a.items[r]); n > 0 {
			return a.items[r][n-1]
		}
	}
	return nil
}
