package rankagent

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// heldRank is the rank at which the switches of lateOrders hold the group.
const heldRank = 1

// lateOrders delays the first order of an operation at some ranks: it gets no response and is
// carried out when deliver is called.
type lateOrders struct {
	group     *fakeGroup
	operation Operation
	ranks     []int
	// killed is called after the last rank's order was delayed; nil if the coordinator lives.
	killed func()
	// busy is true if a forward pass begins after each order.
	busy bool

	mu      sync.Mutex
	delayed map[int]Order
	// deliverAt is the number of the order before which the delayed ones are carried out; it
	// counts from when the coordinator has ended, and is -1 before.
	deliverAt, orders int
	// refusing is the rank that gets another prepared version while the group is held, which
	// makes it refuse the arm order; -1 if none does.
	refusing int
	// clearPass is the last pass that the coordinator may have held.
	clearPass int64
}

// lateRank is the engine of a rank whose orders may be delayed.
type lateRank struct {
	*fakeRank
	late *lateOrders
}

func (r lateRank) Order(ctx context.Context, o Order) (Outcome, error) {
	if !r.late.pass(ctx, r.rank, o) {
		return Unanswered, errNoAnswer
	}
	defer r.late.orderEnded()
	return r.fakeRank.Order(ctx, o)
}

func (l *lateOrders) orderEnded() {
	if l.busy {
		l.group.tick()
	}
}

// pass reports whether an order reaches its rank now.
func (l *lateOrders) pass(ctx context.Context, rank int, o Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	if l.refusing >= 0 && o.Operation == Arm {
		r := l.group.ranks[l.refusing]
		_, _ = r.Order(context.Background(), Order{Operation: Prepare, Epoch: 1, Version: o.Version + 1, Map: r.preparedMap})
		l.refusing = -1
	}
	if l.deliverAt >= 0 {
		if l.orders == l.deliverAt {
			l.deliver()
		}
		l.orders++
	}
	_, again := l.delayed[rank]
	if o.Operation != l.operation || again || !slices.Contains(l.ranks, rank) {
		return true
	}
	l.delayed[rank] = o
	if l.killed != nil && len(l.delayed) == len(l.ranks) {
		l.killed()
	}
	return false
}

// deliver carries the delayed orders out and lets some forward passes begin after each.
func (l *lateOrders) deliver() {
	for _, rank := range l.ranks {
		if o, ok := l.delayed[rank]; ok {
			l.group.mu.Lock()
			l.group.ranks[rank].apply(o)
			l.group.mu.Unlock()
			for range LaterPass + 1 {
				l.group.tick()
			}
		}
	}
	l.ranks = nil
}

func (l *lateOrders) engines() []Engine {
	out := make([]Engine, len(l.group.ranks))
	for i, r := range l.group.ranks {
		out[i] = lateRank{r, l}
	}
	return out
}

// change prepares a version on all ranks and switches the group to it.
func (l *lateOrders) change(ctx context.Context, holder string) error {
	agents, engines := l.group.agents(), l.engines()
	states, err := ClaimAll(ctx, agents, holder)
	if err != nil {
		return err
	}
	version := states[0].Prepared + versionGap
	experts := make([][]int, len(engines))
	for rank := range experts {
		experts[rank] = []int{rank, int(version)}
	}
	for _, e := range engines {
		if err := PrepareMap(ctx, e, Order{Operation: Prepare, Epoch: 1, Version: version, Map: [][][]int{experts}}); err != nil {
			return err
		}
	}
	request := SwitchRequest{Holder: holder, Epoch: 1, Version: version, HeldRank: heldRank, PassesAhead: NextPass, ClearPass: l.clearPass}
	step, err := Switch(ctx, engines, agents, request)
	l.clearPass = max(l.clearPass, step)
	return err
}

func (g *fakeGroup) heldAnywhere() bool {
	_, held, _ := g.state()
	return held
}

func (g *fakeGroup) armedAnywhere() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.ranks, func(r *fakeRank) bool { return r.armed != 0 })
}

// settle resolves pending switches until no rank is held.
func (l *lateOrders) settle(is *is.I, holder string) {
	for until := time.Now().Add(10 * time.Second); ; {
		l.group.expire()
		_, err := Resolve(context.Background(), l.engines(), l.group.agents(), holder)
		if err == nil && !l.group.heldAnywhere() {
			return
		}
		is.True(time.Now().Before(until)) // the group is not held for good
	}
}

// play plays one schedule: a coordinator whose orders are late, alive or killed, its successor,
// which ends its switch and makes another one, and the late orders, which are carried out
// before one of the successor's orders or after all of them.
func (l *lateOrders) play(t *testing.T, kill bool, deliverAt int) {
	is := is.New(t)
	g, ctx := l.group, context.Background()
	first, cancel := context.WithCancel(ctx)
	defer cancel()
	l.deliverAt = -1
	l.settle(is, "a") // claims the group
	for range LaterPass {
		g.tick()
	}
	if kill {
		l.killed = cancel
	}
	err := l.change(first, "a")
	is.True(len(l.delayed) > 0) // an order is late
	successor := "a"
	if kill {
		successor, l.clearPass = "b", 0
	}
	l.killed, l.deliverAt = nil, deliverAt
	if err != nil {
		l.settle(is, successor)
	}
	g.expire()
	if !g.armedAnywhere() { // a controller plans nothing while a rank is armed
		_ = l.change(ctx, successor) // it may fail
	}
	l.settle(is, successor)
	l.deliver()
	l.settle(is, "c")
	before := g.passes()
	for range 2 * LaterPass {
		g.tick()
	}
	mixed, held, _ := g.state()
	is.Equal(mixed, int64(0)) // pass with different maps
	is.True(!held)
	is.Equal(g.passes(), before+2*LaterPass) // the group is running
}

// Guards against a forward pass with different maps, and against a group that stays held, when
// any order of a switch is carried out late, after newer ones, at one rank or all, also while
// the next switch is in progress, with the coordinator killed or alive, in an idle or busy
// group. A group that was released while an arm order was on its way let one rank switch alone.
func TestLateOrderOfAnyKindMixesNoMaps(t *testing.T) {
	const ranks = 4
	for _, operation := range []Operation{Prepare, Arm, Disarm, Hold, Release} {
		delayed := map[string][]int{"held": {heldRank}}
		if operation != Hold && operation != Release {
			delayed = map[string][]int{"first": {0}, "held": {heldRank}, "two": {0, heldRank}, "three": {0, 1, 2}, "all": {0, 1, 2, 3}}
		}
		for name, late := range delayed {
			for schedule := range 8 {
				kill, busy, aborted := schedule&1 != 0, schedule&2 != 0, schedule&4 != 0
				if operation == Disarm && !aborted {
					continue
				}
				t.Run(fmt.Sprintf("%s/ranks=%s/killed=%v/busy=%v/aborted=%v", operation, name, kill, busy, aborted), func(t *testing.T) {
					t.Parallel()
					for deliverAt := range 4*ranks + 1 {
						l := &lateOrders{group: newFakeGroup(ranks, 1, 0), operation: operation, ranks: late, busy: busy, delayed: map[int]Order{}, refusing: -1}
						if aborted {
							l.refusing = ranks - 1
						}
						l.play(t, kill, deliverAt)
					}
				})
			}
		}
	}
}
