package queue

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// creditWindow per rank and creditItems bound how far an account may run ahead
// of its share: so much time at its share of the rate, and so many requests of
// the size of its last one. Requests arrive at random, so an account that asks
// exactly its share exceeds it half of the time over any short window, and one
// with a small share exceeds it with a single request. The top rank cannot wait
// for its share to catch up, so it gets the longest window.
var creditWindow = [fleet.RankCount]time.Duration{5 * time.Second, time.Second, time.Second}

const creditItems = 2

// credit returns the tokens that the account may still be served at a rank as
// part of its share. What it ran ahead shrinks by its share of all tokens
// served. Service beyond the credit does not add to it, because that is
// capacity that nobody else claimed.
func (q *Queue) credit(a *account, rank fleet.Rank) float64 {
	q.catchUp(a)
	window := a.weight * q.options.Rate() * creditWindow[rank].Seconds()
	return window + creditItems*float64(a.itemTokens) - a.ahead
}

// catchUp reduces what the account ran ahead. Below zero, an account with
// waiting work is owed service.
func (q *Queue) catchUp(a *account) {
	a.ahead -= a.weight * (q.tokens - a.aheadAt)
	a.aheadAt = q.tokens
}

// forfeit ends what an idle account is owed: it asked for nothing.
func (q *Queue) forfeit(a *account) {
	q.catchUp(a)
	a.ahead = max(0, a.ahead)
}

// withinShare reports whether the account's next item of a rank is part of its
// share.
func (q *Queue) withinShare(a *account, rank fleet.Rank) bool { return q.credit(a, rank) > 0 }

// pay adds an item that begins to what its account ran ahead.
func (q *Queue) pay(a *account, i *Item) {
	a.itemTokens = i.Tokens
	i.paid = q.withinShare(a, i.Rank)
	if i.paid {
		a.ahead += float64(i.Tokens)
	}
}
