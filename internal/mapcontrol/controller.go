package mapcontrol

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/feed"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
	"github.com/coltsfootbay/coltsfootbay/internal/placement"
	"github.com/coltsfootbay/coltsfootbay/internal/rankagent"
)

const (
	// roundInterval is the time between two decisions.
	roundInterval = 50 * time.Millisecond
	// reportLifetime is how long a rank's report counts.
	reportLifetime = 700 * time.Millisecond
	// heldTooLong is how long a rank may be held before the controller ends the
	// switch that holds it. An undisturbed switch takes a few milliseconds beyond
	// the pass it waits for.
	heldTooLong = 600 * time.Millisecond
	// silentAfter is the time without a report after which a rank gets no new
	// requests. Agents report every 60 ms in small groups and every 250 ms in large
	// ones.
	silentAfter = 500 * time.Millisecond
	// slowPace is the pace above which a rank gets no new requests.
	slowPace = 1.3
	// retryPause is the pause after a failed change.
	retryPause = 300 * time.Millisecond
	// agentInterval is the time between two messages to agents. They look for
	// another controller after 0.9 s.
	agentInterval = 250 * time.Millisecond
	// gatewaysInWelcome bounds the gateways in a message to an agent.
	gatewaysInWelcome = 20
	// tellInterval is the time between two messages about a group.
	tellInterval = 100 * time.Millisecond
)

// Config is what a Controller works with.
type Config struct {
	// Self is the address for datagrams of this process.
	Self     string
	Feed     *feed.Feed
	Recorder *events.Recorder
	Metrics  tally.Scope
	// Engine returns a client for the engine at an address.
	Engine func(address string) rankagent.Engine
	// Controls reports whether this process is the controller, Leader returns the
	// address of the one that is.
	Controls func() bool
	Leader   func() string
	// Send sends a datagram; Gateways returns the addresses of the others.
	Send     func(address string, m peers.Message)
	Gateways func() []string
	// Apply takes a message for this process itself.
	Apply func(*peers.Group)
}

// Controller controls the groups whose agents report to it.
type Controller struct {
	Config

	mu     sync.Mutex
	groups map[string]*group
	was    bool
}

// New returns a controller; Run starts it.
func New(c Config) *Controller { return &Controller{Config: c, groups: map[string]*group{}} }

// group is a model group as its ranks report it.
type group struct {
	name    string
	epoch   int64
	ranks   map[int]*rank
	size    int
	demand  demand
	limiter limiter
	// version is the map in force that maps holds; 0 with nil maps is unknown.
	version int64
	maps    []placement.Map
	// highest is the highest version that was used or seen.
	highest int64
	// changing tells that a change is under way; heldSince is when a rank was
	// first seen held outside of one.
	changing bool
	// shifted tells that demand has shifted since the last plan.
	shifted   bool
	heldSince time.Time
	pausedTo  time.Time
	told      time.Time
	// toldAgents is when the agents got the last message.
	toldAgents time.Time
}

type rank struct {
	peers.Report
	at time.Time
}

// Report takes a rank's state.
func (c *Controller) Report(r *peers.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[r.Group]
	if g == nil {
		g = &group{name: r.Group, ranks: map[int]*rank{}}
		c.groups[r.Group] = g
	}
	if r.Epoch < g.epoch {
		return
	}
	if r.Epoch > g.epoch {
		if g.epoch != 0 {
			c.Recorder.Record("group_epoch", "", events.F("group", g.name), events.F("epoch", r.Epoch), events.F("former", g.epoch))
		}
		g.epoch, g.maps, g.version = r.Epoch, nil, 0
		g.limiter = limiter{}
	}
	g.size = max(r.Size, r.Rank+1)
	g.ranks[r.Rank] = &rank{Report: *r, at: time.Now()}
	g.highest = max(g.highest, r.Map, r.Prepared, r.Armed)
}

// Picks takes how often a rank's requests chose the experts.
func (c *Controller) Picks(p *peers.Picks) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.groups[p.Group]; g != nil && p.Epoch == g.epoch {
		g.demand.add(p)
	}
}

// Run decides until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		controls := c.Controls()
		if controls != c.was {
			c.was = controls
			c.Recorder.Record("control", "", events.F("controls", controls))
			c.handOver()
		}
		if controls {
			c.round(ctx)
		}
	}
}

