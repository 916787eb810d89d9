package config

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff doubles the pause after each failure.
type backoff struct{ pause time.Duration }

func (b *backoff) reset() { b.pause = 0 }

// next returns a random pause between half of the present one and all of it,
// so that processes which failed together do not call together.
func (b *backoff) next(limit time.Duration) time.Duration {
	b.pause = min(max(2*b.pause, firstBackoff), limit)
	half := b.pause / 2
	return half + rand.N(half+1)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
