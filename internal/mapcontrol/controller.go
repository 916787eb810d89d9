package mapcontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/feed"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
	"github.com/coltsfootbay/coltsfootbay/internal/rankagent"
)

const (
	// roundInterval is the time between two decisions.
	roundInterval = 50 * time.Millisecond
	// reportLifetime is how long a rank's report counts.
	reportLifetime = 700 * time.Millisecond
	// heldTooLong is how long a rank may be armed or held before the controller ends
	// the switch: the lease of its lead has ended, and its last order has arrived.
	heldTooLong = rankagent.SwitchLease + 100*time.Millisecond
	// silentAfter is the time without a report after which a rank gets no new
	// requests. Agents report every 60 ms in small groups and every 250 ms in large
	// ones.
	silentAfter = 500 * time.Millisecond
	// slowPace is the pace above which a rank gets no new requests.
	slowPace = 1.3
	// leavePace is the pace above which the requests of a rank should go on at other
	// ranks: its own part of a pass, 15 in 100 by the deployments' figures, then
	// takes half as long as the rest, and its requests keep it so for their length.
	leavePace = 2.5
	// planPause is the pause after a plan that was not worth its price, unless demand
	// shifts. A plan takes 30 ms of a gateway with 72 ranks, in which no report is
	// taken.
	planPause = 250 * time.Millisecond
	// lossMemory is how long a lost order makes the controller switch maps some passes
	// later. Engines lose them for seconds.
	lossMemory = 8 * time.Second
	// retryPause is the pause after a failed change.
	retryPause = 300 * time.Millisecond
	// agentInterval is the time between two messages to agents. They look for
	// another controller after 0.5 s.
	agentInterval = 200 * time.Millisecond
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
	// IsController reports whether this process is the controller, ControllerAddress returns the
	// address of the one that is.
	IsController      func() bool
	ControllerAddress func() string
	// RefusedRecently reports whether this process refuses callers of a service because
	// places are short. Callers draw gateways at random, so that others do the same.
	RefusedRecently func(service string) bool
	// Send sends a datagram; Gateways returns the addresses of the others.
	Send     func(address string, m peers.Message)
	Gateways func() []string
	// Apply takes a message for this process itself.
	Apply func(*peers.Group)
}

// Controller controls the groups whose agents report to it.
type Controller struct {
	Config

	// lostAt is when an order got no answer, in Unix nanoseconds.
	lostAt atomic.Int64

	mu     sync.Mutex
	groups map[string]*group
	was    bool
}

// New returns a controller; Run starts it.
func New(c Config) *Controller { return &Controller{Config: c, groups: map[string]*group{}} }

// HandleReport takes a rank's state.
func (c *Controller) HandleReport(r *peers.Report) {
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

// HandleExpertCounts takes how often a rank's requests chose the experts.
func (c *Controller) HandleExpertCounts(p *peers.ExpertCounts) {
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
		controls := c.IsController()
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
		service := c.serviceOf(g)
		if service == nil || service.Engine == nil {
			continue
		}
		e := service.Engine
		g.limiter.refusing = c.pressed(service.Name)
		c.tell(g, e, now)
		c.consider(ctx, g, e, now)
	}
}

// pressed reports whether a limit for mild shifts serves more callers. While orders get
// lost a new map comes seconds after a shift, and all streams have long pauses.
func (c *Controller) pressed(service string) bool {
	return c.RefusedRecently(service) && !c.ordersLost()
}

// serviceOf returns the service that a group's engines serve.
func (c *Controller) serviceOf(g *group) *deployment.Service {
	s := c.Feed.Snapshot()
	if s.Configuration == nil {
		return nil
	}
	for service, servers := range s.Servers {
		for _, server := range servers {
			for _, r := range g.ranks {
				if r.Engine == server.Address && s.Configuration.Services[service] != nil {
					return s.Configuration.Services[service]
				}
			}
		}
	}
	return nil
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
	if !g.shifted && now.Before(g.nextPlan) {
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
	running, _ := g.running(now)
	if !p.worthwhile(running / g.limiter.limit) {
		g.nextPlan = now.Add(planPause)
		return
	}
	g.highest++
	version := g.highest
	c.Recorder.Record("map_planned", "", events.F("group", g.name), events.F("version", version), events.F("epoch", g.epoch),
		events.F("before", p.before), events.F("after", p.after), events.F("copies", p.copies), events.F("value_ms", p.value.Milliseconds()), events.F("lasts_ms", lasts.Milliseconds()),
		events.F("copying_ms", p.copying.Milliseconds()), events.F("took_us", time.Since(began).Microseconds()),
		events.F("pass_ms", g.limiter.pass.Milliseconds()), events.F("running", running),
		events.F("peak", g.limiter.expected()), events.F("limit", g.limiter.limit))
	g.begin()
	go c.change(ctx, g, p, g.agents(), g.epoch, version)
}

// heldTooLong reports whether a switch was left open: a rank is held or armed
// for longer than a switch takes.
func (c *Controller) heldTooLong(g *group, now time.Time) bool {
	held := false
	for _, r := range g.ranks {
		if r.Epoch != g.epoch || now.Sub(r.at) >= reportLifetime || (r.HoldPass == 0 && r.Armed == 0) {
			continue
		}
		held = true
		since := r.at.Add(-time.Duration(r.SwitchPendingMS) * time.Millisecond)
		if g.heldSince.IsZero() || since.Before(g.heldSince) {
			g.heldSince = since
		}
	}
	if !held {
		g.heldSince = time.Time{}
	}
	return held && now.Sub(g.heldSince) > heldTooLong
}
