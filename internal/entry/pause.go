package entry

import (
	"context"
	"sync"
	"time"
)

const (
	pauseTick = 100 * time.Millisecond
	// pauseThreshold is how late a tick must be to mean that the process was
	// stopped: longer than any scheduling delay, shorter than a report's life.
	pauseThreshold = 2 * time.Second
	// callPause is the shortest pause after which a waiting call may be older
	// than it seems: shorter than callers wait before they send again.
	callPause = 250 * time.Millisecond
	// wakeSettle is the time after a pause in which calls from the socket
	// buffers are still read.
	wakeSettle = 2 * time.Second
)

// pauses notes when the process was stopped.
type pauses struct {
	mu   sync.Mutex
	last time.Time
	// woke is the end of the last pause that delays calls.
	woke time.Time
}

// watch calls paused after each time that the process was stopped for long.
func (p *pauses) watch(ctx context.Context, paused func(late time.Duration)) {
	t := time.NewTicker(pauseTick)
	defer t.Stop()
	p.tick(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if late := p.tick(time.Now()); late > pauseThreshold {
			paused(late)
		}
	}
}

// tick notes that the process runs and returns how late that is.
func (p *pauses) tick(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var late time.Duration
	if !p.last.IsZero() {
		late = pauseOf(p.last, now)
	}
	if late > callPause {
		p.woke = now
	}
	p.last = now
	return late
}

// recent reports whether a call that is served now may have waited while the
// process was stopped, also before the next tick notices the pause.
func (p *pauses) recent() bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last.IsZero() {
		return false
	}
	return pauseOf(p.last, now) > callPause || !p.woke.IsZero() && now.Sub(p.woke) < wakeSettle
}

// pauseOf returns how late a tick is, by the monotonic or the wall clock: the
// monotonic clock stands still while a VM is suspended.
func pauseOf(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0))) - pauseTick
}
