package command

import "time"

const (
	// firstUseTrust is the age up to which a call's Ticket-Attempt: 1 is
	// believed. Callers time out and send the ticket again through another entry
	// VM, which makes the statement of an old call false.
	firstUseTrust = time.Second
	// firstUseWait bounds the wait for a link to the ticket's agent while the
	// statement still allows a refusal with not_run.
	firstUseWait = 500 * time.Millisecond
)

// FirstUse is a caller's statement that its ticket was never sent before.
type FirstUse struct {
	// Stated tells that the call has Ticket-Attempt: 1.
	Stated   bool
	Received time.Time
	// Paused reports whether the process was stopped a short time ago, so that
	// the call may have waited in a socket buffer. Nil means never.
	Paused func() bool
}

// Holds reports whether a refusal may rely on the statement now.
func (f FirstUse) Holds() bool {
	return f.Stated && f.age() < firstUseTrust && (f.Paused == nil || !f.Paused())
}

// age is by the monotonic or the wall clock: the monotonic clock stands still
// while a VM is suspended.
func (f FirstUse) age() time.Duration {
	now := time.Now()
	return max(now.Sub(f.Received), now.Round(0).Sub(f.Received.Round(0)))
}
