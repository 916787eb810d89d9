package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/outbound"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// probeTimeout limits the duration of one health probe.
	probeTimeout = time.Second
	// probeFailures is the number of consecutive failed probes after which the
	// server counts as down. A single slow answer is tolerated.
	probeFailures = 2
	// maxControlBytes limits the size of answers to probes, load queries and
	// map calls.
	maxControlBytes = 1 << 20
)

// health is the backend server's response to GET /health.
type health struct {
	Start    json.RawMessage `json:"start"`
	Model    string          `json:"model"`
	Version  string          `json:"version"`
	Role     string          `json:"role"`
	Adapters []string        `json:"adapters"`
	Slots    int             `json:"slots"`
}

func (h health) engineState() wire.EngineState {
	return wire.EngineState{Model: h.Model, Version: h.Version, Role: h.Role, Adapters: h.Adapters}
}

type serverState struct {
	up    bool
	start string
	slots int
	// engineState is the state that a model engine reports.
	engineState wire.EngineState
}

// server is the agent's view of its backend server.
type server struct {
	config settings.BackendServer
	// client is used for health, load and cache event queries, but not for
	// runs.
	client *http.Client

	mu       sync.Mutex
	state    serverState
	failures int
	// lastSeen is the time of the last successful probe of the current start.
	lastSeen time.Time
	// crashedStart is the last server start that was found crashed. It is
	// guarded by crashMu.
	crashedStart string
	crashMu      sync.Mutex
}

func newServer(c settings.BackendServer) *server {
	// Set a Transport, because the default one uses the proxy from the
	// environment.
	client := outbound.NewClient(&http.Transport{MaxIdleConns: 1, IdleConnTimeout: time.Minute})
	client.Timeout = probeTimeout
	return &server{config: c, client: client, state: serverState{slots: c.Slots}}
}

func (s *server) snapshot() serverState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// get sends a GET request to the backend server and decodes the JSON response.
func (s *server) get(ctx context.Context, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.config.URL+path, nil)
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	body, err := outbound.ReadAll(response, maxControlBytes)
	if err != nil {
		return fmt.Errorf("GET %s: %w", path, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", path, response.StatusCode)
	}
	return json.Unmarshal(body, into)
}

// probeLoop probes the server's health and reads its load and cache events once
// per probe interval.
func (a *agent) probeLoop(ctx context.Context) {
	defer a.server.client.CloseIdleConnections()
	for {
		a.probe(ctx, probeFailures)
		a.rate.add(0, time.Now())
		a.updateGauges()
		a.orders.ExpireLease()
		if a.isModel() && a.server.snapshot().up {
			a.readLoad(ctx)
			a.readCacheEvents(ctx)
		}
		if !sleep(ctx, a.config.BackendServer.ProbeInterval.Std()) {
			return
		}
	}
}

// probe sends one health probe. The server counts as down after failureThreshold
// consecutive failures.
func (a *agent) probe(ctx context.Context, failureThreshold int) {
	var h health
	err := a.server.get(ctx, "/health", &h)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		a.probeFailed(err, failureThreshold)
		return
	}
	a.probeSucceeded(ctx, h)
}

func (a *agent) probeFailed(err error, failureThreshold int) {
	s := a.server
	s.mu.Lock()
	s.failures++
	down := s.state.up && s.failures >= failureThreshold
	if down {
		s.state.up = false
	}
	s.mu.Unlock()
	if !down {
		return
	}
	a.queue.SetSlots(0)
	a.recorder.Record("server.down", "", events.F("error", err.Error()))
	a.refuseQueued()
	a.triggerReport()
}

func (a *agent) probeSucceeded(ctx context.Context, h health) {
	s := a.server
	s.mu.Lock()
	before, seen := s.state, s.lastSeen
	slots := s.config.Slots
	if h.Slots > 0 {
		slots = min(slots, h.Slots)
	}
	s.failures, s.lastSeen = 0, time.Now()
	s.state = serverState{up: true, start: startText(h.Start), slots: slots, engineState: h.engineState()}
	after := s.state
	s.mu.Unlock()
	restarted := before.start != "" && before.start != after.start
	if restarted {
		a.serverRestarted(ctx, before.start, after.start, seen)
	}
	s.clearCrashedStart(after.start)
	if !before.up || restarted {
		a.recorder.Record("server.up", "", events.F("server_start", after.start))
	}
	if !before.up || restarted || before.slots != after.slots {
		a.queue.SetSlots(after.slots)
		a.triggerReport()
	}
	if !reflect.DeepEqual(before.engineState, after.engineState) {
		a.triggerReport()
	}
}

// clearCrashedStart removes the crash mark from a start that turns out to be
// running, so that a later crash of it is reported.
func (s *server) clearCrashedStart(start string) {
	s.crashMu.Lock()
	defer s.crashMu.Unlock()
	if s.crashedStart == start {
		s.crashedStart = ""
	}
}

// serverRestarted ends the runs of the previous server start, because their
// connections may hang without an error. Runs that began after the last
// successful probe of the previous start may belong to the current one and
// continue.
func (a *agent) serverRestarted(ctx context.Context, previous, current string, seen time.Time) {
	a.recorder.Record("server.restarted", "", events.F("former", previous), events.F("server_start", current))
	a.cache.clear()
	a.reportCrash(ctx, previous)
	for _, r := range a.runs.inFlight(previous) {
		if r.startedAt.Before(seen) {
			r.cancel(crashError())
		}
	}
}

// refuseQueued refuses all runs that have not begun, so that the entry VMs send
// them to other agents.
func (a *agent) refuseQueued() {
	for _, r := range a.runs.openRuns() {
		r.refuse(serverDownError())
	}
}

// startText returns the start identifier as text. Servers send it as a string
// or as a number.
func startText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

func serverDownError() *verdict.Error {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackendServer, "the backend server is down").WithRetryAfter(time.Second)
}

func crashError() *verdict.Error {
	return verdict.Uncertain(verdict.ReasonServerCrashed, "the backend server ended while the request ran")
}
