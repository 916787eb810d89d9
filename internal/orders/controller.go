package orders

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// compareInterval is how often documents and reports are compared.
	compareInterval = 250 * time.Millisecond
	// takeoverDelay per place in the order of preference keeps the other entry
	// VMs from claiming while the preferred one works; it is the time after
	// which a silent entry VM is suspected.
	takeoverDelay = 3 * time.Second
	minPause      = 250 * time.Millisecond
	maxPause      = 10 * time.Second
	// callTimeout bounds a claim. An order has no bound: its result comes when
	// the engine has answered, or the link is lost.
	callTimeout = 3 * time.Second
)

// ControllerConfig holds what a Controller works on.
type ControllerConfig struct {
	Process fleet.ProcessID
	Start   fleet.StartID
	// Desired returns what the documents in force ask for.
	Desired func() map[fleet.ProcessID]dynamic.Engine
	// Reported returns what an agent's last report says, or false if there is
	// no link to the agent or the report is old.
	Reported func(agent fleet.ProcessID) (wire.EngineState, bool)
	// Preference returns how many entry VMs come first for a key.
	Preference func(key string) int
	// Call sends one message on a new request stream and returns the answer.
	Call func(ctx context.Context, agent fleet.ProcessID, m wire.Message) (wire.Message, error)
}

// Controller sends orders until engines match the documents. All entry VMs run
// one. Nothing is safe because of what it does: the arbiter alone decides, so
// the controller may act on old knowledge.
type Controller struct {
	ControllerConfig
	engines map[fleet.ProcessID]*attempt
	running sync.WaitGroup
}

// attempt is what a controller remembers about one engine.
type attempt struct {
	mu sync.Mutex
	// since is when the mismatch was first seen.
	since time.Time
	next  time.Time
	pause time.Duration
	busy  bool
}

// NewController returns a controller; Run starts it.
func NewController(c ControllerConfig) *Controller {
	return &Controller{ControllerConfig: c, engines: map[fleet.ProcessID]*attempt{}}
}

// Run compares documents and reports until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	defer c.running.Wait()
	ticker := time.NewTicker(compareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.compare(ctx)
		}
	}
}

func (c *Controller) compare(ctx context.Context) {
	wanted := c.Desired()
	for agent := range c.engines {
		if _, ok := wanted[agent]; !ok && !c.engines[agent].isBusy() {
			delete(c.engines, agent)
		}
	}
	for agent, want := range wanted {
		a := c.engines[agent]
		if a == nil {
			a = &attempt{}
			c.engines[agent] = a
		}
		have, ok := c.Reported(agent)
		if !ok {
			continue
		}
		_, differs := Next(want, have)
		if a.due(differs, takeoverDelay*time.Duration(c.Preference(preferenceKey(want))), time.Now()) {
			c.running.Go(func() { a.done(c.converge(ctx, agent), time.Now()) })
		}
	}
}

// preferenceKey is the same for the engines of a model, so that normally one
// entry VM orders for all of them.
func preferenceKey(e dynamic.Engine) string { return "orders\x00" + e.Model }

func (a *attempt) isBusy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.busy
}

// due notes whether there is a mismatch and reports whether to act on it now.
func (a *attempt) due(differs bool, delay time.Duration, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.busy {
		return false
	}
	if !differs {
		a.since, a.next, a.pause = time.Time{}, time.Time{}, 0
		return false
	}
	if a.since.IsZero() {
		a.since = now
	}
	a.busy = now.Sub(a.since) >= delay && !now.Before(a.next)
	return a.busy
}

// done ends an attempt; failures in a row make the pause longer.
func (a *attempt) done(matches bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy = false
	if matches {
		a.pause = 0
	}
	a.pause = min(max(2*a.pause, minPause), maxPause)
	a.next = now.Add(a.pause)
}

// converge claims the lease and sends orders until the engine matches the
// documents. It reports whether it does.
func (c *Controller) converge(ctx context.Context, agent fleet.ProcessID) bool {
	var fence uint64
	for ctx.Err() == nil {
		lease, err := c.claim(ctx, agent, fence)
		if err != nil || !lease.Granted {
			return false
		}
		fence = lease.Fence
		order, differs := Next(c.Desired()[agent], lease.Engine)
		if !differs {
			c.release(ctx, agent, fence)
			return true
		}
		if !c.order(ctx, agent, fence, order) {
			c.release(ctx, agent, fence)
			return false
		}
	}
	return false
}

func (c *Controller) claim(ctx context.Context, agent fleet.ProcessID, fence uint64) (*wire.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m, err := c.Call(ctx, agent, &wire.LeaseClaim{Controller: c.Process, Start: c.Start, Fence: fence})
	lease, ok := m.(*wire.Lease)
	if err != nil || !ok {
		return &wire.Lease{}, err
	}
	return lease, nil
}

// release lets other entry VMs claim at once; without it they wait until the
// lease expires.
func (c *Controller) release(ctx context.Context, agent fleet.ProcessID, fence uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = c.Call(ctx, agent, &wire.LeaseClaim{Controller: c.Process, Start: c.Start, Fence: fence, Release: true})
}

func (c *Controller) order(ctx context.Context, agent fleet.ProcessID, fence uint64, o Order) bool {
	m, err := c.Call(ctx, agent, &wire.OrderRequest{Controller: c.Process, Start: c.Start, Fence: fence, Kind: o.Kind, Name: o.Name})
	result, ok := m.(*wire.OrderResult)
	return err == nil && ok && result.Done
}
