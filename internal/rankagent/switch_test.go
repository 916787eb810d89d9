package rankagent

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

// pass is the time of a pass of the fake group.
const pass = 3 * time.Millisecond

func startGroup(t *testing.T, g *fakeGroup) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { g.run(ctx, pass); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

// Guards against passes in which two ranks have different maps, and against a
// group that stays held, when orders get no answer and half of these are carried
// out late. The fake group sees mixed maps when the hold is left out:
// TestFakeGroupSeesMixedMaps.
func TestSwitchWithLostAndLateOrders(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := newFakeGroup(8, seed, 0.3)
			startGroup(t, g)
			for version := int64(1); version <= 6; version++ {
				g.prepare(version)
				_, err := Switch(context.Background(), g.engines(), g.reporters(), SwitchRequest{Epoch: 1, Version: version, HeldRank: int(version) % 8, PassesAhead: NextPass})
				if err != nil {
					_, err := Resolve(context.Background(), g.engines(), nil)
					is.NoErr(err)
				}
				time.Sleep(10 * pass)
				mixed, _, _ := g.state()
				is.Equal(mixed, int64(0)) // pass with different maps
			}
			// A late hold may have come after the last switch.
			_, err := Resolve(context.Background(), g.engines(), nil)
			is.NoErr(err)
		})
	}
}

// Guards against a fake group that cannot fail: arms without a hold that reach
// the ranks in different passes leave mixed maps.
func TestFakeGroupSeesMixedMaps(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup(3, 1, 0)
	g.prepare(1)
	engines := g.engines()
	for rank, e := range engines {
		if rank == 2 {
			g.tick()
			g.tick()
		}
		_, err := e.Order(context.Background(), Order{Operation: Arm, Epoch: 1, Version: 1, Step: 2})
		is.NoErr(err)
	}
	g.tick()
	mixed, _, _ := g.state()
	is.True(mixed != 0)
}

// stopAfter is an engine of a lead that ends after a number of orders.
type stopAfter struct {
	Engine
	left *atomic.Int64
	stop context.CancelFunc
}

func (s stopAfter) Order(ctx context.Context, o Order) (Outcome, error) {
	if s.left.Add(-1) < 0 {
		s.stop()
		return Unanswered, errNoAnswer
	}
	return s.Engine.Order(ctx, o)
}

// Guards against a group that stays held, or gets mixed maps, when the lead of a
// switch ends after any of its orders.
func TestLeadEndsAfterEachOrder(t *testing.T) {
	const ranks = 5
	for orders := range int64(ranks + 3) {
		t.Run(fmt.Sprintf("orders=%d", orders), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := newFakeGroup(ranks, 1, 0)
			startGroup(t, g)
			g.prepare(1)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var left atomic.Int64
			left.Store(orders)
			engines := g.engines()
			for i, e := range engines {
				engines[i] = stopAfter{Engine: e, left: &left, stop: cancel}
			}
			_, err := Switch(ctx, engines, g.reporters(), SwitchRequest{Epoch: 1, Version: 1, HeldRank: 2, PassesAhead: NextPass})
			is.True((err == nil) == (orders >= ranks+2)) // hold, arms, go
			found, err := Resolve(context.Background(), g.engines(), nil)
			is.NoErr(err)
			time.Sleep(10 * pass)
			mixed, held, current := g.state()
			is.Equal(mixed, int64(0))
			is.True(!held)
			if found == "held and armed" {
				is.Equal(current, int64(1))
			}
			before := g.passes()
			time.Sleep(10 * pass)
			is.True(g.passes() > before) // the group goes on
		})
	}
}

// Guards against a group that stays held longer than it has to: agents tell the
// state of their ranks at once, and only without one of them are the late reports
// of the engines waited for.
func TestResolveAsksTheAgentsFirst(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent=%v", silent), func(t *testing.T) {
			is := is.New(t)
			g := newFakeGroup(3, 1, 0)
			startGroup(t, g)
			g.prepare(1)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var left atomic.Int64
			left.Store(3)
			engines := g.engines()
			for i, e := range engines {
				engines[i] = stopAfter{Engine: e, left: &left, stop: cancel}
			}
			_, err := Switch(ctx, engines, g.reporters(), SwitchRequest{Epoch: 1, Version: 1, HeldRank: 0, PassesAhead: NextPass})
			is.True(err != nil)
			agents := g.reporters()
			if silent {
				agents = agents[:2]
			}
			began := time.Now()
			found, err := Resolve(context.Background(), g.engines(), agents)
			is.NoErr(err)
			is.Equal(found, "held and armed")
			is.Equal(time.Since(began) < reportLag, !silent)
			time.Sleep(10 * pass)
			mixed, held, _ := g.state()
			is.Equal(mixed, int64(0))
			is.True(!held)
		})
	}
}

