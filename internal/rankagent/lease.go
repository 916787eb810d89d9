package rankagent

import (
	"context"
	"errors"
	"time"
)

// errLease tells that the time is over in which a lead may send orders.
var errLease = errors.New("the lease of the switch has ended")

// leasePoll is how often the clocks are compared with the lease.
const leasePoll = 20 * time.Millisecond

// leaseContext ends after a time by the steady clock or by the time of day,
// whichever runs further: a process that was stopped finds its steady clock or
// its timers where they were.
type leaseContext struct {
	context.Context
	steady time.Time
	wall   time.Time
	length time.Duration
}

// withLease returns a context that ends after a lease.
func withLease(ctx context.Context, length time.Duration) (context.Context, context.CancelFunc) {
	now := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	l := leaseContext{Context: ctx, steady: now, wall: now.Round(0), length: length}
	go func() {
		for l.holds() && pause(ctx, leasePoll) {
			continue
		}
		cancel(errLease)
	}()
	return l, func() { cancel(context.Canceled) }
}

func (l leaseContext) holds() bool {
	now := time.Now()
	steady, wall := now.Sub(l.steady), now.Round(0).Sub(l.wall)
	return steady < l.length && wall < l.length
}

// Err returns an error from the moment on at which the lease has ended, also
// before the context is cancelled.
func (l leaseContext) Err() error {
	if err := l.Context.Err(); err != nil {
		return err
	}
	if !l.holds() {
		return errLease
	}
	return nil
}
