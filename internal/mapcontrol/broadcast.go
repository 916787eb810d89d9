package mapcontrol

import (
	"net/netip"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

// announceController sends the address of the current controller to all agents, so that
// they need not detect the loss of the previous one first.
func (c *Controller) announceController() {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &peers.ControllerReply{Controller: c.ControllerAddress(), Gateways: c.Gateways()}
	m.Gateways = m.Gateways[:min(len(m.Gateways), maxGatewaysInReply)]
	for _, g := range c.groups {
		for _, r := range g.ranks {
			c.Send(r.Agent, m)
		}
	}
}

// tightestGap returns the shortest target gap of all streaming routes, or 0 if there is
// none.
func (c *Controller) tightestGap() time.Duration {
	var gap time.Duration
	c.Feed.Snapshot().Configuration.Routes(func(r *deployment.Route) {
		if r.Kind == deployment.Streaming && r.TargetGap > 0 && (gap == 0 || r.TargetGap < gap) {
			gap = r.TargetGap
		}
	})
	return gap
}

// broadcast sends the state and the limit of a group to gateways and agents.
func (c *Controller) broadcast(g *group, e *deployment.Engine, now time.Time) {
	if now.Sub(g.lastBroadcast) < broadcastInterval {
		return
	}
	g.lastBroadcast = now
	running, reporting := g.meanRunning(now)
	var loads []peers.RankLoad
	var step int64
	for _, r := range g.ranks {
		if now.Sub(r.reportedAt) <= reportLifetime {
			step = max(step, r.Step)
		}
		// An invalid address results in the zero value, which Pack leaves out.
		engine, _ := netip.ParseAddrPort(r.Engine)
		loads = append(loads, peers.RankLoad{Engine: engine, Load: r.Running + r.Queued, Avoid: g.shouldAvoid(r, now), Evacuate: r.Slowdown > evacuateSlowdown})
	}
	if reporting == 0 {
		return
	}
	g.limiter.measurePass(step, now)
	limit := g.limiter.updateLimit(e, running, c.tightestGap())
	c.Metrics.Gauge("group_pass_seconds").Update(g.limiter.meanPass.Seconds())
	c.Metrics.Gauge("group_limit_per_rank").Update(limit)
	passMS := float64(g.limiter.meanPass) / float64(time.Millisecond)
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
	if now.Sub(g.lastAgentUpdate) < agentUpdateInterval {
		return
	}
	g.lastAgentUpdate = now
	agentMessage := &peers.Group{Controller: c.Self, Group: g.name, Limit: limit, PassMS: passMS}
	for _, r := range g.ranks {
		c.Send(r.Agent, agentMessage)
	}
}
