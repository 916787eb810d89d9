package mapcontrol

import (
	"net/netip"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

// handOver tells the agents who controls their groups now, so that they need not
// miss the former controller first.
func (c *Controller) handOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &peers.ControllerReply{Controller: c.ControllerAddress(), Gateways: c.Gateways()}
	m.Gateways = m.Gateways[:min(len(m.Gateways), gatewaysInWelcome)]
	for _, g := range c.groups {
		for _, r := range g.ranks {
			c.Send(r.Agent, m)
		}
	}
}

// tightestGap returns the shortest pause that a streaming route allows.
func (c *Controller) tightestGap() time.Duration {
	var gap time.Duration
	c.Feed.Snapshot().Configuration.Routes(func(r *deployment.Route) {
		if r.Kind == deployment.Streaming && r.TargetGap > 0 && (gap == 0 || r.TargetGap < gap) {
			gap = r.TargetGap
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
	running, fresh := g.running(now)
	var loads []peers.RankLoad
	var step int64
	for _, r := range g.ranks {
		if now.Sub(r.at) <= reportLifetime {
			step = max(step, r.Step)
		}
		// An address that can't be read stays the zero value, which is left out.
		engine, _ := netip.ParseAddrPort(r.Engine)
		loads = append(loads, peers.RankLoad{Engine: engine, Load: r.Running + r.Queued, Avoid: g.avoid(r, now), Evacuate: r.Slowdown > leavePace})
	}
	if fresh == 0 {
		return
	}
	g.limiter.measure(step, now)
	limit := g.limiter.decide(e, running, c.tightestGap())
	c.Metrics.Gauge("group_pass_seconds").Update(g.limiter.pass.Seconds())
	c.Metrics.Gauge("group_limit_per_rank").Update(limit)
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
