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
	// compareInterval is the interval between comparisons of documents and reports.
	compareInterval = 250 * time.Millisecond
	// takeoverDelay is the time per position in the order of preference for which an
	// entry VM waits before it claims a lease, so that the preferred one can act first.
	// It equals the time after which an entry VM without messages is suspected to have
	// failed.
	takeoverDelay = 3 * time.Second
	// minBackoff and maxBackoff bound the pause after an attempt; failures double it.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 10 * time.Second
	// callTimeout is the timeout of a claim. An order has no timeout: it ends when the
	// engine has answered or the link is lost.
	callTimeout = 3 * time.Second
)

// ControllerConfig holds the dependencies of a Controller.
type ControllerConfig struct {
	Process fleet.ProcessID
	Start   fleet.StartID
	// Desired returns the state of each engine that the documents in use specify.
	Desired func() map[fleet.ProcessID]dynamic.Engine
	// Reported returns the state from an agent's last report, or false if there is no
	// link to the agent or the report is outdated.
	Reported func(agent fleet.ProcessID) (wire.EngineState, bool)
	// Preference returns how many entry VMs precede this one in the order of preference
	// for a key.
	Preference func(key string) int
	// Call sends one message on a new request stream and returns the answer.
	Call func(ctx context.Context, agent fleet.ProcessID, m wire.Message) (wire.Message, error)
}

// Controller sends orders until engines match the documents. All entry VMs run a
// controller. Safety does not depend on it: only the arbiter decides, so a controller
// may act on outdated information.
type Controller struct {
	ControllerConfig
	engines map[fleet.ProcessID]*engineProgress
	running sync.WaitGroup
}

// engineProgress is the state of a controller's attempts at one engine.
type engineProgress struct {
	mu sync.Mutex
	// mismatchSince is when the mismatch was first detected; zero is no mismatch.
	mismatchSince time.Time
	// nextAttempt is the earliest time of the next attempt, and backoff the pause
	// before it.
	nextAttempt time.Time
	backoff     time.Duration
	// busy is true while an attempt is running.
	busy bool
}

// NewController returns a controller; Run starts it.
func NewController(c ControllerConfig) *Controller {
	return &Controller{ControllerConfig: c, engines: map[fleet.ProcessID]*engineProgress{}}
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

// compare starts an attempt for each engine that differs from the documents.
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
			a = &engineProgress{}
			c.engines[agent] = a
		}
		have, ok := c.Reported(agent)
		if !ok {
			continue
		}
		_, differs := Next(want, have)
		if a.tryBegin(differs, takeoverDelay*time.Duration(c.Preference(preferenceKey(want))), time.Now()) {
			c.running.Go(func() { a.finish(c.converge(ctx, agent), time.Now()) })
		}
	}
}

// preferenceKey returns the same key for all engines of a model, so that one entry VM
// normally sends the orders for all of them.
func preferenceKey(e dynamic.Engine) string { return "orders\x00" + e.Model }

func (a *engineProgress) isBusy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.busy
}

// tryBegin records whether there is a mismatch. It returns true and marks the engine as
// busy if an attempt should start now.
func (a *engineProgress) tryBegin(differs bool, delay time.Duration, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.busy {
		return false
	}
	if !differs {
		a.mismatchSince, a.nextAttempt, a.backoff = time.Time{}, time.Time{}, 0
		return false
	}
	if a.mismatchSince.IsZero() {
		a.mismatchSince = now
	}
	a.busy = now.Sub(a.mismatchSince) >= delay && !now.Before(a.nextAttempt)
	return a.busy
}

// finish ends an attempt. Consecutive failures double the pause before the next one.
func (a *engineProgress) finish(matches bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy = false
	if matches {
		a.backoff = 0
	}
	a.backoff = min(max(2*a.backoff, minBackoff), maxBackoff)
	a.nextAttempt = now.Add(a.backoff)
}

// converge claims the lease and sends orders until the engine matches the documents. It
// reports whether the engine matches.
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
		if !c.sendOrder(ctx, agent, fence, order) {
			c.release(ctx, agent, fence)
			return false
		}
	}
	return false
}

// claim claims or renews the lease for an engine. fence is the number of the lease to
// renew, or 0.
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

// release ends the lease so that other entry VMs can claim it immediately. If the
// message is lost, they wait until the lease expires.
func (c *Controller) release(ctx context.Context, agent fleet.ProcessID, fence uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = c.Call(ctx, agent, &wire.LeaseClaim{Controller: c.Process, Start: c.Start, Fence: fence, Release: true})
}

// sendOrder sends an order to an agent and reports whether the engine has completed it.
func (c *Controller) sendOrder(ctx context.Context, agent fleet.ProcessID, fence uint64, o Order) bool {
	m, err := c.Call(ctx, agent, &wire.OrderRequest{Controller: c.Process, Start: c.Start, Fence: fence, Kind: o.Kind, Name: o.Name})
	result, ok := m.(*wire.OrderResult)
	return err == nil && ok && result.Done
}