// handOver tells the agents who controls their groups now, so that they need not
// miss the former controller first.
func (c *Controller) handOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &peers.Welcome{Controller: c.Leader(), Gateways: c.Gateways()}
	m.Gateways = m.Gateways[:min(len(m.Gateways), gatewaysInWelcome)]
	for _, g := range c.groups {
		for _, r := range g.ranks {
			c.Send(r.Agent, m)
		}
	}
}

func (c *Controller) round(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for name, g := range c.groups {
		for i, r := range g.ranks {
			if now.Sub(r.at) > 30*reportLifetime {
				delete(g.ranks, i)
			}
		}
		if len(g.ranks) == 0 {
			delete(c.groups, name)
			continue
		}
		e := c.engineOf(g)
		if e == nil {
			continue
		}
		c.tell(g, e, now)
		c.consider(ctx, g, e, now)
	}
}

// engineOf returns the physics of a group's engines.
func (c *Controller) engineOf(g *group) *deployment.Engine {
	s := c.Feed.Snapshot()
	if s.Configuration == nil {
		return nil
	}
	for service, servers := range s.Servers {
		for _, server := range servers {
			for _, r := range g.ranks {
				if r.Engine == server.Address && s.Configuration.Services[service] != nil {
					return s.Configuration.Services[service].Engine
				}
			}
		}
	}
	return nil
}

// tightestGap returns the shortest pause that a streaming route allows.
func (c *Controller) tightestGap() time.Duration {
	var gap time.Duration
	c.Feed.Snapshot().Configuration.Routes(func(r *deployment.Route) {
		if r.Kind == deployment.Streaming && r.GapGoal > 0 && (gap == 0 || r.GapGoal < gap) {
			gap = r.GapGoal
		}
	})
	return gap
}

// tell sends gateways and agents the state of a group and the limit.
func (c *Controller) tell(g *group, e *deployment.Engine, now time.Time) {
	if now.Sub(g.told) < tellInterval {
		return
	}
	g.told = now
	running, fresh := 0, 0
	var loads []peers.RankLoad
	var step int64
	for _, r := range g.ranks {
		if now.Sub(r.at) <= reportLifetime {
			fresh++
			running += r.Running
			step = max(step, r.Step)
		}
		// An address that can't be read stays the zero value, which is left out.
		engine, _ := netip.ParseAddrPort(r.Engine)
		loads = append(loads, peers.RankLoad{Engine: engine, Load: r.Running + r.Queued, Avoid: g.avoid(r, now)})
	}
	if fresh == 0 {
		return
	}
	g.limiter.measure(step, now)
	limit := g.limiter.decide(e, float64(running)/float64(fresh), c.tightestGap())
	c.Metrics.Gauge("group_pass_seconds").Update(g.limiter.pass.Seconds())
	c.Metrics.Gauge("group_limit_per_rank").Update(float64(limit))
	passMS := float64(g.limiter.pass) / float64(time.Millisecond)
	gateways := c.Gateways()
	for len(loads) > 0 {
		n := min(len(loads), peers.RanksPerMessage)
		m := &peers.Group{Controller: c.Self, Group: g.name, Limit: limit, PassMS: passMS}
		m.Pack(loads[:n])
		c.Apply(m)
		for _, address := range gateways {
			c.Send(address, m)
		}
		loads = loads[n:]
	}
	if now.Sub(g.toldAgents) < agentInterval {
		return
	}
	g.toldAgents = now
	brief := &peers.Group{Controller: c.Self, Group: g.name, Limit: limit, PassMS: passMS}
	for _, r := range g.ranks {
		c.Send(r.Agent, brief)
	}
}

// avoid reports whether a rank should get no new requests: it is slow, which
// makes all ranks wait for its own part of a pass, or its machine is silent while
// others are heard.
func (g *group) avoid(r *rank, now time.Time) bool {
	if r.Pace > slowPace {
		return true
	}
	silent := now.Sub(r.at)
	if silent < silentAfter {
		return false
	}
	for _, other := range g.ranks {
		if now.Sub(other.at) < silentAfter/2 {
			return true
		}
	}
	return false
}

