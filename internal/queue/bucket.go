package queue

import (
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// bucketDepth is the maximum burst of an account, as the time in which its share of the
// rate yields that many tokens.
const bucketDepth = 2 * time.Second

// bucket is the token bucket of one account.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// fill adds the tokens accrued since the last call, up to the depth of the bucket. rate
// is in tokens per second. A new bucket is full.
func (b *bucket) fill(rate float64, now time.Time) {
	depth := rate * bucketDepth.Seconds()
	if b.updatedAt.IsZero() {
		b.level = depth
	} else {
		b.level = min(depth, b.level+rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
}

// refuseOverShare deducts an item's tokens from its account's bucket, or refuses the item
// if the bucket is empty. The last item before a refusal may overdraw the bucket, which
// lets items larger than the bucket run.
func (q *Queue) refuseOverShare(i *Item, now time.Time) *verdict.Error {
	rate := q.options.Rate()
	if q.options.Ordering != TokenBuckets || rate <= 0 {
		return nil
	}
	a := q.account(i)
	a.bucket.fill(a.weight*rate, now)
	if a.bucket.level <= 0 {
		e := verdict.Refuse(http.StatusTooManyRequests, verdict.ReasonOverloaded, "the account is beyond its share")
		return e.WithRetryAfter(time.Second)
	}
	a.bucket.level -= float64(i.Tokens)
	return nil
}
