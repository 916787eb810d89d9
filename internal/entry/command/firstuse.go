package command

import "time"

const (
	// firstUseMaxAge is the age from which a call's Ticket-Attempt: 1 is no longer
	// trusted. Callers that time out send the ticket again through another entry
	// VM, which makes the statement of the older call false.
	firstUseMaxAge = time.Second
	// firstUseLinkTimeout bounds the wait for a link to the ticket's agent while
	// the caller's statement still allows a refusal with not_run.
	firstUseLinkTimeout = 500 * time.Millisecond
)

// FirstUse is a caller's statement that its ticket has not been sent before.
type FirstUse struct {
	// Stated is true if the call has Ticket-Attempt: 1.
	Stated   bool
	Received time.Time
	// Paused reports whether the process was paused recently, in which case the
	// call may have waited in a socket buffer. Nil means never.
	Paused func() bool
}

// Trusted reports whether a refusal may still rely on the statement.
func (f FirstUse) Trusted() bool {
	return f.Stated && f.age() < firstUseMaxAge && (f.Paused == nil || !f.Paused())
}

// age returns the larger of the ages by the monotonic and the wall clock, because
// the monotonic clock stops while a VM is suspended.
func (f FirstUse) age() time.Duration {
	now := time.Now()
	return max(now.Sub(f.Received), now.Round(0).Sub(f.Received.Round(0)))
}
