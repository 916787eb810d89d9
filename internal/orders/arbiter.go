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

// Engine is the interface of a model engine for orders.
type Engine interface {
	// Send sends one order and returns the engine's answer. It calls begin immediately
	// before the first byte is written, and writes nothing if begin fails.
	Send(ctx context.Context, o Order, begin func() error) (Status, error)
	// Status returns the order that arrived last.
	Status(ctx context.Context) (Status, error)
	// State returns what the engine has loaded.
	State(ctx context.Context) (wire.EngineState, error)
}

// ArbiterConfig holds the dependencies and parameters of an Arbiter.
type ArbiterConfig struct {
	Engine Engine
	// Desired reports whether the documents in use specify what an order would load or
	// set.
	Desired func(Order) bool
	// ChecksFencing is true if the engine itself refuses orders with outdated numbers.
	ChecksFencing bool
	// Lease is the duration of a lease, and Timeout the maximum wait for the engine's
	// answer to an order.
	Lease    time.Duration
	Timeout  time.Duration
	Recorder *events.Recorder
	// Now returns a time with a monotonic clock reading; nil means time.Now.
	Now func() time.Time
}

// leaseHolder identifies a start of a controller.
type leaseHolder struct {
	controller fleet.ProcessID
	start      fleet.StartID
}

// lease is the right of one controller to send orders. fence is its number.
type lease struct {
	leaseHolder
	fence   uint64
	expires time.Time
}

// Arbiter decides which controller may send orders to an engine. It is safe for
// concurrent use.
type Arbiter struct {
	ArbiterConfig
	startedAt time.Time

	// engineMu serializes claims and the steps before an order is sent, because they
	// query the engine.
	engineMu sync.Mutex

	mu sync.Mutex
	// highestFence is the highest number that was assigned or seen.
	highestFence uint64
	lease        *lease
	// outstanding is true while the engine has not answered an order.
	outstanding bool
	// unsettled is the last order whose connection closed without an answer.
	unsettled *unsettled
}

// unsettled is an order that may still take effect. closedAt is when its connection
// closed.
type unsettled struct {
	order    Order
	closedAt time.Time
}

var errLeaseLost = errors.New("the lease expired before the order was sent")

// NewArbiter returns the arbiter of a new start of the agent. Its first number is the
// wall clock time in Unix milliseconds, so that it exceeds the numbers of a previous
// start whose orders have not reached the engine yet. Numbers that the engine has seen
// are taken into account regardless of the clock.
func NewArbiter(c ArbiterConfig) *Arbiter {
	if c.Now == nil {
		c.Now = time.Now
	}
	now := c.Now()
	return &Arbiter{ArbiterConfig: c, startedAt: now, highestFence: uint64(max(now.UnixMilli(), 0))}
}

