package link

import (
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// urgent reports whether a push must not wait for the next heartbeat. A change
// of an agent's load can wait where the entry VM sends it no requests.
func (p *peer) urgent() bool {
	if p.manager.Report == nil || p.reported == nil || !p.quiet() {
		return true
	}
	report := p.manager.Report()
	return !sameState(p.reported, &report)
}

// sendState sends a heartbeat, and an agent's report if it changed.
func (p *peer) sendState() error {
	heartbeat := p.manager.heartbeat()
	if !p.reports() {
		return p.send(heartbeat)
	}
	report := p.manager.Report()
	if p.reported != nil && sameReport(p.reported, &report) && time.Since(p.reportedAt) < reportInterval {
		heartbeat.ReportUptime, heartbeat.ReportSequence = report.Uptime, report.Sequence
		return p.send(heartbeat)
	}
	if err := p.send(heartbeat); err != nil {
		return err
	}
	p.reported, p.reportedAt = &report, time.Now()
	return p.send(&report)
}

// sameReport compares reports but for the sequence number and the uptime.
func sameReport(a, b *wire.Report) bool {
	return sameState(a, b) && a.Running == b.Running && a.Queued == b.Queued && a.QueuedTokens == b.QueuedTokens &&
		a.TokensPerSecond == b.TokensPerSecond && a.FailedShare == b.FailedShare && a.FailedRuns == b.FailedRuns && slices.Equal(a.CachedPrefixes, b.CachedPrefixes)
}

// sameState compares what decides on whether an agent may be used at all.
func sameState(a, b *wire.Report) bool {
	return a.Leaving == b.Leaving && a.ServerUp == b.ServerUp && a.ServerStart == b.ServerStart && a.Slots == b.Slots &&
		a.Model == b.Model && a.Service == b.Service && slices.Equal(a.Adapters, b.Adapters)
}
