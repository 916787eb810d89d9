package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// probeTimeout bounds one health probe.
	probeTimeout = time.Second
	// probeFailures in a row mean that the server is down; a single slow
	// answer does not.
	probeFailures = 2
	// maxControlBytes bounds the answers to probes and load queries.
	maxControlBytes = 1 << 20
)

// health is a backend server's answer to GET /health.
type health struct {
	Start    json.RawMessage `json:"start"`
	Model    string          `json:"model"`
	Version  string          `json:"version"`
	Role     string          `json:"role"`
	Adapters []string        `json:"adapters"`
	Slots    int             `json:"slots"`
}

func (h health) held() wire.EngineState {
	return wire.EngineState{Model: h.Model, Version: h.Version, Role: h.Role, Adapters: h.Adapters}
}

type serverState struct {
	up    bool
	start string
	slots int
	// held is what a model engine says that it holds.
	held wire.EngineState
}

// server is what the agent knows about its backend server.
type server struct {
	config settings.BackendServer
	// client asks for health, load and cache events, never for runs.
	client *http.Client

	mu       sync.Mutex
	state    serverState
	failures int
	// seen is when the present start was last known to run.
	seen time.Time
	// blamed is the last server start that was found crashed.
	blamed  string
	crashMu sync.Mutex
}

func newServer(c settings.BackendServer) *server {
	// Without a Transport of its own the client would use the proxy that the
	// environment names.
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{MaxIdleConns: 1, IdleConnTimeout: time.Minute}}
	return &server{config: c, client: client, state: serverState{slots: c.Slots}}
}

func (s *server) snapshot() serverState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// get reads a JSON answer of the backend server.
func (s *server) get(ctx context.Context, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.config.URL+path, nil)
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", path, response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxControlBytes)).Decode(into)
}

// probeLoop probes the server's health and reads its load and cache events.
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

// probe asks for the server's health once; the server counts as down after the
// given number of failures in a row.
func (a *agent) probe(ctx context.Context, tolerated int) {
	var h health
	err := a.server.get(ctx, "/health", &h)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		a.probeFailed(err, tolerated)
		return
	}
	a.probeAnswered(ctx, h)
}

func (a *agent) probeFailed(err error, tolerated int) {
	s := a.server
	s.mu.Lock()
	s.failures++
	down := s.state.up && s.failures >= tolerated
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
	a.notify()
}

func (a *agent) probeAnswered(ctx context.Context, h health) {
	s := a.server
	s.mu.Lock()
	before, seen := s.state, s.seen
	slots := s.config.Slots
	if h.Slots > 0 {
		slots = min(slots, h.Slots)
	}
	s.failures, s.seen = 0, time.Now()
	s.state = serverState{up: true, start: startText(h.Start), slots: slots, held: h.held()}
	after := s.state
	s.mu.Unlock()
	restarted := before.start != "" && before.start != after.start
	if restarted {
		a.serverRestarted(ctx, before.start, after.start, seen)
	}
	s.forgetBlame(after.start)
	if !before.up || restarted {
		a.recorder.Record("server.up", "", events.F("server_start", after.start))
	}
	if !before.up || restarted || before.slots != after.slots {
		a.queue.SetSlots(after.slots)
		a.notify()
	}
	if !reflect.DeepEqual(before.held, after.held) {
		a.notify()
	}
}

// forgetBlame notes that a start which was taken for crashed is running, so
// that a later crash is blamed.
func (s *server) forgetBlame(start string) {
	s.crashMu.Lock()
	defer s.crashMu.Unlock()
	if s.blamed == start {
		s.blamed = ""
	}
}

// serverRestarted ends the runs of the former server start, whose connections
// may hang without an error. Runs that began after the former start was last
// seen may belong to the present one and are left alone.
func (a *agent) serverRestarted(ctx context.Context, former, present string, seen time.Time) {
	a.recorder.Record("server.restarted", "", events.F("former", former), events.F("server_start", present))
	a.cache.clear()
	a.blame(ctx, former)
	for _, r := range a.runs.inFlight(former) {
		if r.startedAt.Before(seen) {
			r.cancel(crashError())
		}
	}
}

// refuseQueued tells the entry VMs to send waiting requests elsewhere.
func (a *agent) refuseQueued() {
	for _, r := range a.runs.all() {
		r.refuse(serverDownError())
	}
}

// startText returns the start as text, whether the server sends a string or a
// number.
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
