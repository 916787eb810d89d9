package link

import (
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// pushNeeded reports whether a push must be sent before the next heartbeat. A
// change of an agent's load can wait on an idle link, because the entry VM sends
// the agent no requests.
func (p *peer) pushNeeded() bool {
	if p.manager.Report == nil || p.lastReport == nil || !p.idle() {
		return true
	}
	report := p.manager.Report()
	return !sameState(p.lastReport, &report)
}

// sendState sends a heartbeat. An agent also sends its report if it changed or if
// reportInterval has passed; otherwise the heartbeat confirms the last report.
func (p *peer) sendState() error {
	heartbeat := p.manager.heartbeat()
	if !p.sendsReports() {
		return p.send(heartbeat)
	}
	report := p.manager.Report()
	if p.lastReport != nil && sameReport(p.lastReport, &report) && time.Since(p.lastReportAt) < reportInterval {
		heartbeat.ReportUptime, heartbeat.ReportSequence = report.Uptime, report.Sequence
		return p.send(heartbeat)
	}
	if err := p.send(heartbeat); err != nil {
		return err
	}
	p.lastReport, p.lastReportAt = &report, time.Now()
	return p.send(&report)
}

// sameReport reports whether a and b are equal except for the sequence number and
// the uptime.
func sameReport(a, b *wire.Report) bool {
	return sameState(a, b) && a.Running == b.Running && a.Queued == b.Queued && a.QueuedTokens == b.QueuedTokens &&
		a.TokensPerSecond == b.TokensPerSecond && a.FailureRate == b.FailureRate && a.FailedRuns == b.FailedRuns && slices.Equal(a.CachedPrefixes, b.CachedPrefixes)
}

// sameState reports whether a and b are equal in the fields that decide whether an
// agent can be used for a request, regardless of its load.
func sameState(a, b *wire.Report) bool {
	return a.Leaving == b.Leaving && a.ServerUp == b.ServerUp && a.ServerStart == b.ServerStart && a.Slots == b.Slots &&
		a.Model == b.Model && a.Service == b.Service && slices.Equal(a.Adapters, b.Adapters)
}
