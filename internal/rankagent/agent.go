package rankagent

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

const (
	// minReportInterval is the time between two reports to the controller in a small
	// group. Demand for experts shifts abruptly, and the group is slow until the new
	// map is in use.
	minReportInterval = 60 * time.Millisecond
	// reportsPerSecond limits the datagrams that the controller receives from all
	// agents of a group.
	reportsPerSecond = 2500
	// controllerLostAfter is the time without a message from the controller after which
	// an agent asks for another one.
	controllerLostAfter = 500 * time.Millisecond
)

// Config holds the dependencies and settings of an Agent.
type Config struct {
	Name string
	// Address is where this agent receives datagrams and calls.
	Address  string
	Seeds    []string
	Engine   Engine
	Recorder *events.Recorder
	Send     func(address string, m peers.Message)
}

// Agent reports the state of one rank to the controller and prepares expert maps.
type Agent struct {
	Config
	// retries keeps the gateways' counts of retries: all gateways may restart together.
	retries *peers.RetryLedger
	claims  *claims

	mu sync.Mutex
	// controller is the address of the controller, and lastMessage when a message last
	// named it.
	controller  string
	lastMessage time.Time
	gateways    []string

	// counts holds the count of each expert as last read, and engineStart the start time
	// of the engine at that reading, in Unix milliseconds.
	counts      []uint64
	engineStart int64
	// unsent holds, by expert, the number of choices that have not been sent yet.
	unsent       []uint64
	engineFailed bool
	// pendingSince is when the rank was first seen armed or held; zero if it is
	// neither.
	pendingSince time.Time
}

// New returns an agent. The caller must also call Run.
func New(c Config) *Agent {
	return &Agent{Config: c, retries: peers.NewRetryLedger(), claims: newClaims()}
}

// Run sends reports to the controller until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	for {
		began := time.Now()
		messages := a.round(ctx)
		interval := max(minReportInterval, time.Duration(messages)*time.Second/reportsPerSecond)
		if !pause(ctx, interval-time.Since(began)) {
			return
		}
	}
}

// round sends a report to the controller, or asks for a controller if none is known. It
// returns how many messages all agents of the group send in a round.
func (a *Agent) round(ctx context.Context) (messages int) {
	controller, ok := a.findController()
	if !ok {
		return defaultRoundMessages
	}
	report, err := a.Engine.Report(ctx)
	if err != nil {
		a.recordEngineLost(err)
		return defaultRoundMessages
	}
	if a.engineFailed {
		a.engineFailed = false
		a.Recorder.Record("engine_regained", "", events.F("epoch", report.Epoch))
	}
	report.Agent = a.Address
	report.SwitchPendingMS = a.pendingFor(&report).Milliseconds()
	a.Send(controller, &report)
	return (1 + a.sendCounts(ctx, controller, &report)) * report.Size
}

// pendingFor returns how long the rank has been armed or held. A controller that takes
// over derives from it when the lease of the previous coordinator ends.
func (a *Agent) pendingFor(r *peers.Report) time.Duration {
	if r.Armed == 0 && r.HoldPass == 0 {
		a.pendingSince = time.Time{}
		return 0
	}
	if a.pendingSince.IsZero() {
		a.pendingSince = time.Now()
	}
	return time.Since(a.pendingSince)
}

// defaultRoundMessages is the assumed number of messages of a round without a report.
const defaultRoundMessages = reportsPerSecond / 4

// recordEngineLost logs that the engine does not respond, once per outage.
func (a *Agent) recordEngineLost(err error) {
	if !a.engineFailed {
		a.Recorder.Record("engine_lost", "", events.F("error", err.Error()))
	}
	a.engineFailed = true
}

// findController returns the controller's address, and asks the gateways for a
// controller if it is unknown or no recent message has named it.
func (a *Agent) findController() (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.lastMessage) > controllerLostAfter {
		for _, address := range append(append([]string{}, a.Seeds...), a.gateways...) {
			a.Send(address, &peers.ControllerQuery{Name: a.Name, Address: a.Address})
		}
	}
	return a.controller, a.controller != ""
}

// SetSeeds replaces the addresses of the seeds.
func (a *Agent) SetSeeds(seeds []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Seeds = seeds
}

// Receive processes a datagram.
func (a *Agent) Receive(m peers.Message) {
	switch m := m.(type) {
	case *peers.ControllerReply:
		a.mu.Lock()
		a.gateways = m.Gateways
		a.mu.Unlock()
		a.setController(m.Controller)
	case *peers.Group:
		a.setController(m.Controller)
	case *peers.RetryRecord:
		a.retries.Keep(m)
	case *peers.RetryQuery:
		for _, record := range a.retries.Answer(m) {
			a.Send(m.From, record)
		}
	}
}

// setController records the controller's address from a message that has just arrived.
func (a *Agent) setController(controller string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if controller != a.controller {
		a.Recorder.Record("controller_found", "", events.F("controller", controller), events.F("former", a.controller))
	}
	a.controller, a.lastMessage = controller, time.Now()
}

// sendCounts sends the expert counts since the previous call and returns the number of
// messages.
func (a *Agent) sendCounts(ctx context.Context, controller string, r *peers.Report) int {
	p, err := a.Engine.ExpertCounts(ctx)
	if err != nil {
		a.recordEngineLost(err)
		return 0
	}
	messages := splitCounts(peers.ExpertCounts{Group: r.Group, Epoch: p.Epoch, Rank: r.Rank}, a.countsSince(p, r.EngineStartMS))
	for _, m := range messages {
		a.Send(controller, m)
	}
	return len(messages)
}

// countsSince adds the increase of the counts to unsent and returns unsent. The first
// counts after a start of the engine are only stored, and it returns nil.
func (a *Agent) countsSince(p ExpertCounts, engineStart int64) []uint64 {
	if a.engineStart != engineStart || len(a.counts) != len(p.Counts) {
		a.counts, a.engineStart, a.unsent = p.Counts, engineStart, make([]uint64, len(p.Counts))
		return nil
	}
	for i, n := range p.Counts {
		if n >= a.counts[i] {
			a.unsent[i] += n - a.counts[i]
		}
	}
	a.counts = p.Counts
	return a.unsent
}
