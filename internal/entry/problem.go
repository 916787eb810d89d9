package entry

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	goa "goa.design/goa/v3/pkg"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const problemType = "application/problem+json"

// problem is the response body of a refusal.
type problem struct {
	Type        string          `json:"type"`
	Title       string          `json:"title"`
	Status      int             `json:"status"`
	Verdict     verdict.Verdict `json:"verdict"`
	Reason      verdict.Reason  `json:"reason"`
	RequestID   fleet.RequestID `json:"request_id"`
	TicketSpent bool            `json:"ticket_spent,omitempty"`
	Detail      string          `json:"detail,omitempty"`
}

// StatusCode returns the HTTP status. goa calls it.
func (p problem) StatusCode() int { return p.Status }

func newProblem(id fleet.RequestID, e *verdict.Error) problem {
	status := e.Status
	if status < http.StatusBadRequest || status > 599 {
		status = http.StatusBadGateway
	}
	return problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Verdict: e.Verdict,
		Reason: e.Reason, RequestID: id, TicketSpent: e.TicketSpent, Detail: e.Detail,
	}
}

// setProblemHeaders sets the headers of a refusal.
func setProblemHeaders(h http.Header, e *verdict.Error) {
	h.Set("Content-Type", problemType)
	h.Set("Verdict", string(e.Verdict))
	wait := e.RetryAfter
	if wait <= 0 && (e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests) {
		wait = busyRetryAfter
	}
	if wait > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
}

func writeProblem(w http.ResponseWriter, id fleet.RequestID, e *verdict.Error) {
	p := newProblem(id, e)
	setProblemHeaders(w.Header(), e)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// verdictOf returns the verdict of an error from goa or a command. Errors of goa
// come from decoding and validation, before anything was sent to an agent.
func verdictOf(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	var g *goa.ServiceError
	if errors.As(err, &g) {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "%s", g.Message)
	}
	return verdict.From(err)
}
