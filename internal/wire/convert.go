package wire

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// RefusedFrom returns the Refused message for e.
func RefusedFrom(e *verdict.Error) *Refused {
	return &Refused{
		Verdict:     e.Verdict,
		Reason:      e.Reason,
		Status:      e.Status,
		RetryAfter:  e.RetryAfter.Milliseconds(),
		TicketSpent: e.TicketSpent,
		Detail:      e.Detail,
	}
}

// Error returns the error that the message describes.
func (m *Refused) Error() *verdict.Error {
	return &verdict.Error{
		Verdict:     m.Verdict,
		Reason:      m.Reason,
		Status:      m.Status,
		RetryAfter:  time.Duration(m.RetryAfter) * time.Millisecond,
		TicketSpent: m.TicketSpent,
		Detail:      m.Detail,
	}
}
