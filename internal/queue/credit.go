package queue

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// creditWindow, per rank, and creditItemCount bound how far an account may exceed its share.
// The bound is the number of tokens served in creditWindow at the account's share of the
// rate, plus creditItemCount times the size of the account's last item. Requests arrive at
// random: an account whose demand equals its share exceeds the share half of the time over
// any short window, and an account with a small share exceeds it with a single request. The
// top rank has the longest window because its items cannot wait until the share covers them.
var creditWindow = [fleet.RankCount]time.Duration{5 * time.Second, time.Second, time.Second}

const creditItemCount = 2

// credit returns the number of tokens that the account may still be served at a rank
// within its share. The excess over the share decreases by the account's share of all
// tokens served. Items started without credit do not increase the excess, because they
// use capacity that no other account claimed.
func (q *Queue) credit(a *account, rank fleet.Rank) float64 {
	q.decayExcess(a)
	window := a.weight * q.options.Rate() * creditWindow[rank].Seconds()
	return window + creditItemCount*float64(a.lastItemTokens) - a.excess
}

// decayExcess reduces the account's excess by its share of the tokens served since the last
// call. A negative result means that the account has received less than its share.
func (q *Queue) decayExcess(a *account) {
	a.excess -= a.weight * (q.servedTokens - a.excessAt)
	a.excessAt = q.servedTokens
}

// clearDeficit clears the deficit of an idle account, which had no demand for its share.
func (q *Queue) clearDeficit(a *account) {
	q.decayExcess(a)
	a.excess = max(0, a.excess)
}

// withinShare reports whether the account's next item of a rank is within its share.
func (q *Queue) withinShare(a *account, rank fleet.Rank) bool { return q.credit(a, rank) > 0 }

// chargeShare adds the tokens of a starting item to its account's excess if the item is within
// the account's share.
func (q *Queue) chargeShare(a *account, i *Item) {
	a.lastItemTokens = i.Tokens
	i.chargedToShare = q.withinShare(a, i.Rank)
	if i.chargedToShare {
		a.excess += float64(i.Tokens)
	}
}