// Guards against an agent that tells a new controller nothing about a switch that
// another one left open, which would then be waited for again.
func TestAgentTellsHowLongItsRankIsHeld(t *testing.T) {
	is := is.New(t)
	a := New(Config{})
	is.Equal(a.openFor(&peers.Report{Step: 3}), time.Duration(0))
	a.openFor(&peers.Report{Step: 3, HoldPass: 4})
	time.Sleep(20 * time.Millisecond)
	is.True(a.openFor(&peers.Report{Step: 3, HoldPass: 4, Armed: 2}) >= 20*time.Millisecond)
	is.Equal(a.openFor(&peers.Report{Step: 4}), time.Duration(0))
}

// Guards against a switch that leaves no time for orders that get lost.
func TestSwitchTakesPlaceAhead(t *testing.T) {
	for _, ahead := range []int64{NextPass, LaterPass} {
		t.Run(fmt.Sprintf("ahead=%d", ahead), func(t *testing.T) {
			is := is.New(t)
			g := newFakeGroup(3, 1, 0)
			startGroup(t, g)
			g.prepare(1)
			before := g.passes()
			step, err := Switch(context.Background(), g.engines(), g.reporters(), SwitchRequest{Epoch: 1, Version: 1, PassesAhead: ahead})
			is.NoErr(err)
			is.True(step >= before+ahead)
			time.Sleep(10 * pass)
			mixed, held, current := g.state()
			is.Equal(mixed, int64(0))
			is.True(!held)
			is.Equal(current, int64(1))
		})
	}
}

// Guards against a hold while a rank does not answer: the group was held for 4 s
// when a side machine froze between the copies and the switch.
func TestNoHoldWhileARankIsSilent(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup(4, 1, 0)
	startGroup(t, g)
	g.prepare(1)
	g.ranks[3].silent = true
	_, err := Switch(context.Background(), g.engines(), g.reporters(), SwitchRequest{Epoch: 1, Version: 1, HeldRank: 0, PassesAhead: NextPass})
	is.True(err != nil)
	for _, r := range g.ranks {
		is.Equal(r.orders, 0)
	}
}

// Guards against a lead that goes on after its lease: the controller may have
// ended the switch and begun another by then.
func TestLeadStopsAtTheEndOfItsLease(t *testing.T) {
	is := is.New(t)
	ctx, cancel := withLease(context.Background(), 30*time.Millisecond)
	defer cancel()
	is.NoErr(ctx.Err())
	// The clocks are read directly, so that a process that was stopped finds out
	// before its timers run.
	for end := time.Now().Add(30 * time.Millisecond); time.Now().Before(end); {
		continue
	}
	is.True(ctx.Err() != nil)
	g := newFakeGroup(2, 1, 0)
	err := settle(ctx, g.ranks[0], Order{Operation: Hold, Epoch: 1, Step: 9}, never)
	is.True(err != nil)
	is.Equal(g.ranks[0].orders, 0)
}

// Guards against a failed plan after each switch: a rank refuses to prepare until
// the pass of the switch before has begun.
func TestPrepareWaitsWhileArmed(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup(1, 1, 0)
	g.prepare(1)
	_, err := g.ranks[0].Order(context.Background(), Order{Operation: Arm, Epoch: 1, Version: 1, Step: 8})
	is.NoErr(err)
	startGroup(t, g)
	is.NoErr(PrepareMap(context.Background(), g.ranks[0], Order{Operation: Prepare, Epoch: 1, Version: 2}))
}

// Guards against a wait of seconds for a rank that began a new epoch.
func TestNewEpochEndsAChange(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup(3, 1, 0)
	g.prepare(1)
	g.epoch = 2
	began := time.Now()
	_, err := Switch(context.Background(), g.engines(), g.reporters(), SwitchRequest{Epoch: 1, Version: 1, HeldRank: 0, PassesAhead: NextPass})
	is.True(err != nil)
	is.True(PrepareMap(context.Background(), g.ranks[0], Order{Operation: Prepare, Epoch: 1, Version: 5}) != nil)
	is.True(time.Since(began) < time.Second)
}

// lagged is an engine whose reports are as of some passes ago, as engines report
// to other machines.
type lagged struct {
	*fakeRank
	mu   *sync.Mutex
	past *[]peers.Report
}

func (l lagged) Report(ctx context.Context) (peers.Report, error) {
	r, err := l.fakeRank.Report(ctx)
	if err != nil {
		return r, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	*l.past = append(*l.past, r)
	return (*l.past)[max(len(*l.past)-4, 0)], nil
}

// Guards against a group that stays held because an old report shows no hold yet:
// an unanswered go then counted as carried out (held for 2.8 s on a grown day).
func TestGoIsSentUntilItIsAnswered(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := newFakeGroup(4, seed, 0.4)
			startGroup(t, g)
			g.prepare(1)
			engines := g.engines()
			for i, r := range g.ranks {
				engines[i] = lagged{r, &sync.Mutex{}, &[]peers.Report{}}
			}
			_, err := Switch(context.Background(), engines, g.reporters(), SwitchRequest{Epoch: 1, Version: 1, HeldRank: 1, PassesAhead: NextPass})
			g.mu.Lock()
			held := g.ranks[1].held
			g.mu.Unlock()
			is.True(err != nil || held == 0) // the controller ends a switch with an error
		})
	}
}
