package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// tickInterval is the interval at which pauses are detected.
	tickInterval = 50 * time.Millisecond
	// expiryThreshold is how late a tick must be for the view of the fleet to
	// expire: longer than any scheduling delay, shorter than the lifetime of a
	// report.
	expiryThreshold = 2 * time.Second
	// minPause is how late a tick must be to count as a pause. If a scheduling
	// delay is mistaken for a pause, it costs a request no more than that delay.
	minPause = 100 * time.Millisecond
	// minCallPause is the duration above which a pause means that a waiting call
	// may be older than it seems. It is shorter than the time that callers wait
	// before they send a call again.
	minCallPause = 250 * time.Millisecond
	// staleCallWindow is the time after a pause in which calls that waited in
	// socket buffers may still be read.
	staleCallWindow = 2 * time.Second
	// deadlineWindow is the first part of staleCallWindow, in which deadlines are
	// shortened. It is shorter than staleCallWindow because the deadlines of
	// requests that arrived after the pause are shortened too.
	deadlineWindow = time.Second
)

// pause is a period in which the process did not run.
type pause struct {
	duration time.Duration
	end      time.Time
}

// pauses detects when the process did not run. The zero value is ready for use.
// It is safe for concurrent use.
type pauses struct {
	mu       sync.Mutex
	lastTick time.Time
	longest  pause
}

// watch detects pauses until ctx is done and calls paused after each one longer
// than expiryThreshold.
func (p *pauses) watch(ctx context.Context, paused func(late time.Duration)) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		if late := p.tick(time.Now()); late > expiryThreshold {
			paused(late)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// tick records that the process is running and returns how late the tick is.
func (p *pauses) tick(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := p.tickDelay(now)
	p.longest = p.longestRecent(now)
	p.lastTick = now
	return late
}

// tickDelay returns how late the next tick is at now. It uses the larger of the
// times by the monotonic and the wall clock, because the monotonic clock stops
// while a VM is suspended.
func (p *pauses) tickDelay(now time.Time) time.Duration {
	if p.lastTick.IsZero() {
		return 0
	}
	return max(now.Sub(p.lastTick), now.Round(0).Sub(p.lastTick.Round(0))) - tickInterval
}

// longestRecent returns the longest pause that calls read at now may have waited
// for, including a pause that no tick has detected yet.
func (p *pauses) longestRecent(now time.Time) pause {
	longest := p.longest
	if now.Sub(longest.end) >= staleCallWindow {
		longest = pause{}
	}
	if late := p.tickDelay(now); late > minPause && late >= longest.duration {
		longest = pause{duration: late, end: now}
	}
	return longest
}

// deadlineReduction returns by how much to shorten the deadline of a request that
// is read at now, because it may have waited for the end of a pause.
func (p *pauses) deadlineReduction(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := p.longestRecent(now); now.Sub(last.end) < deadlineWindow {
		return last.duration
	}
	return 0
}

// mayDelayCalls reports whether a call that is read now may be older than it
// seems.
func (p *pauses) mayDelayCalls() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.longestRecent(time.Now()).duration > minCallPause
}
