package entry

import (
	"context"
	"time"
)

const (
	pauseTick = 500 * time.Millisecond
	// pauseThreshold is how late a tick must be to mean that the process was
	// stopped: longer than any scheduling delay, shorter than a report's life.
	pauseThreshold = 2 * time.Second
)

// watchPauses calls paused after each time that the process was stopped.
func watchPauses(ctx context.Context, paused func(late time.Duration)) {
	t := time.NewTicker(pauseTick)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		if late := pauseOf(last, now); late > pauseThreshold {
			paused(late)
		}
		last = now
	}
}

// pauseOf returns how late a tick is, by the monotonic or the wall clock: the
// monotonic clock stands still while a VM is suspended.
func pauseOf(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0))) - pauseTick
}
