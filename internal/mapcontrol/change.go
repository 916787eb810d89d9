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

// endChange marks the change that beginChange started as ended. The next change starts
// after pause at the earliest. If then is not nil, it runs under c.mu.
func (c *Controller) endChange(g *group, pause time.Duration, then func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g.changing = false
	g.pausedUntil = time.Now().Add(pause)
	if then != nil {
		then()
	}
}

// recoverSwitch resolves a switch that its coordinator left pending, and discards
// the known map of the group, which is then read again.
func (c *Controller) recoverSwitch(ctx context.Context, g *group) {
	c.resolveSwitch(ctx, g)
	c.endChange(g, changeRetryDelay, func() { g.maps = nil })
}

// resolveSwitch ends a pending switch. It calls the engines directly, so it does not
// depend on agents.
func (c *Controller) resolveSwitch(ctx context.Context, g *group) {
	engines, all := c.engines(g)
	if !all {
		c.Recorder.Record("switch_unresolved", "", events.F("group", g.name), events.F("engines", len(engines)), events.F("size", g.size))
		return
	}
	found, err := rankagent.Resolve(ctx, engines, c.clients(g), c.Holder)
	c.Metrics.Counter("switches_resolved").Inc(1)
	c.Recorder.Record("switch_resolved", "", events.F("group", g.name), events.F("found", found), events.F("error", errorText(err)))
}

// readMaps reads from the ranks which experts they hold.
func (c *Controller) readMaps(ctx context.Context, g *group, e *deployment.Engine, agents []string, epoch int64) {
	answers := make([]rankagent.Maps, len(agents))
	err := forEachAgent(agents, func(rank int, agent string) error {
		var err error
		answers[rank], err = rankagent.NewClient(agent).Maps(ctx)
		return err
	})
	version := answers[0].Map.Version
	experts := make([][][]int, len(agents))
	for rank, a := range answers {
		if err == nil && (a.Epoch != epoch || a.Map.Version != version || len(a.Map.Experts) != e.Layers) {
			err = fmt.Errorf("rank %d has map %d of epoch %d with %d layers, rank 0 has map %d of epoch %d", rank, a.Map.Version, a.Epoch, len(a.Map.Experts), version, epoch)
		}
		experts[rank] = a.Map.Experts
	}
	if err != nil {
		c.Recorder.Record("maps_unread", "", events.F("group", g.name), events.F("error", err.Error()))
		c.endChange(g, changeRetryDelay, nil)
		return
	}
	c.endChange(g, 0, func() {
		if g.epoch == epoch {
			g.maps, g.version = mapsFromRanks(experts, e.Layers, e.Experts), version
		}
	})
}

// change claims all ranks, prepares a plan on them and switches the group to it.
func (c *Controller) change(ctx context.Context, g *group, p plan, agents []string, request rankagent.SwitchRequest) {
	began := time.Now()
	epoch, version := request.Epoch, request.Version
	prepare := rankagent.Order{Operation: rankagent.Prepare, Epoch: epoch, Version: version, Map: expertsByRank(p.maps, len(agents))}
	states, err := rankagent.ClaimAll(ctx, clients(agents), c.Holder)
	if err == nil {
		request.ClearPass, err = rankagent.ClearPass(states, request.ClearPass)
	}
	if err == nil {
		err = forEachAgent(agents, func(_ int, agent string) error { return rankagent.NewClient(agent).Prepare(ctx, c.Holder, prepare) })
	}
	prepared := time.Since(began)
	var step int64
	if err == nil {
		step, err = c.switchTo(ctx, g, agents, request)
		if err != nil {
			c.resolveSwitch(ctx, g)
		}
	}
	c.Recorder.Record("map_changed", "", events.F("group", g.name), events.F("version", version), events.F("epoch", epoch), events.F("step", step),
		events.F("prepared_ms", prepared.Milliseconds()), events.F("took_ms", time.Since(began).Milliseconds()), events.F("error", errorText(err)))
	if err != nil {
		c.Metrics.Counter("map_changes_failed").Inc(1)
		c.endChange(g, changeRetryDelay, func() {
			g.maps = nil
			if g.epoch == epoch {
				g.clearPass = max(request.ClearPass, step)
			}
		})
		return
	}
	c.Metrics.Counter("map_changes").Inc(1)
	c.endChange(g, 0, func() {
		if g.epoch == epoch {
			g.maps, g.version, g.clearPass = p.maps, version, step
			g.limiter.imbalance = p.after
			for _, r := range g.ranks {
				// The stored reports are older than the switch.
				r.Map, r.Armed, r.HoldPass = version, 0, 0
			}
		}
	})
}

// switchTo coordinates the switch of a group and returns the step at which it takes
// place. The orders go directly to the engines: if this process stops during the
// switch, another controller can still reach every rank. If an agent coordinated the
// switch and its machine stopped, that would not be possible.
func (c *Controller) switchTo(ctx context.Context, g *group, agents []string, request rankagent.SwitchRequest) (step int64, err error) {
	engines, all := c.engines(g)
	if !all {
		return 0, errors.New("not all engines of the group are known")
	}
	request.PassesAhead = rankagent.NextPass
	if c.ordersLost() {
		request.PassesAhead = rankagent.LaterPass
	}
	return rankagent.Switch(ctx, engines, clients(agents), request)
}

// lossRecordingEngine calls onLost for each order that gets no answer.
type lossRecordingEngine struct {
	rankagent.Engine
	onLost func()
}

func (e lossRecordingEngine) Order(ctx context.Context, o rankagent.Order) (rankagent.Outcome, error) {
	outcome, err := e.Engine.Order(ctx, o)
	if outcome == rankagent.Unanswered {
		e.onLost()
	}
	return outcome, err
}

// ordersLost reports whether an order got no answer within the last lostOrderWindow.
func (c *Controller) ordersLost() bool {
	at := c.lastLostOrder.Load()
	return at != 0 && time.Since(time.Unix(0, at)) < lostOrderWindow
}

// clients returns clients of the given agents, by rank.
func clients(agents []string) []rankagent.ClaimingReporter {
	out := make([]rankagent.ClaimingReporter, len(agents))
	for rank, address := range agents {
		out[rank] = rankagent.NewClient(address)
	}
	return out
}

// clients returns clients of the agents of all known ranks.
func (c *Controller) clients(g *group) []rankagent.ClaimingReporter {
	c.mu.Lock()
	defer c.mu.Unlock()
	var agents []string
	for i := range g.size {
		if r := g.ranks[i]; r != nil {
			agents = append(agents, r.Agent)
		}
	}
	return clients(agents)
}

// forEachAgent calls f for all agents in parallel and returns the joined errors.
func forEachAgent(agents []string, f func(rank int, agent string) error) error {
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
