package queue

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// firstTokenFactor is how many first-token targets a request may wait.
const firstTokenFactor = 4

// waitSafety is by how much the estimated wait must stay below the time to the
// deadline. The estimate uses the highest rate seen lately; without a margin a
// flooded queue fills with work that is too late when its turn comes.
const waitSafety = 2

// refuseEarly refuses an item that would most likely wait in vain, while the
// caller can still go elsewhere.
func (q *Queue) refuseEarly(i *Item, now time.Time) *verdict.Error {
	if q.options.Ordering != Fair {
		return nil
	}
	wait := q.estimate(i)
	limit := (i.Deadline.Sub(now) - q.runTime(i)) / waitSafety
	if i.FirstToken > 0 {
		limit = min(limit, firstTokenFactor*i.FirstToken)
	}
	if wait <= limit {
		return nil
	}
	e := verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, "%s",
		fmt.Sprintf("the estimated wait of %s exceeds %s", wait.Round(time.Millisecond), limit.Round(time.Millisecond)))
	return e.WithRetryAfter(wait - limit + time.Second)
}

// estimate returns how long an item would wait: behind the work of its rank and
// above while its account is within its share, and else until the account's
// share has grown to cover it or everything queued has been served. A rank's
// floor bounds the wait in every case.
func (q *Queue) estimate(i *Item) time.Duration {
	rate := q.options.Rate()
	if rate <= 0 || q.stats.Running < q.options.Slots {
		return 0
	}
	own, share := q.ownWork(i), max(i.Weight, minWeight)*rate
	seconds := min(q.queuedTokens(i.Rank)/rate, own/share)
	if beyond := own + float64(i.Tokens) - q.credit(q.account(i), i.Rank); beyond > 0 {
		seconds = min(beyond/share, q.queuedTokens(fleet.RankBottom)/rate)
	}
	if floor := q.options.Floors[i.Rank]; floor > 0 {
		class := rate * floor
		seconds = min(seconds, float64(q.queued[i.Rank])/class, own/(class*q.classPart(i)))
	}
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// runTime estimates how long an item runs beside a full batch.
func (q *Queue) runTime(i *Item) time.Duration {
	rate := q.options.Rate()
	if rate <= 0 || q.stats.Running < q.options.Slots-1 {
		return 0
	}
	seconds := float64(i.Tokens) * float64(q.options.Slots) / rate
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// queuedTokens returns the work that waits at a rank and above.
func (q *Queue) queuedTokens(rank fleet.Rank) float64 {
	tokens := 0.0
	for r := fleet.RankTop; r <= rank; r++ {
		tokens += float64(q.queued[r])
	}
	return tokens
}

// ownWork returns the queued tokens of the item's account in its rank.
func (q *Queue) ownWork(i *Item) float64 {
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

// classPart returns the account's part of its rank by weight.
func (q *Queue) classPart(i *Item) float64 {
	own := max(i.Weight, minWeight)
	sum := own
	for _, a := range q.accounts {
		if a.id != i.Account && len(a.items[i.Rank]) > 0 {
			sum += a.weight
		}
	}
	return own / sum
}

// makeRoom pushes out waiting items of accounts that hold more of the queue
// by weight than the new item's account, so that a flood cannot fill it.
func (q *Queue) makeRoom(i *Item) bool {
	for q.stats.Queued >= q.options.Items || q.bytes+i.Bytes > q.options.Bytes {
		victim := q.victim(i)
		if victim == nil || q.options.Ordering != Fair {
			return false
		}
		q.pushOut(victim, fullError())
	}
	return true
}

// victim returns the newest, least urgent item of the account that holds most
// of the queue by weight, or nil if that is the new item's own account.
func (q *Queue) victim(i *Item) *Item {
	own := 1 / max(i.Weight, minWeight)
	if a := q.accounts[i.Account]; a != nil {
		own += a.held()
	}
	var heaviest *account
	for _, a := range q.accounts {
		if a.id != i.Account && a.held() > own && (heaviest == nil || a.held() > heaviest.held()) {
			heaviest = a
		}
	}
	if heaviest == nil {
		return nil
	}
	return heaviest.newest()
}

// held returns the account's waiting items per weight.
func (a *account) held() float64 { return float64(a.waiting()) / a.weight }

func (a *account) newest() *Item {
	for r := fleet.RankCount - 1; r >= 0; r-- {
		if n := len(a.items[r]); n > 0 {
			return a.items[r][n-1]
		}
	}
	return nil
}