// consider begins a change of the map, or ends one that was left open.
func (c *Controller) consider(ctx context.Context, g *group, e *deployment.Engine, now time.Time) {
	if g.demand.close(g.size, now) {
		g.shifted = true
		c.Recorder.Record("demand_shifted", "", events.F("group", g.name), events.F("noise", g.demand.noise), events.F("interval_ms", g.demand.interval.Milliseconds()))
	}
	if g.changing || now.Before(g.pausedTo) || e.Layers == 0 {
		return
	}
	if c.heldTooLong(g, now) {
		g.begin()
		go c.resolve(ctx, g)
		return
	}
	if !g.complete(now) || !g.sameMap() {
		return
	}
	if g.maps == nil || g.version != g.ranks[0].Map {
		g.begin()
		go c.readMaps(ctx, g, e, g.agents(), g.epoch)
		return
	}
	if !g.demand.known(e.Layers, e.Experts) {
		return
	}
	began := time.Now()
	lasts := g.demand.lasts(now)
	p, err := choosePlan(e, g.maps, &g.demand, g.speeds(), lasts)
	if err != nil {
		c.Recorder.Record("plan_failed", "", events.F("group", g.name), events.F("error", err.Error()))
		g.pausedTo = now.Add(time.Second)
		return
	}
	g.limiter.uneven = p.before
	if g.shifted {
		g.limiter.shifted(p.before)
		g.shifted = false
	}
	if !p.worthwhile() {
		return
	}
	g.highest++
	version := g.highest
	c.Recorder.Record("map_planned", "", events.F("group", g.name), events.F("version", version), events.F("epoch", g.epoch),
		events.F("before", p.before), events.F("after", p.after), events.F("copies", p.copies), events.F("value_ms", p.value.Milliseconds()), events.F("lasts_ms", lasts.Milliseconds()),
		events.F("copying_ms", p.copying.Milliseconds()), events.F("took_us", time.Since(began).Microseconds()),
		events.F("pass_ms", g.limiter.pass.Milliseconds()), events.F("limit", g.limiter.limit))
	g.begin()
	go c.change(ctx, g, p, g.agents(), g.epoch, version)
}

func (g *group) begin() { g.changing, g.heldSince = true, time.Time{} }

// end ends what begin began. pause is the time before the next change.
func (c *Controller) end(g *group, pause time.Duration, then func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g.changing = false
	g.pausedTo = time.Now().Add(pause)
	if then != nil {
		then()
	}
}

// complete reports whether all ranks reported lately in the same open epoch.
func (g *group) complete(now time.Time) bool {
	if g.size == 0 || len(g.ranks) != g.size {
		return false
	}
	for i := range g.size {
		r := g.ranks[i]
		if r == nil || r.Epoch != g.epoch || !r.Open || now.Sub(r.at) > reportLifetime {
			return false
		}
	}
	return true
}

func (g *group) sameMap() bool {
	for _, r := range g.ranks {
		if r.Map != g.ranks[0].Map || r.Held != 0 || r.Armed != 0 {
			return false
		}
	}
	return true
}

// heldTooLong reports whether a switch was left open: a rank is held or armed
// for longer than a switch takes.
func (c *Controller) heldTooLong(g *group, now time.Time) bool {
	held := false
	for _, r := range g.ranks {
		held = held || (r.Epoch == g.epoch && now.Sub(r.at) < reportLifetime && (r.Held != 0 || r.Armed != 0))
	}
	switch {
	case !held:
		g.heldSince = time.Time{}
	case g.heldSince.IsZero():
		g.heldSince = now
	}
	return held && now.Sub(g.heldSince) > heldTooLong
}

func (g *group) agents() []string {
	out := make([]string, g.size)
	for i := range out {
		out[i] = g.ranks[i].Agent
	}
	return out
}

// engines returns clients of all engines of a group, and false if one of them is
// not known.
func (c *Controller) engines(g *group) ([]rankagent.Engine, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []rankagent.Engine
	for i := range g.size {
		if r := g.ranks[i]; r != nil && r.Epoch == g.epoch {
			out = append(out, c.Engine(r.Engine))
		}
	}
	return out, len(out) == g.size && g.size > 0
}

// speeds returns the relative speed of each rank.
func (g *group) speeds() []float64 {
	out := make([]float64, g.size)
	for i := range out {
		out[i] = 1
		if pace := g.ranks[i].Pace; pace > 0 {
			out[i] = 1 / pace
		}
	}
	return out
}

// resolve ends a switch that its lead left open.
func (c *Controller) resolve(ctx context.Context, g *group) {
	c.settle(ctx, g)
	c.end(g, retryPause, func() { g.maps = nil })
}

