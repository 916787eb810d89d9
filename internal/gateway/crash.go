package gateway

import (
	"strings"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 16

// recordBroken logs and counts an attempt whose connection broke before the response was
// complete. sentAt is when the request was sent to the server, and eventsHere the number
// of events that the server has sent since.
func (g *Gateway) recordBroken(r *request, p *slot, s sendResult, sentAt time.Time, eventsHere int) {
	g.Metrics.Broken.Inc(1)
	parts := r.PromptParts[:min(len(r.PromptParts), maxLoggedParts)]
	g.Recorder.Record("attempt_broken", r.ID, events.F("server", p.backend.Server.ID), events.F("route", r.route.Name),
		events.F("account", string(r.account)), events.F("headers", s.reply.ID != ""), events.F("events", eventsHere),
		events.F("ms", time.Since(sentAt).Milliseconds()), events.F("parts", strings.Join(parts, ",")), events.F("cause", s.cause()))
}
