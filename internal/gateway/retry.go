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
	service := r.service.Name
	r.retryTaken, r.retryTakenAt = g.Retries.Reserve(service), time.Now()
	name := "retry_taken"
	if !r.retryTaken {
		name = "retry_denied"
		g.Metrics.retriesDenied(service).Inc(1)
	}
	u := g.Retries.Usage(service)
	g.Recorder.Record(name, r.ID, events.F("service", service), events.F("cause", cause), events.F("requests", u.Own.Requests),
		events.F("retries", u.Own.Retries), events.F("fixed", u.Fixed), events.F("others_requests", u.Others.Requests), events.F("others_retries", u.Others.Retries))
	return r.retryTaken
}

// returnRetry returns a retry that was taken and not sent to the budget.
func (g *Gateway) returnRetry(r *request) {
	if r.retryTaken {
		r.retryTaken = false
		g.Retries.Cancel(r.service.Name)
	}
}

// recordRepeat counts a request that is about to be sent once more, to the server of a slot.
func (g *Gateway) recordRepeat(r *request, p *slot) {
	service := r.service.Name
	r.retryTaken = false
	g.Retries.Sent(service)
	g.AnnounceRetry(service)
	g.Metrics.repeatsSent(service).Inc(1)
	g.Recorder.Record("repeat_sent", r.ID, events.F("service", service), events.F("server", p.backend.Server.ID),
		events.F("tried", len(r.tried)), events.F("taken_ms", time.Since(r.retryTakenAt).Milliseconds()))
}
