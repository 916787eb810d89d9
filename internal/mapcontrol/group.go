package mapcontrol

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/peers"
	"github.com/coltsfootbay/coltsfootbay/internal/placement"
	"github.com/coltsfootbay/coltsfootbay/internal/rankagent"
)

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
	// nextPlan is when a plan is tried again without a shift of demand.
	nextPlan time.Time
	told     time.Time
	// toldAgents is when the agents got the last message.
	toldAgents time.Time
}

type rank struct {
	peers.Report
	at time.Time
}

// avoid reports whether a rank should get no new requests: it is slow, which
// makes all ranks wait for its own part of a pass, or its machine is silent while
// others are heard.
func (g *group) avoid(r *rank, now time.Time) bool {
	if r.Slowdown > slowPace {
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

// running returns how many requests the ranks that were heard lately run on
// average, and how many ranks these are.
func (g *group) running(now time.Time) (mean float64, fresh int) {
	sum := 0
	for _, r := range g.ranks {
		if now.Sub(r.at) <= reportLifetime {
			sum += r.Running
			fresh++
		}
	}
	return float64(sum) / float64(max(fresh, 1)), fresh
}

func (g *group) begin() { g.changing, g.heldSince = true, time.Time{} }

// complete reports whether all ranks reported lately in the same open epoch.
func (g *group) complete(now time.Time) bool {
	if g.size == 0 || len(g.ranks) != g.size {
		return false
	}
	for i := range g.size {
		r := g.ranks[i]
		if r == nil || r.Epoch != g.epoch || !r.Accepting || now.Sub(r.at) > reportLifetime {
			return false
		}
	}
	return true
}

func (g *group) sameMap() bool {
	for _, r := range g.ranks {
		if r.Map != g.ranks[0].Map || r.HoldPass != 0 || r.Armed != 0 {
			return false
		}
	}
	return true
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
			lost := func() { c.lostAt.Store(time.Now().UnixNano()) }
			out = append(out, watchedEngine{Engine: c.Engine(r.Engine), lost: lost})
		}
	}
	return out, len(out) == g.size && g.size > 0
}

// speeds returns the relative speed of each rank.
func (g *group) speeds() []float64 {
	out := make([]float64, g.size)
	for i := range out {
		out[i] = 1
		if pace := g.ranks[i].Slowdown; pace > 0 {
			out[i] = 1 / pace
		}
	}
	return out
}
