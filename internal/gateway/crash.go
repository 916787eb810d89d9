package gateway

import (
	"errors"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 16
	// crashProbeTimeout limits the connection attempt that finds out whether a server has
	// crashed.
	crashProbeTimeout = 150 * time.Millisecond
	// recentSend is the age up to which a request may have begun to run right before its
	// server crashed, although others were sent there after it.
	recentSend = 300 * time.Millisecond
)

// recordBroken logs and counts an attempt whose connection broke before the response was
// complete. If the server has crashed, the request comes under suspicion: at once if the
// server had not answered, and otherwise after crashes in a row. sentAt is when the request
// was sent to the server, and eventsHere the number of events that the server has sent
// since. A leaving server ends without a crash.
func (g *Gateway) recordBroken(r *request, p *slot, s sendResult, sentAt time.Time, eventsHere int) {
	g.Metrics.Broken.Inc(1)
	brokenAt := time.Now()
	server := p.backend.Server
	begun := s.resp != nil
	parts := r.PromptParts[:min(len(r.PromptParts), maxLoggedParts)]
	g.Recorder.Record("attempt_broken", r.ID, events.F("server", server.ID), events.F("route", r.route.Name),
		events.F("account", string(r.account)), events.F("headers", begun), events.F("events", eventsHere),
		events.F("ms", time.Since(sentAt).Milliseconds()), events.F("parts", strings.Join(parts, ",")), events.F("cause", s.cause()))
	if server.Leaving || !refusesConnections(server.Address) {
		return
	}
	blame := quarantine.Blame{
		Request: r.fingerprints[0], Properties: r.fingerprints[1:], Account: r.account, Tried: r.suspects,
		Agent: fleet.ProcessID(server.ID), ServerStart: strconv.FormatInt(server.StartMS, 10),
		Begun: begun, Conclusive: p.service.headerLead.isShort(),
		Forgotten: !g.Suspicions.Remembers() && (r.sendNumber == p.backend.LastSend() || brokenAt.Sub(sentAt) < recentSend),
	}
	if eventsHere > 0 {
		blame.Streamed = r.nextStreamed
	}
	update := g.Quarantine.AddBlame(blame)
	state, _ := g.Quarantine.Check(r.fingerprints)
	g.Metrics.ServersCrashed.Inc(1)
	g.Recorder.Record("server_crashed", r.ID, events.F("server", server.ID), events.F("headers", begun), events.F("events", eventsHere), events.F("trial", len(r.suspects) > 0), events.F("forgotten", blame.Forgotten),
		events.F("suspected", formatSuspicions(update.Suspicions)), events.F("doubted", len(update.Doubted)), events.F("quarantined", state == quarantine.Quarantined))
	g.Suspicions.Publish(update)
	g.CancelQuarantined()
}

// refusesConnections reports whether nothing listens at an address, as after a crash. A
// server that is alive or cannot be reached does not count: its connections break for
// other reasons.
func refusesConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashProbeTimeout)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func formatSuspicions(suspicions []wire.Suspicion) string {
	var f []uint64
	for _, s := range suspicions {
		f = append(f, s.Fingerprint)
	}
	return formatFingerprints(f)
}

func formatFingerprints(f []uint64) string {
	var out []string
	for _, x := range f[:min(len(f), maxLoggedParts)] {
		out = append(out, strconv.FormatUint(x, 16))
	}
	return strings.Join(out, ",")
}
