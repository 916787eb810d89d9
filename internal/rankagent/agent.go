package rankagent

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

const (
	// shortestInterval is the time between two reports to the controller in a small
	// group: demand for experts shifts at once, and until a new map is there the
	// group is slow.
	shortestInterval = 60 * time.Millisecond
	// reportsPerSecond bounds the datagrams that the controller gets from all
	// agents of a group. The cost of a datagram was not measured.
	reportsPerSecond = 2500
	// controllerLostAfter is the time without a word from the controller after
	// which an agent asks for another one.
	controllerLostAfter = 500 * time.Millisecond
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
	picks []uint64
	born  int64
	// unsent is what the units of the messages so far have left out.
	unsent []uint64
	failed bool
	// openSince is when the rank was first seen armed or held.
	openSince time.Time
}

// New returns an agent; Run starts it.
func New(c Config) *Agent { return &Agent{Config: c} }

// Run reports to the controller until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	for {
		began := time.Now()
		messages := a.round(ctx)
		interval := max(shortestInterval, time.Duration(messages)*time.Second/reportsPerSecond)
		if !pause(ctx, interval-time.Since(began)) {
			return
		}
	}
}

// round asks for a controller, or reports to it. It returns how many messages
// all agents of the group send in a round.
func (a *Agent) round(ctx context.Context) (messages int) {
	controller, ok := a.findController()
	if !ok {
		return askedPerSecond
	}
	report, err := a.Engine.Report(ctx)
	if err != nil {
		a.engineLost(err)
		return askedPerSecond
	}
	if a.failed {
		a.failed = false
		a.Recorder.Record("engine_regained", "", events.F("epoch", report.Epoch))
	}
	report.Agent = a.Address
	report.SwitchPendingMS = a.openFor(&report).Milliseconds()
	a.Send(controller, &report)
	return (1 + a.sendPicks(ctx, controller, &report)) * report.Size
}

// openFor returns how long the rank has been armed or held. It tells a controller
// that took over when the lease of the former one has ended.
func (a *Agent) openFor(r *peers.Report) time.Duration {
	if r.Armed == 0 && r.HoldPass == 0 {
		a.openSince = time.Time{}
		return 0
	}
	if a.openSince.IsZero() {
		a.openSince = time.Now()
	}
	return time.Since(a.openSince)
}

// askedPerSecond stands for the number of messages in a round without a report.
const askedPerSecond = reportsPerSecond / 4

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
			a.Send(address, &peers.ControllerQuery{Name: a.Name, Address: a.Address})
		}
	}
	return a.controller, a.controller != ""
}

// SetSeeds replaces the seeds.
func (a *Agent) SetSeeds(seeds []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Seeds = seeds
}

// Receive takes a datagram.
func (a *Agent) Receive(m peers.Message) {
	switch m := m.(type) {
	case *peers.ControllerReply:
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

// sendPicks sends the choices of experts since the last time and returns the
// number of messages.
func (a *Agent) sendPicks(ctx context.Context, controller string, r *peers.Report) int {
	p, err := a.Engine.ExpertCounts(ctx)
	if err != nil {
		a.engineLost(err)
		return 0
	}
	messages := splitPicks(peers.ExpertCounts{Group: r.Group, Epoch: p.Epoch, Rank: r.Rank}, a.since(p, r.EngineStartMS))
	for _, m := range messages {
		a.Send(controller, m)
	}
	return len(messages)
}

// since adds the growth of the counts to what is unsent and returns that. The
// first counts of an engine's start are only kept.
func (a *Agent) since(p ExpertCounts, born int64) []uint64 {
	if a.born != born || len(a.picks) != len(p.Counts) {
		a.picks, a.born, a.unsent = p.Counts, born, make([]uint64, len(p.Counts))
		return nil
	}
	for i, n := range p.Counts {
		if n >= a.picks[i] {
			a.unsent[i] += n - a.picks[i]
		}
	}
	a.picks = p.Counts
	return a.unsent
}