// settle ends an open switch by calls to the engines themselves, so that it
// needs no agent.
func (c *Controller) settle(ctx context.Context, g *group) {
	engines, all := c.engines(g)
	if !all {
		c.Recorder.Record("switch_unresolved", "", events.F("group", g.name), events.F("engines", len(engines)), events.F("size", g.size))
		return
	}
	found, err := rankagent.Resolve(ctx, engines)
	c.Metrics.Counter("switches_resolved").Inc(1)
	c.Recorder.Record("switch_resolved", "", events.F("group", g.name), events.F("found", found), events.F("error", errorText(err)))
}

// readMaps asks the ranks which experts they have.
func (c *Controller) readMaps(ctx context.Context, g *group, e *deployment.Engine, agents []string, epoch int64) {
	answers := make([]rankagent.Maps, len(agents))
	err := forAll(agents, func(rank int, agent string) error {
		var err error
		answers[rank], err = rankagent.NewClient(agent).Maps(ctx)
		return err
	})
	version := answers[0].Map.Version
	experts := make([][][]int, len(agents))
	for rank, a := range answers {
		if err == nil && (a.Epoch != epoch || a.Map.Version != version || len(a.Map.Experts) != e.Layers) {
			err = fmt.Errorf("rank %d has map %d of epoch %d with %d layers, rank 0 has %d of epoch %d", rank, a.Map.Version, a.Epoch, len(a.Map.Experts), version, epoch)
		}
		experts[rank] = a.Map.Experts
	}
	if err != nil {
		c.Recorder.Record("maps_unread", "", events.F("group", g.name), events.F("error", err.Error()))
		c.end(g, retryPause, nil)
		return
	}
	c.end(g, 0, func() {
		if g.epoch == epoch {
			g.maps, g.version = fromRanks(experts, e.Layers, e.Experts), version
		}
	})
}

// change prepares a plan on all ranks and switches the group to it.
func (c *Controller) change(ctx context.Context, g *group, p plan, agents []string, epoch, version int64) {
	began := time.Now()
	prepare := rankagent.Order{Operation: rankagent.Prepare, Epoch: epoch, Version: version, Map: byRank(p.layers, len(agents))}
	err := forAll(agents, func(_ int, agent string) error { return rankagent.NewClient(agent).Prepare(ctx, prepare) })
	prepared := time.Since(began)
	var step int64
	if err == nil {
		step, err = c.switchTo(ctx, g, agents, epoch, version)
		if err != nil {
			c.settle(ctx, g)
		}
	}
	c.Recorder.Record("map_changed", "", events.F("group", g.name), events.F("version", version), events.F("epoch", epoch), events.F("step", step),
		events.F("prepared_ms", prepared.Milliseconds()), events.F("took_ms", time.Since(began).Milliseconds()), events.F("error", errorText(err)))
	if err != nil {
		c.Metrics.Counter("map_changes_failed").Inc(1)
		c.end(g, retryPause, func() { g.maps = nil })
		return
	}
	c.Metrics.Counter("map_changes").Inc(1)
	c.end(g, 0, func() {
		if g.epoch == epoch {
			g.maps, g.version = p.layers, version
			g.limiter.uneven = p.after
			for _, r := range g.ranks {
				// The reports at hand are older than the switch.
				r.Map, r.Armed, r.Held = version, 0, 0
			}
		}
	})
}

// switchTo leads the switch of a group. The orders go to the engines themselves:
// if this process stops in between, another one can reach every rank, which it
// could not if the machine of a rank stopped.
func (c *Controller) switchTo(ctx context.Context, g *group, agents []string, epoch, version int64) (step int64, err error) {
	engines, all := c.engines(g)
	if !all {
		return 0, errors.New("not all engines are known")
	}
	reporters := make([]rankagent.Reporter, len(agents))
	for rank, address := range agents {
		reporters[rank] = rankagent.NewClient(address)
	}
	lead := int(version) % len(engines)
	return rankagent.Switch(ctx, engines, reporters, lead, epoch, version)
}

func forAll(agents []string, f func(rank int, agent string) error) error {
	errs := make([]error, len(agents))
	var calls sync.WaitGroup
	for rank, agent := range agents {
		calls.Go(func() { errs[rank] = f(rank, agent) })
	}
	calls.Wait()
	return errors.Join(errs...)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
