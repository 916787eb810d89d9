package config

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff computes retry delays that double after each failure.
type backoff struct{ delay time.Duration }

func (b *backoff) reset() { b.delay = 0 }

// next doubles the delay up to limit and returns a random duration between half
// of it and all of it. The jitter keeps processes that failed at the same time
// from retrying at the same time.
func (b *backoff) next(limit time.Duration) time.Duration {
	b.delay = min(max(2*b.delay, initialBackoff), limit)
	half := b.delay / 2
	return half + rand.N(half+1)
}

// sleep waits for d or until ctx is done, whichever comes first.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
