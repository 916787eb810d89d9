// Package boottime reads a clock that goes on while the machine is suspended. The monotonic
// clock of package time stands still then, and the wall clock may jump.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// monotonicStart is the reference of the monotonic clock.
var monotonicStart = time.Now()

// Now returns the time since the machine was started, or since this process was started if
// the system has no such clock.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(monotonicStart)
	}
	return time.Duration(t.Nano())
}
