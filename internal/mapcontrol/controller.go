package mapcontrol

import (
	"context"
	"math/rand/v2"
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
	// roundInterval is the interval between two decisions.
	roundInterval = 50 * time.Millisecond
	// reportLifetime is how long a rank's report is valid.
	reportLifetime = 700 * time.Millisecond
	// holdTimeout is how long a rank may be armed or held before the controller
	// resolves the pending switch: by then the lease of the switch has expired and the
	// last order sent under it has arrived.
	holdTimeout = rankagent.SwitchLease + 100*time.Millisecond
	// silenceTimeout is the time without a report after which a rank gets no new
	// requests. Agents report every 60 ms in small groups and every 250 ms in large
	// ones.
	silenceTimeout = 500 * time.Millisecond
	// avoidSlowdown is the slowdown above which a rank gets no new requests.
	avoidSlowdown = 1.3
	// evacuateSlowdown is the slowdown above which the requests of a rank should move
	// to other ranks. With the configured engine parameters a rank's own share of a
	// pass, normally 15%, then takes half as long as the rest of the pass, and stays so
	// until the rank's requests end.
	evacuateSlowdown = 2.5
	// planRetryInterval is the pause after a plan that was not worthwhile, unless
	// demand shifts. Computing a plan blocks a gateway for 30 ms in a group of 72
	// ranks, and no report is processed meanwhile.
	planRetryInterval = 250 * time.Millisecond
	// lostOrderWindow is how long after a lost order the controller schedules map
	// switches some passes later. Engines lose orders for seconds at a time.
	lostOrderWindow = 8 * time.Second
	// changeRetryDelay is the pause after a failed change.
	changeRetryDelay = 300 * time.Millisecond
	// agentUpdateInterval is the interval between two messages to agents. Agents look
	// for another controller after 0.5 s without one.
	agentUpdateInterval = 200 * time.Millisecond
	// maxGatewaysInReply limits the gateway addresses in a message to an agent.
	maxGatewaysInReply = 20
	// broadcastInterval is the interval between two broadcasts about a group.
	broadcastInterval = 100 * time.Millisecond
)

// Config holds the dependencies of a Controller.
type Config struct {
	// Self is the address of this process for datagrams, and Holder identifies this start
	// of the process.
	Self     string
	Holder   string
	Feed     *feed.Feed
	Recorder *events.Recorder
	Metrics  tally.Scope
	// Engine returns a client for the engine at an address.
	Engine func(address string) rankagent.Engine
	// IsController reports whether this process is the controller; ControllerAddress
	// returns the address of the controller.
	IsController      func() bool
	ControllerAddress func() string
	// RefusedRecently reports whether this process recently refused callers of a
	// service because no slot was free. Callers choose gateways at random, so the other
	// gateways refuse callers as well.
	RefusedRecently func(service string) bool
	// Send sends a datagram; Gateways returns the addresses of the other gateways.
	Send     func(address string, m peers.Message)
	Gateways func() []string
	// Apply delivers a message to this process.
	Apply func(*peers.Group)
}

// Controller controls the groups whose agents report to it.
type Controller struct {
	Config

	// lastLostOrder is the time of the last order that got no answer, in Unix
	// nanoseconds; 0 if there was none.
	lastLostOrder atomic.Int64

	mu            sync.Mutex
	groups        map[string]*group
	wasController bool
}

// New returns a controller; Run starts it.
func New(c Config) *Controller { return &Controller{Config: c, groups: map[string]*group{}} }

// epochTimeout is the time after which an epoch that no rank reports any more has ended. A
// delayed report arrives sooner.
const epochTimeout = time.Second

// HandleReport records the state of a rank. Reports of earlier epochs are ignored as long as
// a rank reports the current one.
func (c *Controller) HandleReport(r *peers.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[r.Group]
	if g == nil {
		g = &group{name: r.Group, ranks: map[int]*rank{}}
		c.groups[r.Group] = g
	}
	if r.Epoch < g.epoch && g.reportsEpoch(time.Now().Add(-epochTimeout)) {
		return
	}
	if r.Epoch != g.epoch {
		if g.epoch != 0 {
			c.Recorder.Record("group_epoch", "", events.F("group", g.name), events.F("epoch", r.Epoch), events.F("former", g.epoch))
		}
		g.epoch, g.maps, g.version, g.clearPass = r.Epoch, nil, 0, 0
		g.limiter = limiter{}
	}
	g.size = max(r.Size, r.Rank+1)
	g.ranks[r.Rank] = &rank{Report: *r, reportedAt: time.Now()}
	g.highestVersion = max(g.highestVersion, r.Map, r.Prepared, r.Armed)
}

// HandleExpertCounts records how often requests of a rank were routed to each expert.
func (c *Controller) HandleExpertCounts(p *peers.ExpertCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.groups[p.Group]; g != nil && p.Epoch == g.epoch {
		g.demand.add(p)
	}
}

// Run controls the groups until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		isController := c.IsController()
		if isController != c.wasController {
			c.wasController = isController
			c.Recorder.Record("control", "", events.F("controls", isController))
			c.announceController()
		}
		if isController {
			c.round(ctx)
		}
	}
}

