package orders

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Engine is an engine's side of orders.
type Engine interface {
	// Send sends one order and returns the engine's answer. It calls begin right
	// before the first byte is written and writes nothing if begin fails.
	Send(ctx context.Context, o Order, begin func() error) (Status, error)
	// Status returns the order that arrived last.
	Status(ctx context.Context) (Status, error)
	// State returns what the engine holds.
	State(ctx context.Context) (wire.EngineState, error)
}

// ArbiterConfig holds the parameters of an Arbiter.
type ArbiterConfig struct {
	Engine Engine
	// Desired reports whether the documents in force ask for an order.
	Desired func(Order) bool
	// ChecksFencing tells that the engine refuses old numbers by itself.
	ChecksFencing bool
	// Lease is how long a lease lasts, and Timeout bounds the wait for the
	// engine's answer to an order.
	Lease    time.Duration
	Timeout  time.Duration
	Recorder *events.Recorder
	// Now returns a time with a monotonic reading; nil means time.Now.
	Now func() time.Time
}

type holder struct {
	controller fleet.ProcessID
	start      fleet.StartID
}

type lease struct {
	holder
	fence   uint64
	expires time.Time
}

// Arbiter decides whose orders an engine gets. It is safe for concurrent use.
type Arbiter struct {
	ArbiterConfig
	started time.Time

	// acting serializes claims and the steps before an order is sent, because
	// they ask the engine.
	acting sync.Mutex

	mu      sync.Mutex
	highest uint64
	lease   *lease
	// outstanding is the order that the engine has not answered yet.
	outstanding bool
	// unsettled is an order whose connection closed without an answer.
	unsettled *unsettled
}

type unsettled struct {
	order  Order
	closed time.Time
}

var errLeaseLost = errors.New("the lease expired before the order was sent")

// NewArbiter returns the arbiter of a new start of the agent. Its first number
// comes from the wall clock in milliseconds, so that it is above the numbers of
// a former start whose orders have not reached the engine yet; numbers that the
// engine has seen are respected whatever the clock says.
func NewArbiter(c ArbiterConfig) *Arbiter {
	if c.Now == nil {
		c.Now = time.Now
	}
	now := c.Now()
	return &Arbiter{ArbiterConfig: c, started: now, highest: uint64(max(now.UnixMilli(), 0))}
}

// Claim grants, renews or releases the lease.
func (a *Arbiter) Claim(ctx context.Context, m *wire.LeaseClaim) *wire.Lease {
	a.acting.Lock()
	defer a.acting.Unlock()
	if m.Release {
		a.release(m)
		return &wire.Lease{}
	}
	if refused := a.refuseClaim(m); refused != nil {
		return refused
	}
	status, err := a.Engine.Status(ctx)
	if err != nil {
		return &wire.Lease{Reason: ReasonUnreachable}
	}
	state, err := a.Engine.State(ctx)
	if err != nil {
		return &wire.Lease{Reason: ReasonUnreachable}
	}
	l := a.grant(m, status)
	return &wire.Lease{Granted: true, Fence: l.fence, Remaining: a.Lease.Milliseconds(), Engine: state}
}

// refuseClaim returns the refusal of a claim that comes too early.
func (a *Arbiter) refuseClaim(m *wire.LeaseClaim) *wire.Lease {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire()
	// A lease that the agent's former start granted may still be in force.
	if wait := a.Lease - a.Now().Sub(a.started); wait > 0 {
		return &wire.Lease{Reason: ReasonWaiting, Remaining: wait.Milliseconds()}
	}
	if a.outstanding {
		return &wire.Lease{Reason: ReasonOutstanding}
	}
	if a.lease != nil && a.lease.holder != (holder{m.Controller, m.Start}) {
		return &wire.Lease{Reason: ReasonHeld, Remaining: a.lease.expires.Sub(a.Now()).Milliseconds()}
	}
	return nil
}

func (a *Arbiter) grant(m *wire.LeaseClaim, seen Status) *lease {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire()
	a.highest = max(a.highest, seen.HighestFence, seen.Fence)
	if a.lease != nil && a.lease.fence == m.Fence {
		a.lease.expires = a.Now().Add(a.Lease)
		return a.lease
	}
	a.highest++
	a.lease = &lease{holder: holder{m.Controller, m.Start}, fence: a.highest, expires: a.Now().Add(a.Lease)}
	a.Recorder.Record("lease.granted", "", events.F("controller", m.Controller), events.F("fence", a.lease.fence))
	return a.lease
}

