package mapcontrol

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/rankagent"
)

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
	found, err := rankagent.Resolve(ctx, engines, c.reporters(g))
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
				r.Map, r.Armed, r.HoldPass = version, 0, 0
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
	lead := int(version) % len(engines)
	ahead := int64(rankagent.NextPass)
	if c.ordersLost() {
		ahead = rankagent.LaterPass
	}
	return rankagent.Switch(ctx, engines, reporters(agents), rankagent.SwitchRequest{Epoch: epoch, Version: version, HeldRank: lead, PassesAhead: ahead})
}

// watchedEngine tells when an order gets no answer.
type watchedEngine struct {
	rankagent.Engine
	lost func()
}

func (e watchedEngine) Order(ctx context.Context, o rankagent.Order) (rankagent.Outcome, error) {
	outcome, err := e.Engine.Order(ctx, o)
	if outcome == rankagent.Unanswered {
		e.lost()
	}
	return outcome, err
}

// ordersLost reports whether an order got no answer lately.
func (c *Controller) ordersLost() bool {
	at := c.lostAt.Load()
	return at != 0 && time.Since(time.Unix(0, at)) < lossMemory
}

func reporters(agents []string) []rankagent.Reporter {
	out := make([]rankagent.Reporter, len(agents))
	for rank, address := range agents {
		out[rank] = rankagent.NewClient(address)
	}
	return out
}

// reporters returns clients of the agents of all ranks that are known.
func (c *Controller) reporters(g *group) []rankagent.Reporter {
	c.mu.Lock()
	defer c.mu.Unlock()
	var agents []string
	for i := range g.size {
		if r := g.ranks[i]; r != nil {
			agents = append(agents, r.Agent)
		}
	}
	return reporters(agents)
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
