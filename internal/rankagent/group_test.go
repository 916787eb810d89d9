package rankagent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

// fakeGroup is a group of fake engines that follow the rules of the users' platform: an
// armed rank without a hold is not protected, a hold never expires, ranks do not
// compare maps, and an order without a response may be carried out later.
type fakeGroup struct {
	mu    sync.Mutex
	epoch int64
	// pass is the last forward pass that was started.
	pass int64
	// running is the number of requests that each rank reports.
	running int
	ranks   []*fakeRank
	// firstMixedPass is the first forward pass that started with different maps, or 0.
	firstMixedPass int64
	// stalledFor counts the ticks in which a hold delayed the next forward pass.
	stalledFor int
	random     *rand.Rand
	// lossRate is the fraction of orders without a response; half of them are carried
	// out late.
	lossRate float64
	late     []func()
}

type fakeRank struct {
	group *fakeGroup
	rank  int
	// highest is the highest version that the rank has prepared.
	current, prepared, highest int64
	// claims holds the claim of the rank's agent.
	claims claims
	// preparedMap and currentMap are the whole maps of these versions.
	preparedMap, currentMap [][][]int
	// armed is the version that the rank is armed for, armedStep the forward pass from
	// which it uses that version, and held the pass before which the rank is held; 0 if
	// there is none.
	armed, armedStep, held int64
	// unresponsive ranks do not respond to anything.
	unresponsive bool
	// orders counts the orders that the rank received.
	orders int
}

func newFakeGroup(ranks int, seed uint64, lost float64) *fakeGroup {
	g := &fakeGroup{epoch: 1, random: rand.New(rand.NewPCG(seed, 1)), lossRate: lost}
	for rank := range ranks {
		g.ranks = append(g.ranks, &fakeRank{group: g, rank: rank})
	}
	return g
}

func (g *fakeGroup) engines() []Engine {
	out := make([]Engine, len(g.ranks))
	for i, r := range g.ranks {
		out[i] = r
	}
	return out
}

func (g *fakeGroup) agents() []ClaimingReporter {
	out := make([]ClaimingReporter, len(g.ranks))
	for i, r := range g.ranks {
		out[i] = r
	}
	return out
}

// run starts forward passes until ctx is done.
func (g *fakeGroup) run(ctx context.Context, pass time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(pass)
		g.tick()
	}
}

// tick starts the next forward pass unless a rank is held before it.
func (g *fakeGroup) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.late) > 0 && g.random.IntN(3) == 0 {
		g.late[0]()
		g.late = g.late[1:]
	}
	next := g.pass + 1
	for _, r := range g.ranks {
		if r.held == next {
			g.stalledFor++
			return
		}
	}
	g.pass = next
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedStep == next {
			r.current, r.armed, r.currentMap = r.armed, 0, r.preparedMap
		}
	}
	for _, r := range g.ranks {
		if g.firstMixedPass == 0 && (r.current != g.ranks[0].current || !reflect.DeepEqual(r.currentMap, g.ranks[0].currentMap)) {
			g.firstMixedPass = next
		}
	}
}

var errNoAnswer = errors.New("no answer")

func (r *fakeRank) Report(ctx context.Context) (peers.Report, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if r.unresponsive || ctx.Err() != nil {
		return peers.Report{}, errNoAnswer
	}
	return peers.Report{
		Epoch: r.group.epoch, Rank: r.rank, Step: r.group.pass, Running: r.group.running, Map: r.current, Prepared: r.prepared, Armed: r.armed, HoldPass: r.held,
	}, nil
}

func (r *fakeRank) ExpertCounts(context.Context) (ExpertCounts, error) {
	return ExpertCounts{}, errNoAnswer
}

func (r *fakeRank) Maps(context.Context) (Maps, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return Maps{
		Epoch: r.group.epoch, Map: RankMap{Version: r.current, Experts: expertsOf(r.currentMap, r.rank)},
		Prepared: &RankMap{Version: r.prepared, Experts: expertsOf(r.preparedMap, r.rank)},
	}, nil
}

func (r *fakeRank) Claim(ctx context.Context, holder string) (peers.Report, error) {
	if granted, current := r.claims.take(holder); !granted {
		return peers.Report{}, fmt.Errorf("%w: %s", errClaimed, current)
	}
	report, err := r.Report(ctx)
	if err == nil {
		r.claims.addClearPass(&report)
	}
	return report, err
}

func (r *fakeRank) Order(ctx context.Context, o Order) (Outcome, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.orders++
	if r.unresponsive || ctx.Err() != nil {
		return Unanswered, errNoAnswer
	}
	if r.group.random.Float64() < r.group.lossRate {
		if r.group.random.IntN(2) == 0 {
			r.group.late = append(r.group.late, func() { _ = r.apply(o) })
		}
		return Unanswered, errNoAnswer
	}
	return r.apply(o), nil
}

// apply carries an order out by the rules of the platform.
func (r *fakeRank) apply(o Order) Outcome {
	g := r.group
	if o.Epoch != g.epoch {
		return Conflict
	}
	begun := o.Step <= g.pass
	switch o.Operation {
	case Prepare:
		if o.Version <= r.highest || r.armed != 0 {
			return Conflict
		}
		r.highest, r.prepared, r.preparedMap = o.Version, o.Version, o.Map
	case Arm:
		if r.armed == o.Version && r.armedStep == o.Step {
			return Done
		}
		if r.prepared != o.Version || begun {
			return Conflict
		}
		r.armed, r.armedStep = o.Version, o.Step
	case Disarm:
		if r.current == o.Version {
			return Conflict
		}
		if r.armed == o.Version {
			r.armed = 0
		}
	case Hold:
		if begun || (r.held != 0 && r.held != o.Step) {
			return Conflict
		}
		r.held = o.Step
	case Release:
		if r.held == o.Step {
			r.held = 0
		}
	}
	return Done
}

// expertsOf returns the experts by layer that a map assigns to a rank.
func expertsOf(m [][][]int, rank int) [][]int {
	var out [][]int
	for _, ranks := range m {
		out = append(out, ranks[rank])
	}
	return out
}

func (g *fakeGroup) prepare(version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		r.prepared, r.highest = version, version
	}
}

// state returns the first mixed pass, whether any rank is held, and the map version of
// rank 0.
func (g *fakeGroup) state() (mixed int64, held bool, current int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		held = held || r.held != 0
	}
	return g.firstMixedPass, held, g.ranks[0].current
}

func (g *fakeGroup) passes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pass
}
