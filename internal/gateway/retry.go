package gateway

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	// maxSends limits the number of servers that one request is sent to, including
	// those that did not run it.
	maxSends = 3
	// minRemaining is the shortest remaining time with which an attempt is started.
	minRemaining = 20 * time.Millisecond
)

// mayRetry reports whether a request may be sent to another server after an attempt,
// and takes the retry from the budget.
func (g *Gateway) mayRetry(r *request, s sendResult) bool {
	if len(r.tried) >= maxSends || r.remaining() < minRemaining {
		return false
	}
	if s.verdict != verdict.NotRun {
		if !r.route.Idempotent() || r.runs >= r.route.MaxServers {
			return false
		}
	}
	return g.takeRetry(r, s.cause())
}

// takeRetry takes a retry of a request from the budget.
func (g *Gateway) takeRetry(r *request, cause string) bool {
	taken := g.retryBudget.Take()
	name := "retry_taken"
	if !taken {
		name = "retry_denied"
		g.Metrics.retriesDenied(r.service.Name).Inc(1)
	}
	u := g.retryBudget.Usage()
	g.Recorder.Record(name, r.ID, events.F("service", r.service.Name), events.F("cause", cause), events.F("requests", u.Requests),
		events.F("retries", u.Retries), events.F("fixed", u.Fixed))
	r.retryTakenAt = time.Now()
	return taken
}

// recordRepeat logs and counts a request that is sent once more, to the server of a slot.
func (g *Gateway) recordRepeat(r *request, p *slot) {
	g.Metrics.repeatsSent(r.service.Name).Inc(1)
	g.Recorder.Record("repeat_sent", r.ID, events.F("service", r.service.Name), events.F("server", p.backend.Server.ID),
		events.F("tried", len(r.tried)), events.F("taken_ms", time.Since(r.retryTakenAt).Milliseconds()))
}