// round makes one decision for every group and forgets ranks that no longer report.
func (c *Controller) round(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for name, g := range c.groups {
		for i, r := range g.ranks {
			if now.Sub(r.reportedAt) > 30*reportLifetime {
				delete(g.ranks, i)
			}
		}
		if len(g.ranks) == 0 {
			delete(c.groups, name)
			continue
		}
		if service := c.serviceOf(g); service != nil {
			g.service = service
		}
		if g.service == nil || g.service.Engine == nil {
			c.endPendingSwitch(ctx, g, now)
			continue
		}
		e := g.service.Engine
		g.limiter.refusing = c.allowHigherLimit(g.service.Name)
		c.broadcast(g, e, now)
		c.updateMap(ctx, g, e, now)
	}
}

// allowHigherLimit reports whether the limit should be raised because callers are
// refused. While orders get lost it is not raised: a new map then takes effect seconds
// after a demand shift, and all streams have long gaps until then.
func (c *Controller) allowHigherLimit(service string) bool {
	return c.RefusedRecently(service) && !c.ordersLost()
}

// serviceOf returns the service that a group's engines serve, or nil if it is not
// configured: requests that still run need the control of their group all the same.
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

// updateMap starts a change of the map, or the resolution of a pending switch.
func (c *Controller) updateMap(ctx context.Context, g *group, e *deployment.Engine, now time.Time) {
	if g.demand.closeWindow(g.size, now) {
		g.demandShifted = true
		c.Recorder.Record("demand_shifted", "", events.F("group", g.name), events.F("noise", g.demand.noise), events.F("interval_ms", g.demand.shiftInterval.Milliseconds()))
	}
	if g.changing || now.Before(g.pausedUntil) || e.Layers == 0 || c.endPendingSwitch(ctx, g, now) {
		return
	}
	if !g.allReported(now) || !g.sameMap() || g.lastPass() < g.clearPass {
		return
	}
	if g.maps == nil || g.version != g.ranks[0].Map {
		g.beginChange()
		go c.readMaps(ctx, g, e, g.agents(), g.epoch)
		return
	}
	if !g.demand.hasCounts(e.Layers, e.Experts) {
		return
	}
	if !g.demandShifted && now.Before(g.nextPlan) {
		return
	}
	began := time.Now()
	demandDuration := g.demand.expectedDuration(now)
	p, err := choosePlan(e, g.maps, &g.demand, g.speeds(), demandDuration)
	if err != nil {
		c.Recorder.Record("plan_failed", "", events.F("group", g.name), events.F("error", err.Error()))
		g.pausedUntil = now.Add(time.Second)
		return
	}
	g.limiter.imbalance = p.before
	if g.demandShifted {
		g.limiter.recordShift(p.before)
		g.demandShifted = false
	}
	running, _ := g.meanRunning(now)
	if !p.worthwhile(running / g.limiter.limit) {
		g.nextPlan = now.Add(planRetryInterval)
		return
	}
	g.highestVersion = nextVersion(g.highestVersion)
	version := g.highestVersion
	c.Recorder.Record("map_planned", "", events.F("group", g.name), events.F("version", version), events.F("epoch", g.epoch),
		events.F("before", p.before), events.F("after", p.after), events.F("copies", p.copies), events.F("value_ms", p.value.Milliseconds()), events.F("lasts_ms", demandDuration.Milliseconds()),
		events.F("copying_ms", p.copyTime.Milliseconds()), events.F("took_us", time.Since(began).Microseconds()),
		events.F("pass_ms", g.limiter.meanPass.Milliseconds()), events.F("running", running),
		events.F("peak", g.limiter.expectedImbalance()), events.F("limit", g.limiter.limit))
	g.beginChange()
	go c.change(ctx, g, p, g.agents(), rankagent.SwitchRequest{
		Holder: c.Holder, Epoch: g.epoch, Version: version, HeldRank: int(version) % g.size, ClearPass: g.clearPass,
	})
}

// versionBits is the number of random low bits of a version.
const versionBits = 20

// nextVersion returns a version above the given one that no other controller chooses for
// another map: a rank does not report the versions whose copies are in progress, and
// another controller may plan at the same time.
func nextVersion(highest int64) int64 {
	return (highest>>versionBits+1)<<versionBits | rand.Int64N(1<<versionBits)
}

// endPendingSwitch begins to resolve a switch that no coordinator completes, and reports
// whether it did. A group does not run while one of its ranks is held.
func (c *Controller) endPendingSwitch(ctx context.Context, g *group, now time.Time) bool {
	if g.changing || now.Before(g.pausedUntil) || !c.holdTimedOut(g, now) {
		return false
	}
	g.beginChange()
	go c.recoverSwitch(ctx, g)
	return true
}

// holdTimedOut reports whether a pending switch must be resolved because no
// coordinator completes it: a rank has been held or armed for longer than holdTimeout.
func (c *Controller) holdTimedOut(g *group, now time.Time) bool {
	held := false
	for _, r := range g.ranks {
		if r.Epoch != g.epoch || now.Sub(r.reportedAt) >= reportLifetime || (r.HoldPass == 0 && r.Armed == 0) {
			continue
		}
		held = true
		since := r.reportedAt.Add(-time.Duration(r.SwitchPendingMS) * time.Millisecond)
		if g.heldSince.IsZero() || since.Before(g.heldSince) {
			g.heldSince = since
		}
	}
	if !held {
		g.heldSince = time.Time{}
	}
	return held && now.Sub(g.heldSince) > holdTimeout
}
