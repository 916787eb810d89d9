package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/inbound"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// refuse responds to a request that was not served. A request whose verdict is not
// NotRun must never get a status which states that it did not run.
func (g *Gateway) refuse(w http.ResponseWriter, r *request, e *verdict.Error) {
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	inbound.AnswerEarly(w, r.in)
	w.WriteHeader(e.Status)
	_, err := w.Write([]byte(string(e.Reason) + ": " + e.Detail + "\n"))
	detail := e.Detail
	if err != nil {
		detail += "; writing the refusal to the caller failed: " + err.Error()
	}
	g.Metrics.Refused.Inc(1)
	g.finish(r, e.Status, string(e.Reason), detail)
}

// finishFailed responds to a request that no server responded to.
func (g *Gateway) finishFailed(ctx context.Context, w http.ResponseWriter, r *request, s sendResult) {
	g.refuse(w, r, g.failure(ctx, r, s))
}

// failure returns the verdict for a request that no server responded to, s being its
// last attempt.
func (g *Gateway) failure(ctx context.Context, r *request, s sendResult) *verdict.Error {
	late := ctx.Err() != nil && !errors.Is(ctx.Err(), context.Canceled)
	if r.runs > 0 {
		status := http.StatusBadGateway
		if late {
			status = http.StatusGatewayTimeout
		}
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonServerFailed, Status: status, Detail: s.cause()}
	}
	if refusal := g.refuseQuarantined(r); refusal != nil {
		return refusal
	}
	if late {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonDeadline, "the time limit passed before a server ran the request")
	}
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackendServer, "no backend server took the request: %s", s.cause()).
		WithRetryAfter(g.retryAfter(r, 0))
}

const (
	// minRetryAfter and maxRetryAfter bound Retry-After. Bursts last for seconds, and a
	// caller that retries within the burst is refused again.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// retryAfterShare is the fraction of the caller's remaining time that Retry-After
	// may take. Callers obey Retry-After up to a third of it; the rest covers the
	// transfer to the caller.
	retryAfterShare = 0.32
)

// retryAfter chooses when a refused caller may retry: a random time between the
// estimated wait in the queue and the longest delay that the caller obeys. Load
// pattern: a load peak, or a group that starts, in which hundreds of requests are
// refused within a second. If their callers retried together, they would be refused
// together again.
func (g *Gateway) retryAfter(r *request, wait time.Duration) time.Duration {
	longest := min(time.Duration(retryAfterShare*float64(r.remaining())), maxRetryAfter)
	shortest := max(wait, minRetryAfter)
	if longest <= shortest {
		return max(longest, minRetryAfter)
	}
	return shortest + time.Duration(rand.Int64N(int64(longest-shortest)))
}

// finish logs and counts the end of a request.
func (g *Gateway) finish(r *request, status int, outcome, detail string) {
	took := time.Since(r.arrived)
	g.Metrics.Ended(status, took)
	fields := []events.Field{
		events.F("status", status), events.F("outcome", outcome), events.F("ms", took.Milliseconds()),
		events.F("tried", len(r.tried)), events.F("age_ms", g.Feed.Copy().Age().Milliseconds()),
	}
	if r.route != nil {
		fields = append(fields, events.F("route", r.route.Name), events.F("kind", kindName(r.route.Kind)), events.F("urgency", r.urgency))
	}
	if r.account != "" {
		fields = append(fields, events.F("account", string(r.account)))
	}
	if len(r.tried) > 0 {
		fields = append(fields, events.F("server", r.tried[len(r.tried)-1]))
	}
	if detail != "" {
		fields = append(fields, events.F("detail", detail))
	}
	g.Recorder.Record("request_ended", r.ID, fields...)
}
