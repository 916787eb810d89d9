package mapcontrol

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
	"github.com/coltsfootbay/coltsfootbay/internal/placement"
	"github.com/coltsfootbay/coltsfootbay/internal/rankagent"
)

// group is the state of a model group as reported by its ranks.
type group struct {
	name    string
	epoch   int64
	ranks   map[int]*rank
	size    int
	demand  demand
	limiter limiter
	// service is the service that the group's engines serve, as last configured; nil if it is
	// not known.
	service *deployment.Service
	// version is the version of maps, the maps in use; it is 0 and maps is nil if they
	// are unknown.
	version int64
	maps    []placement.Map
	// highestVersion is the highest version that was used or reported.
	highestVersion int64
	// clearPass is the last forward pass of the epoch that a switch may have held, as far as
	// is known. The next one is planned when that pass has begun.
	clearPass int64
	// changing is true while a change is in progress.
	changing bool
	// demandShifted is true if demand has shifted since the last plan.
	demandShifted bool
	// heldSince is when a rank was first held or armed while no change was in progress.
	heldSince time.Time
	// pausedUntil is when the next change may start.
	pausedUntil time.Time
	// nextPlan is when the next plan is computed unless demand shifts.
	nextPlan      time.Time
	lastBroadcast time.Time
	// lastAgentUpdate is when the agents were last sent a message.
	lastAgentUpdate time.Time
}

type rank struct {
	peers.Report
	reportedAt time.Time
}

// reportsEpoch reports whether a rank has reported the current epoch since a time.
func (g *group) reportsEpoch(since time.Time) bool {
	for _, r := range g.ranks {
		if r.Epoch == g.epoch && r.reportedAt.After(since) {
			return true
		}
	}
	return false
}

// shouldAvoid reports whether a rank should get no new requests: it is slow, which
// makes all ranks wait in each pass, or there is no recent report from its machine
// while other ranks report.
func (g *group) shouldAvoid(r *rank, now time.Time) bool {
	if r.Slowdown > avoidSlowdown {
		return true
	}
	sinceReport := now.Sub(r.reportedAt)
	if sinceReport < silenceTimeout {
		return false
	}
	for _, other := range g.ranks {
		if now.Sub(other.reportedAt) < silenceTimeout/2 {
			return true
		}
	}
	return false
}

// meanRunning returns the mean number of running requests of the ranks with a valid
// report, and the number of these ranks.
func (g *group) meanRunning(now time.Time) (mean float64, reporting int) {
	sum := 0
	for _, r := range g.ranks {
		if now.Sub(r.reportedAt) <= reportLifetime {
			sum += r.Running
			reporting++
		}
	}
	return float64(sum) / float64(max(reporting, 1)), reporting
}

func (g *group) beginChange() { g.changing, g.heldSince = true, time.Time{} }

// allReported reports whether all ranks have valid reports of the same open epoch.
func (g *group) allReported(now time.Time) bool {
	if g.size == 0 || len(g.ranks) != g.size {
		return false
	}
	for i := range g.size {
		r := g.ranks[i]
		if r == nil || r.Epoch != g.epoch || !r.Accepting || now.Sub(r.reportedAt) > reportLifetime {
			return false
		}
	}
	return true
}

// sameMap reports whether all ranks use the same map and none is held or armed.
func (g *group) sameMap() bool {
	for _, r := range g.ranks {
		if r.Map != g.ranks[0].Map || r.HoldPass != 0 || r.Armed != 0 {
			return false
		}
	}
	return true
}

// lastPass returns the last forward pass that a rank has begun.
func (g *group) lastPass() int64 {
	var pass int64
	for _, r := range g.ranks {
		pass = max(pass, r.Step)
	}
	return pass
}

// agents returns the addresses of the agents, by rank. All ranks must be known.
func (g *group) agents() []string {
	out := make([]string, g.size)
	for i := range out {
		out[i] = g.ranks[i].Agent
	}
	return out
}

// engines returns clients of the known engines of a group, and false unless all are
// known.
func (c *Controller) engines(g *group) ([]rankagent.Engine, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []rankagent.Engine
	for i := range g.size {
		if r := g.ranks[i]; r != nil && r.Epoch == g.epoch {
			lost := func() { c.lastLostOrder.Store(time.Now().UnixNano()) }
			out = append(out, lossRecordingEngine{Engine: c.Engine(r.Engine), onLost: lost})
		}
	}
	return out, len(out) == g.size && g.size > 0
}

// speeds returns the relative speed of each rank. All ranks must be known.
func (g *group) speeds() []float64 {
	out := make([]float64, g.size)
	for i := range out {
		out[i] = 1
		if slowdown := g.ranks[i].Slowdown; slowdown > 0 {
			out[i] = 1 / slowdown
		}
	}
	return out
}
