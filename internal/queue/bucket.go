package queue

import (
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// bucketDepth is the work that an idle account may send at once, as time at
// its share of the rate.
const bucketDepth = 2 * time.Second

// bucket is the token bucket of one account.
type bucket struct {
	level float64
	at    time.Time
}

// fill adds the tokens since the last call, up to the depth. A new bucket is
// full.
func (b *bucket) fill(rate float64, now time.Time) {
	depth := rate * bucketDepth.Seconds()
	if b.at.IsZero() {
		b.level = depth
	} else {
		b.level = min(depth, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// refuseBucket takes an item's tokens out of its account's bucket, or refuses
// the item if the bucket is empty. A bucket may go below zero once, so that an
// item larger than the bucket can run.
func (q *Queue) refuseBucket(i *Item, now time.Time) *verdict.Error {
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
