package rankagent

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/boottime"
)

// errLease is the error of an order that the coordinator of a switch has not sent by
// the end of its lease.
var errLease = errors.New("the lease of the switch has ended")

// leasePoll is the time between two checks of the lease against the clocks.
const leasePoll = 20 * time.Millisecond

// leaseContext expires after the length of a lease by a clock that goes on while the machine
// is suspended: after that, the monotonic clock and the timers have not advanced.
type leaseContext struct {
	context.Context
	began  time.Duration
	length time.Duration
}

// withLease returns a context that expires after a lease of the given length.
func withLease(ctx context.Context, length time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := leaseContext{Context: ctx, began: boottime.Now(), length: length}
	go func() {
		for l.holds() && pause(ctx, leasePoll) {
			continue
		}
		cancel(errLease)
	}()
	return l, func() { cancel(context.Canceled) }
}

func (l leaseContext) holds() bool { return boottime.Now()-l.began < l.length }

// Err returns an error as soon as the lease has expired, even before the context is
// canceled.
func (l leaseContext) Err() error {
	if err := l.Context.Err(); err != nil {
		return err
	}
	if !l.holds() {
		return errLease
	}
	return nil
}
