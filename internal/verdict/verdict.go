// Package verdict defines the errors with which requests fail. Every error has
// a verdict that states whether the request may have run.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Verdict states whether a request ran.
type Verdict string

// Verdicts. NotRun guarantees that the request did not run and never will.
// MayHaveRun means that it is unknown whether the request ran. Completed means
// that the request ran to its end.
const (
	NotRun     Verdict = "not_run"
	MayHaveRun Verdict = "may_have_run"
	Completed  Verdict = "completed"
)

// StatesNotRun reports whether an HTTP status tells a caller that its request did not run and
// never will. A backend server may also answer with it after it has run the request.
func StatesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Reason is the machine-readable cause of a failure.
type Reason string

// Reasons that several packages use.
const (
	ReasonBadRequest       Reason = "bad_request"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonForbidden        Reason = "forbidden"
	ReasonNoConfiguration  Reason = "no_configuration"
	ReasonNoBackendServer  Reason = "no_backend_server"
	ReasonUnknownModel     Reason = "unknown_model"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonTicketRequired   Reason = "ticket_required"
	ReasonTicketInvalid    Reason = "ticket_invalid"
	ReasonTicketExpired    Reason = "ticket_expired"
	ReasonTicketSpent      Reason = "ticket_spent"
	ReasonOtherStart       Reason = "other_start"
	ReasonQueueFull        Reason = "queue_full"
	ReasonDeadline         Reason = "deadline"
	ReasonLeaving          Reason = "leaving"
	ReasonQuarantined      Reason = "quarantined"
	ReasonServerCrashed    Reason = "server_crashed"
	ReasonServerFailed     Reason = "server_failed"
	ReasonLinkLost         Reason = "link_lost"
	ReasonCanceled         Reason = "canceled"
	ReasonOverloaded       Reason = "overloaded"
	ReasonRetryBudget      Reason = "retry_budget"
	ReasonStreamUnknown    Reason = "stream_unknown"
	ReasonResponseTooLarge Reason = "response_too_large"
	ReasonInternal         Reason = "internal"
)

// Error is the failure of a request, with its verdict.
type Error struct {
	Verdict Verdict
	Reason  Reason
	// Status is the HTTP status of the answer.
	Status int
	// RetryAfter is the time that the caller should wait before a retry; zero
	// means that none is given.
	RetryAfter time.Duration
	// TicketSpent reports whether the ticket can never run a request again.
	TicketSpent bool
	// Detail is a human-readable description.
	Detail string
}

// Error returns the reason, the verdict and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Detail)
}

// Refuse returns a NotRun error.
func Refuse(status int, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Reason: reason, Status: status, Detail: fmt.Sprintf(format, args...)}
}

// Uncertain returns a MayHaveRun error with status 502.
func Uncertain(reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: MayHaveRun, Reason: reason, Status: http.StatusBadGateway, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that asks the caller to wait for d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the Error that err wraps. For any other error it returns a
// MayHaveRun error, because an unknown failure does not prove that the request
// did not run.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Uncertain(ReasonInternal, "%v", err)
}