func (a *Arbiter) release(m *wire.LeaseClaim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire()
	if a.lease != nil && a.lease.holder == (holder{m.Controller, m.Start}) && a.lease.fence == m.Fence {
		a.endLease("released")
	}
}

// expire ends a lease whose time is over. The caller holds a.mu.
func (a *Arbiter) expire() {
	if a.lease != nil && !a.Now().Before(a.lease.expires) {
		a.endLease("time")
	}
}

func (a *Arbiter) endLease(cause string) {
	a.Recorder.Record("lease.expired", "", events.F("controller", a.lease.controller), events.F("fence", a.lease.fence), events.F("cause", cause))
	a.lease = nil
}

// Send sends an order to the engine and returns when its effect is settled or
// unknown. It does not stop when ctx is done after the order was sent.
func (a *Arbiter) Send(ctx context.Context, m *wire.OrderRequest) *wire.OrderResult {
	o, reason := a.prepare(ctx, m)
	if reason != "" {
		return a.refused(m, o, reason)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Timeout)
	defer cancel()
	began := false
	status, err := a.Engine.Send(ctx, o, func() error {
		if !a.holds(m) {
			return errLeaseLost
		}
		began = true
		a.Recorder.Record("order.sent", "", a.fields(m, o)...)
		return nil
	})
	a.settle(o, began, err)
	switch {
	case err != nil && !began:
		return a.refused(m, o, notSentReason(err))
	case err != nil:
		return a.refused(m, o, ReasonUnanswered)
	case status.State != StateDone:
		return a.refused(m, o, ReasonEngine)
	}
	a.Recorder.Record("order.done", "", a.fields(m, o)...)
	return &wire.OrderResult{Done: true, Fence: o.Fence}
}

func notSentReason(err error) string {
	if errors.Is(err, errLeaseLost) {
		return ReasonNoLease
	}
	return ReasonUnreachable
}

// prepare takes the place of the one outstanding order and its number, or
// returns the reason against it.
func (a *Arbiter) prepare(ctx context.Context, m *wire.OrderRequest) (Order, string) {
	a.acting.Lock()
	defer a.acting.Unlock()
	o := Order{Kind: m.Kind, Name: m.Name}
	if reason := a.refuseOrder(m); reason != "" {
		return o, reason
	}
	if reason := a.formerSettled(ctx); reason != "" {
		return o, reason
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.highest++
	o.Fence = a.highest
	a.outstanding = true
	return o, ""
}

func (a *Arbiter) refuseOrder(m *wire.OrderRequest) string {
	if !a.holds(m) {
		return ReasonNoLease
	}
	if !a.Desired(Order{Kind: m.Kind, Name: m.Name}) {
		return ReasonNotWanted
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outstanding {
		return ReasonOutstanding
	}
	return ""
}

// holds reports whether the sender of an order has the lease now.
func (a *Arbiter) holds(m *wire.OrderRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire()
	return a.lease != nil && a.lease.holder == (holder{m.Controller, m.Start}) && a.lease.fence == m.Fence
}

// formerSettled returns a reason if an engine that ignores numbers may still
// carry out an order that was sent before, by this start of the agent or by a
// former one.
func (a *Arbiter) formerSettled(ctx context.Context) string {
	if a.ChecksFencing {
		return ""
	}
	status, err := a.Engine.Status(ctx)
	if err != nil {
		return ReasonUnreachable
	}
	if status.State == StatePending {
		return ReasonUnsettled
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	// The status shows the last order that arrived. An order that it does not
	// show can still be on its way; the wait is the same as after a restart.
	if u := a.unsettled; u != nil && u.order != status.Order && a.Now().Sub(u.closed) < a.Lease {
		return ReasonUnsettled
	}
	a.unsettled = nil
	return ""
}

// settle ends the outstanding order.
func (a *Arbiter) settle(o Order, began bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outstanding = false
	if began && err != nil {
		a.unsettled = &unsettled{order: o, closed: a.Now()}
	}
}

func (a *Arbiter) refused(m *wire.OrderRequest, o Order, reason string) *wire.OrderResult {
	a.Recorder.Record("order.refused", "", append(a.fields(m, o), events.F("reason", reason))...)
	return &wire.OrderResult{Fence: o.Fence, Reason: reason}
}

func (a *Arbiter) fields(m *wire.OrderRequest, o Order) []events.Field {
	return []events.Field{
		events.F("controller", m.Controller), events.F("lease", m.Fence), events.F("fence", o.Fence),
		events.F("kind", o.Kind), events.F("name", o.Name),
	}
}

// ExpireLease records the end of a lease that nobody asks about.
func (a *Arbiter) ExpireLease() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire()
}