// Claim grants, renews or releases the lease.
func (a *Arbiter) Claim(ctx context.Context, m *wire.LeaseClaim) *wire.Lease {
	a.engineMu.Lock()
	defer a.engineMu.Unlock()
	if m.Release {
		a.release(m)
		return &wire.Lease{}
	}
	if refusal := a.checkClaim(m); refusal != nil {
		return refusal
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

// checkClaim returns the refusal of a claim, or nil if the lease can be granted.
func (a *Arbiter) checkClaim(m *wire.LeaseClaim) *wire.Lease {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpiredLease()
	// A lease granted by the agent's previous start may still be valid.
	if wait := a.Lease - a.Now().Sub(a.startedAt); wait > 0 {
		return &wire.Lease{Reason: ReasonWaiting, Remaining: wait.Milliseconds()}
	}
	if a.outstanding {
		return &wire.Lease{Reason: ReasonOutstanding}
	}
	if a.lease != nil && a.lease.leaseHolder != (leaseHolder{m.Controller, m.Start}) {
		return &wire.Lease{Reason: ReasonHeld, Remaining: a.lease.expires.Sub(a.Now()).Milliseconds()}
	}
	return nil
}

// grant renews the lease that m names, or grants a new one with a number above all that
// the engine has seen.
func (a *Arbiter) grant(m *wire.LeaseClaim, seen Status) *lease {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpiredLease()
	a.highestFence = max(a.highestFence, seen.HighestFence, seen.Fence)
	if a.lease != nil && a.lease.fence == m.Fence {
		a.lease.expires = a.Now().Add(a.Lease)
		return a.lease
	}
	a.highestFence++
	a.lease = &lease{leaseHolder: leaseHolder{m.Controller, m.Start}, fence: a.highestFence, expires: a.Now().Add(a.Lease)}
	a.Recorder.Record("lease.granted", "", events.F("controller", m.Controller), events.F("fence", a.lease.fence))
	return a.lease
}

// release ends the lease if the sender of m holds it.
func (a *Arbiter) release(m *wire.LeaseClaim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpiredLease()
	if a.lease != nil && a.lease.leaseHolder == (leaseHolder{m.Controller, m.Start}) && a.lease.fence == m.Fence {
		a.endLease("released")
	}
}

// dropExpiredLease ends the lease if it has expired. The caller holds a.mu.
func (a *Arbiter) dropExpiredLease() {
	if a.lease != nil && !a.Now().Before(a.lease.expires) {
		a.endLease("time")
	}
}

// endLease ends the lease and records the cause. The caller holds a.mu.
func (a *Arbiter) endLease(cause string) {
	a.Recorder.Record("lease.expired", "", events.F("controller", a.lease.controller), events.F("fence", a.lease.fence), events.F("cause", cause))
	a.lease = nil
}

// Send sends an order to the engine and returns when its effect is known or can no
// longer be determined. Once the order is sent, the end of ctx does not stop it.
func (a *Arbiter) Send(ctx context.Context, m *wire.OrderRequest) *wire.OrderResult {
	o, reason := a.beginOrder(ctx, m)
	if reason != "" {
		return a.recordRefusal(m, o, reason)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Timeout)
	defer cancel()
	began := false
	status, err := a.Engine.Send(ctx, o, func() error {
		if !a.holdsLease(m) {
			return errLeaseLost
		}
		began = true
		a.Recorder.Record("order.sent", "", a.eventFields(m, o)...)
		return nil
	})
	a.finishOrder(o, began, err)
	switch {
	case err != nil && !began:
		return a.recordRefusal(m, o, notSentReason(err))
	case err != nil:
		return a.recordRefusal(m, o, ReasonUnanswered)
	case status.State != StateDone:
		return a.recordRefusal(m, o, ReasonEngine)
	}
	a.Recorder.Record("order.done", "", a.eventFields(m, o)...)
	return &wire.OrderResult{Done: true, Fence: o.Fence}
}

// notSentReason returns the reason for an order of which nothing was sent.
func notSentReason(err error) string {
	if errors.Is(err, errLeaseLost) {
		return ReasonNoLease
	}
	return ReasonUnreachable
}

// beginOrder assigns the next number to an order and marks it as the outstanding one,
// or returns the reason for refusing it.
func (a *Arbiter) beginOrder(ctx context.Context, m *wire.OrderRequest) (Order, string) {
	a.engineMu.Lock()
	defer a.engineMu.Unlock()
	o := Order{Kind: m.Kind, Name: m.Name}
	if reason := a.checkOrder(m); reason != "" {
		return o, reason
	}
	if reason := a.checkPreviousOrder(ctx); reason != "" {
		return o, reason
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.highestFence++
	o.Fence = a.highestFence
	a.outstanding = true
	return o, ""
}

// checkOrder returns the reason for refusing an order, or an empty string.
func (a *Arbiter) checkOrder(m *wire.OrderRequest) string {
	if !a.holdsLease(m) {
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

// holdsLease reports whether the sender of an order currently holds the lease.
func (a *Arbiter) holdsLease(m *wire.OrderRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpiredLease()
	return a.lease != nil && a.lease.leaseHolder == (leaseHolder{m.Controller, m.Start}) && a.lease.fence == m.Fence
}

// checkPreviousOrder returns a reason for refusing a new order if an engine that
// ignores numbers may still execute a previous one, sent by this start of the agent or
// an earlier one.
func (a *Arbiter) checkPreviousOrder(ctx context.Context) string {
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
	// The status shows only the last order that arrived; another order may still be
	// in transit. The wait is the same as after a restart.
	if u := a.unsettled; u != nil && u.order != status.Order && a.Now().Sub(u.closedAt) < a.Lease {
		return ReasonUnsettled
	}
	a.unsettled = nil
	return ""
}

// finishOrder ends the outstanding order. An order that was sent and failed is recorded
// as unsettled.
func (a *Arbiter) finishOrder(o Order, began bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outstanding = false
	if began && err != nil {
		a.unsettled = &unsettled{order: o, closedAt: a.Now()}
	}
}

// recordRefusal records the refusal of an order and returns the result for its sender.
func (a *Arbiter) recordRefusal(m *wire.OrderRequest, o Order, reason string) *wire.OrderResult {
	a.Recorder.Record("order.refused", "", append(a.eventFields(m, o), events.F("reason", reason))...)
	return &wire.OrderResult{Fence: o.Fence, Reason: reason}
}

func (a *Arbiter) eventFields(m *wire.OrderRequest, o Order) []events.Field {
	return []events.Field{
		events.F("controller", m.Controller), events.F("lease", m.Fence), events.F("fence", o.Fence),
		events.F("kind", o.Kind), events.F("name", o.Name),
	}
}

// ExpireLease ends the lease if it has expired. It is called periodically so that the
// end is recorded even if no message arrives.
func (a *Arbiter) ExpireLease() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpiredLease()
}
