package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// refuse answers a request that was not served with its verdict. A verdict that
// is not NotRun never gets a status that promises it.
func (g *Gateway) refuse(w http.ResponseWriter, r *request, e *verdict.Error) {
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(e.Status)
	_, err := w.Write([]byte(string(e.Reason) + ": " + e.Detail + "\n"))
	detail := e.Detail
	if err != nil {
		detail += "; the caller left: " + err.Error()
	}
	g.Metrics.Refused.Inc(1)
	g.finish(r, e.Status, string(e.Reason), detail)
}

// finishFailed answers a request for which no server gave an answer.
func (g *Gateway) finishFailed(ctx context.Context, w http.ResponseWriter, r *request, s sent) {
	g.refuse(w, r, g.failure(ctx, r, s))
}

func (g *Gateway) failure(ctx context.Context, r *request, s sent) *verdict.Error {
	late := ctx.Err() != nil && !errors.Is(ctx.Err(), context.Canceled)
	if r.runs > 0 {
		status := http.StatusBadGateway
		if late {
			status = http.StatusGatewayTimeout
		}
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonServerFailed, Status: status, Detail: s.cause()}
	}
	if late {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonDeadline, "the time limit passed before a server ran the request")
	}
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackendServer, "no backend server took the request: %s", s.cause()).
		WithRetryAfter(g.returnTime(r, 0))
}

const (
	// minReturn and maxReturn bound Retry-After. Bursts last for seconds; who comes
	// back in one is refused again.
	minReturn = 150 * time.Millisecond
	maxReturn = 3 * time.Second
	// returnShare is the part of the time left within which callers heed
	// Retry-After, a third, less the way to the caller.
	returnShare = 0.32
)

// returnTime chooses when a refused caller may come back: drawn between the time at
// which its place in the queue would have been reached and the longest that it heeds.
// Load pattern: a crest, or a group that starts, in which hundreds are refused within
// a second. Those that come back together meet each other again.
func (g *Gateway) returnTime(r *request, wait time.Duration) time.Duration {
	longest := min(time.Duration(returnShare*float64(r.left())), maxReturn)
	shortest := max(wait, minReturn)
	if longest <= shortest {
		return max(longest, minReturn)
	}
	return shortest + time.Duration(rand.Int64N(int64(longest-shortest)))
}

// finish logs and counts the end of a request.
func (g *Gateway) finish(r *request, status int, outcome, detail string) {
	took := time.Since(r.arrived)
	g.Metrics.Ended(status, took)
	fields := []events.Field{
		events.F("status", status), events.F("outcome", outcome), events.F("ms", took.Milliseconds()),
		events.F("tried", len(r.tried)), events.F("age_ms", g.Feed.Age().Milliseconds()),
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
