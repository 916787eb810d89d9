package agent

import (
	"cmp"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootbay/coltsfootbay/internal/adminhttp"
	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// report returns the current state of the agent for the entry VMs.
func (a *agent) report() wire.Report {
	s := a.server.snapshot()
	q := a.queue.Stats()
	r := wire.Report{
		Sequence:        a.sequence.Add(1),
		Uptime:          a.uptime().Milliseconds(),
		Leaving:         a.leaving.Load(),
		ServerUp:        s.up,
		ServerStart:     s.start,
		Running:         q.Running,
		Queued:          q.Queued,
		Slots:           s.slots,
		QueuedTokens:    q.Tokens,
		TokensPerSecond: a.rate.perSecond(),
	}
	r.FailureRate, r.FailedRuns = a.outcomes.report(s.start)
	if a.isModel() {
		r.Model, r.Adapters = a.servedModel(), s.engineState.Adapters
		r.Version, r.Role = s.engineState.Version, s.engineState.Role
		r.CachedPrefixes = a.cache.snapshot()
	} else {
		r.Service = a.config.BackendServer.Name
	}
	return r
}

// servedModel returns the model that the engine reports, which an order may
// have changed. If the engine reports none, it returns the model in the
// settings.
func (a *agent) servedModel() string {
	return cmp.Or(a.server.snapshot().engineState.Model, a.config.BackendServer.Name)
}

func (a *agent) isModel() bool { return a.config.BackendServer.Kind == settings.KindModel }

func (a *agent) adminOptions() adminhttp.Options {
	return adminhttp.Options{
		Address:  a.config.AdminAddress,
		KeyFile:  a.config.Keys.Admin,
		Limits:   a.config.Limits,
		Recorder: a.recorder,
		Metrics:  a.metrics,
		Ready:    a.ready,
		Status:   func() any { return a.status() },
		Drain:    a.requestDrain,
	}
}

func (a *agent) ready() error {
	if a.leaving.Load() {
		return errors.New("the agent is leaving")
	}
	if !a.server.snapshot().up {
		return errors.New("the backend server does not answer its health probe")
	}
	return nil
}

// Status is the agent's state in the response to /admin/v1/status.
type Status struct {
	Process      string  `json:"process"`
	Start        uint64  `json:"start,string"`
	UptimeMs     int64   `json:"uptime_ms"`
	Leaving      bool    `json:"leaving"`
	Kind         string  `json:"kind"`
	Server       string  `json:"server"`
	ServerUp     bool    `json:"server_up"`
	ServerStart  string  `json:"server_start"`
	Slots        int     `json:"slots"`
	Running      int     `json:"running"`
	Queued       int     `json:"queued"`
	QueuedTokens int64   `json:"queued_tokens"`
	TokenRate    float64 `json:"tokens_per_second"`
	// ConfigRevision is the highest platform revision seen. Documents lists the
	// revision of each document that is in force.
	ConfigRevision uint64                  `json:"config_revision"`
	Documents      []config.DocumentStatus `json:"documents"`
}

func (a *agent) status() Status {
	s, q := a.server.snapshot(), a.queue.Stats()
	return Status{
		Process: a.config.Name, Start: uint64(a.start), UptimeMs: a.uptime().Milliseconds(),
		Leaving: a.leaving.Load(), Kind: a.config.BackendServer.Kind, Server: a.config.BackendServer.Name,
		ServerUp: s.up, ServerStart: s.start, Slots: s.slots,
		Running: q.Running, Queued: q.Queued, QueuedTokens: q.Tokens, TokenRate: a.rate.perSecond(),
		ConfigRevision: a.store.Revision(), Documents: a.store.Status(),
	}
}

type meters struct {
	scope        tally.Scope
	queued       tally.Gauge
	running      tally.Gauge
	runs, tokens tally.Counter
}

func newMeters(s tally.Scope) meters {
	return meters{
		scope:   s,
		queued:  s.Gauge("queue_length"),
		running: s.Gauge("running"),
		runs:    s.Counter("runs"),
		tokens:  s.Counter("tokens"),
	}
}

func (m meters) countRefusal(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
}

// updateGauges sets the metrics for queued and running requests.
func (a *agent) updateGauges() {
	q := a.queue.Stats()
	a.meters.queued.Update(float64(q.Queued))
	a.meters.running.Update(float64(q.Running))
}

const (
	// rateInterval is the minimum duration of one measurement of the rate.
	rateInterval = time.Second
	// rateDecay is the factor by which the peak rate decays with every
	// measurement. The decay is slow, so that the rate stays near the server's
	// capacity during periods of low load.
	rateDecay = 0.95
)

// rate measures the work that the server completes, in estimated tokens per
// second. It uses estimates because the queue's length is also an estimate.
type rate struct {
	mu       sync.Mutex
	peakRate float64
	tokens   int64
	since    time.Time
}

func (r *rate) add(tokens int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() {
		r.since = now
	}
	r.tokens += tokens
	elapsed := now.Sub(r.since)
	if elapsed < rateInterval {
		return
	}
	r.peakRate = max(r.peakRate*rateDecay, float64(r.tokens)/elapsed.Seconds())
	r.tokens, r.since = 0, now
}

func (r *rate) perSecond() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peakRate
}
