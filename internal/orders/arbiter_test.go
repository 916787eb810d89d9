package orders

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const testLease = 10 * time.Second

var errCut = errors.New("connection lost")

// fakeEngine carries out an order at once, or later when late is set.
type fakeEngine struct {
	checks  bool
	late    bool
	last    Status
	pending *Order
	highest uint64
	effects []uint64
}

func (e *fakeEngine) Send(_ context.Context, o Order, begin func() error) (Status, error) {
	if err := begin(); err != nil {
		return Status{}, err
	}
	e.last = Status{Order: o, State: StatePending}
	if e.late {
		e.late, e.pending = false, &o
		return Status{}, errCut
	}
	e.apply(o)
	return e.last, nil
}

func (e *fakeEngine) apply(o Order) {
	state := StateDone
	if e.checks && o.Fence < e.highest {
		state = StateRefused
	} else {
		e.highest = max(e.highest, o.Fence)
		e.effects = append(e.effects, o.Fence)
	}
	if e.last.Order == o {
		e.last.State = state
	}
}

func (e *fakeEngine) arrive() {
	if e.pending != nil {
		e.apply(*e.pending)
		e.pending = nil
	}
}

func (e *fakeEngine) Status(context.Context) (Status, error) {
	s := e.last
	s.HighestFence = e.highest
	return s, nil
}

func (e *fakeEngine) State(context.Context) (wire.EngineState, error) {
	return wire.EngineState{}, nil
}

type arbiterRun struct {
	engine *fakeEngine
	now    time.Time
	*Arbiter
	fences map[fleet.ProcessID]uint64
	// leases holds the lease under which each order was sent.
	leases map[uint64]uint64
}

func (r *arbiterRun) restart() {
	r.Arbiter = NewArbiter(ArbiterConfig{
		Engine: r.engine, ChecksFencing: r.engine.checks, Lease: testLease, Timeout: time.Minute,
		Desired: func(Order) bool { return true }, Recorder: events.NewRecorder("agent", 1, io.Discard),
		Now: func() time.Time { return r.now },
	})
}

func newArbiterRun(checks bool) *arbiterRun {
	r := &arbiterRun{engine: &fakeEngine{checks: checks}, now: time.Now(), fences: map[fleet.ProcessID]uint64{}, leases: map[uint64]uint64{}}
	r.restart()
	return r
}

func (r *arbiterRun) claim(controller fleet.ProcessID) *wire.Lease {
	l := r.Claim(context.Background(), &wire.LeaseClaim{Controller: controller, Fence: r.fences[controller]})
	if l.Granted {
		r.fences[controller] = l.Fence
	}
	return l
}

func (r *arbiterRun) send(controller fleet.ProcessID) *wire.OrderResult {
	lease := r.fences[controller]
	result := r.Send(context.Background(), &wire.OrderRequest{Controller: controller, Fence: lease, Kind: KindLoadVersion, Name: "v"})
	r.leases[result.Fence] = lease
	return result
}

// Guards against an order that takes effect after one of a newer lease, over
// random schedules of claims, late orders, restarts of the agent and expiry.
func TestNoOlderOrderAfterNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newArbiterRun(rapid.Bool().Draw(t, "checks"))
		controllers := rapid.SampledFrom([]fleet.ProcessID{"a", "b"})
		for range 30 {
			switch rapid.SampledFrom([]string{"claim", "send", "late", "arrive", "wait", "restart"}).Draw(t, "step") {
			case "claim":
				r.claim(controllers.Draw(t, "who"))
			case "late":
				r.engine.late = r.engine.pending == nil
			case "send":
				r.send(controllers.Draw(t, "who"))
			case "arrive":
				r.engine.arrive()
			case "wait":
				r.now = r.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "s")) * time.Second)
			case "restart":
				r.restart()
			}
		}
		r.engine.arrive()
		for i := 1; i < len(r.engine.effects); i++ {
			former, order := r.engine.effects[i-1], r.engine.effects[i]
			if order <= former || r.leases[order] < r.leases[former] {
				t.Fatalf("effects %v", r.engine.effects)
			}
		}
	})
}

// Guards against a second holder of a lease, a lease right after a restart, and
// an order of a controller that lost its lease.
func TestLease(t *testing.T) {
	is := is.New(t)
	r := newArbiterRun(false)
	is.Equal(r.claim("a").Reason, ReasonWaiting)
	r.now = r.now.Add(testLease)
	is.True(r.claim("a").Granted)
	is.Equal(r.claim("b").Reason, ReasonHeld)
	is.True(r.send("a").Done)
	r.now = r.now.Add(testLease)
	is.Equal(r.send("a").Reason, ReasonNoLease)
	is.True(r.claim("b").Granted)
	is.Equal(r.send("a").Reason, ReasonNoLease)
	is.True(r.fences["b"] > r.fences["a"])
}

// Guards against an order to an engine without fencing while a former order has
// not arrived or not ended there.
func TestUnsettledOrder(t *testing.T) {
	is := is.New(t)
	r := newArbiterRun(false)
	r.now = r.now.Add(testLease)
	r.claim("a")
	r.engine.late = true
	is.Equal(r.send("a").Reason, ReasonUnanswered)
	is.Equal(r.send("a").Reason, ReasonUnsettled)
	r.engine.arrive()
	is.True(r.send("a").Done)
}

// Guards against a controller that repeats orders for what the engine holds, or
// orders a version before its model.
func TestNext(t *testing.T) {
	is := is.New(t)
	want := dynamic.Engine{Model: "m", Version: "v", Adapters: []string{"a"}, Role: "decode"}
	have := wire.EngineState{Adapters: []string{"other"}}
	for _, kind := range []string{KindLoadModel, KindLoadVersion, KindLoadAdapter, KindSetRole} {
		o, differs := Next(want, have)
		is.True(differs)
		is.Equal(o.Kind, kind)
		is.True(IsDesired(want, o))
		switch kind {
		case KindLoadModel:
			have.Model = o.Name
		case KindLoadVersion:
			have.Version = o.Name
		case KindLoadAdapter:
			have.Adapters = append(have.Adapters, o.Name)
		case KindSetRole:
			have.Role = o.Name
		}
	}
	_, differs := Next(want, have)
	is.True(!differs)
	is.True(!IsDesired(want, Order{Kind: KindLoadVersion, Name: "former"}))
}
