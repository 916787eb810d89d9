package entry

import (
	"context"
	"sync/atomic"
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

const (
	stopTick = 50 * time.Millisecond
	// stopThreshold is how late a tick must be to count. Taking a scheduling
	// delay for a stop costs a request no more than that delay.
	stopThreshold = 100 * time.Millisecond
	// backlogTime is how long after a stop the requests that came during it may
	// still be read.
	backlogTime = time.Second
)

// stops tells for how long a request may have waited in its socket because the
// process was stopped. Its zero value tells that it never was. It is safe for
// concurrent use.
type stops struct {
	// tick is the last tick and late the last stop with its end.
	tick atomic.Pointer[time.Time]
	late atomic.Pointer[stop]
}

type stop struct {
	lasted time.Duration
	ended  time.Time
}

// run watches until ctx is done.
func (s *stops) run(ctx context.Context) {
	t := time.NewTicker(stopTick)
	defer t.Stop()
	for {
		now := time.Now()
		if lasted := s.since(now); lasted > stopThreshold {
			s.late.Store(&stop{lasted: lasted, ended: now})
		}
		s.tick.Store(&now)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// since returns how late the next tick is.
func (s *stops) since(now time.Time) time.Duration {
	last := s.tick.Load()
	if last == nil {
		return 0
	}
	return max(now.Sub(*last), now.Round(0).Sub(last.Round(0))) - stopTick
}

// waited returns the longest time that a request which is read now may have
// waited because of a stop.
func (s *stops) waited(now time.Time) time.Duration {
	var waited time.Duration
	if d := s.since(now); d > stopThreshold {
		waited = d
	}
	if l := s.late.Load(); l != nil && now.Sub(l.ended) < backlogTime {
		waited = max(waited, l.lasted)
	}
	return waited
}
