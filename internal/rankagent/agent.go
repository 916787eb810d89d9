package rankagent

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

const (
	// reportInterval is the time between two reports to the controller. Demand
	// for experts moves within seconds.
	reportInterval = 100 * time.Millisecond
	// controllerLostAfter is the time without a word from the controller after
	// which an agent asks for another one.
	controllerLostAfter = 1500 * time.Millisecond
)

// Config is what an Agent works with.
type Config struct {
	Name string
	// Address is where this agent gets datagrams and calls.
	Address  string
	Seeds    []string
	Engine   Engine
	Recorder *events.Recorder
	Send     func(address string, m peers.Message)
}

// Agent runs beside the engine of one rank.
type Agent struct {
	Config

	mu         sync.Mutex
	controller string
	heard      time.Time
	gateways   []string

	// picks is the last count of each expert, and epoch and born what it was
	// counted in.
	picks  []uint64
	born   int64
	failed bool
}

// New returns an agent; Run starts it.
func New(c Config) *Agent { return &Agent{Config: c} }

// Run reports to the controller until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		a.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// round asks for a controller, or reports to it.
func (a *Agent) round(ctx context.Context) {
	controller, ok := a.findController()
	if !ok {
		return
	}
	report, err := a.Engine.Report(ctx)
	if err != nil {
		a.engineLost(err)
		return
	}
	if a.failed {
		a.failed = false
		a.Recorder.Record("engine_regained", "", events.F("epoch", report.Epoch))
	}
	report.Agent = a.Address
	a.Send(controller, &report)
	a.sendPicks(ctx, controller, &report)
}

func (a *Agent) engineLost(err error) {
	if !a.failed {
		a.Recorder.Record("engine_lost", "", events.F("error", err.Error()))
	}
	a.failed = true
}

// findController returns the controller's address, and asks for it when it is
// unknown or silent.
func (a *Agent) findController() (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.heard) > controllerLostAfter {
		for _, address := range append(append([]string{}, a.Seeds...), a.gateways...) {
			a.Send(address, &peers.Ask{Name: a.Name, Address: a.Address})
		}
	}
	return a.controller, a.controller != ""
}

// Receive takes a datagram.
func (a *Agent) Receive(m peers.Message) {
	switch m := m.(type) {
	case *peers.Welcome:
		a.mu.Lock()
		a.gateways = m.Gateways
		a.mu.Unlock()
		a.follow(m.Controller)
	case *peers.Group:
		a.follow(m.Controller)
	}
}

func (a *Agent) follow(controller string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if controller != a.controller {
		a.Recorder.Record("controller_found", "", events.F("controller", controller), events.F("former", a.controller))
	}
	a.controller, a.heard = controller, time.Now()
}

// sendPicks sends the choices of experts since the last time.
func (a *Agent) sendPicks(ctx context.Context, controller string, r *peers.Report) {
	p, err := a.Engine.Picks(ctx)
	if err != nil {
		a.engineLost(err)
		return
	}
	since := a.since(p, r.Born)
	for _, m := range splitPicks(r.Group, p.Epoch, since) {
		a.Send(controller, m)
	}
}

// since returns the growth of the counts and keeps them. The first counts of an
// engine's start are only kept.
func (a *Agent) since(p Picks, born int64) []uint32 {
	former := a.picks
	if a.born != born || len(former) != len(p.Counts) {
		former = nil
	}
	a.picks, a.born = p.Counts, born
	if former == nil {
		return nil
	}
	out := make([]uint32, len(p.Counts))
	for i, n := range p.Counts {
		if n >= former[i] {
			out[i] = uint32(min(n-former[i], math.MaxUint32))
		}
	}
	return out
}
