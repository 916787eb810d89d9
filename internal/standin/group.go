package standin

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// GroupConfig holds the parameters of a stand-in model group.
type GroupConfig struct {
	Model string
	Ranks int
	// Step is the duration of a step.
	Step time.Duration
}

// groupRank is the state of one rank's engine.
type groupRank struct {
	epoch uint64
	owner string
	// current is the committed map, which is in use from step switchStep on;
	// previous is in use before that step.
	current    uint64
	previous   uint64
	switchStep uint64
	prepared   uint64
	// held means that step holdStep and later ones must not run.
	held     bool
	holdStep uint64
}

// Group is the stand-in for the engines of a model group. They run in
// lock-step: a step runs only if no rank is held before it.
type Group struct {
	config GroupConfig
	start  fleet.StartID

	mu     sync.Mutex
	ranks  []groupRank
	counts GroupCounts
}

// GroupCounts is the response of GET /control/steps.
type GroupCounts struct {
	// Step is the number of the next step.
	Step uint64 `json:"step"`
	// Mixed counts the steps in which two ranks used different maps.
	Mixed int `json:"mixed"`
	// HeldSteps counts the step intervals in which no step ran because a rank
	// was held, and LongestHold is the largest number of them in a row.
	HeldSteps   int `json:"held_steps"`
	LongestHold int `json:"longest_hold"`
	// Switches counts the steps whose map differs from that of the step before,
	// and Map is the map of the last step on rank 0.
	Switches int    `json:"switches"`
	Map      uint64 `json:"map"`

	consecutiveHeld int
}

// NewGroup returns a group, which runs its steps in Run.
func NewGroup(c GroupConfig) *Group {
	return &Group{config: c, start: fleet.NewStartID(), ranks: make([]groupRank, c.Ranks)}
}

// Run runs steps until ctx is done.
func (g *Group) Run(ctx context.Context) {
	for sleep(ctx, g.config.Step) {
		g.Advance()
	}
}

// Advance runs the next step unless a rank is held before it.
func (g *Group) Advance() {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.counts
	for i := range g.ranks {
		if g.ranks[i].held && g.ranks[i].holdStep <= c.Step {
			c.HeldSteps++
			c.consecutiveHeld++
			c.LongestHold = max(c.LongestHold, c.consecutiveHeld)
			return
		}
	}
	c.consecutiveHeld = 0
	first := g.ranks[0].mapAt(c.Step)
	for i := range g.ranks {
		if g.ranks[i].mapAt(c.Step) != first {
			c.Mixed++
			break
		}
	}
	if first != c.Map {
		c.Switches++
		c.Map = first
	}
	c.Step++
}

// mapAt returns the map in use at a step.
func (r *groupRank) mapAt(step uint64) uint64 {
	if step < r.switchStep {
		return r.previous
	}
	return r.current
}

// Counts returns the group's counters.
func (g *Group) Counts() GroupCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Map executes a call of a map change at one rank.
func (g *Group) Map(rank int, m wire.MapCall) wire.MapAnswer {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.ranks[rank]
	reason := r.refusal(m)
	if reason == "" {
		reason = r.apply(m, g.counts.Step)
	}
	return wire.MapAnswer{
		OK: reason == "", Reason: reason, Epoch: r.epoch, Owner: r.owner, Step: g.counts.Step,
		Current: r.current, Prepared: r.prepared, Held: r.held,
	}
}

// refusal returns why the epoch of a call is refused, or "". A call for the
// state claims a higher epoch; any other call must be of the epoch that was
// claimed last.
func (r *groupRank) refusal(m wire.MapCall) string {
	same := m.Epoch == r.epoch && m.Owner == r.owner
	if m.Action == wire.MapState && m.Epoch > r.epoch {
		r.epoch, r.owner = m.Epoch, m.Owner
		return ""
	}
	if !same {
		return "old_epoch"
	}
	return ""
}

// apply executes a call and returns the reason for a refusal, or "".
func (r *groupRank) apply(m wire.MapCall, step uint64) string {
	switch m.Action {
	case wire.MapPrepare:
		if step < r.switchStep {
			return "switch_pending"
		}
		if !r.held {
			r.prepared = m.Number
		}
	case wire.MapHold:
		return r.holdBefore(m, step)
	case wire.MapSwitch:
		return r.applyDecision(m)
	}
	return ""
}

// holdBefore holds the rank before the step of the call.
func (r *groupRank) holdBefore(m wire.MapCall, step uint64) string {
	switch {
	case r.current == m.Number:
		return "already_decided"
	case r.prepared != m.Number:
		return "not_prepared"
	case step > m.Step:
		return "step_passed"
	}
	r.held, r.holdStep = true, m.Step
	return ""
}

// applyDecision commits or discards the prepared map. A committed map is in use
// from the held step on.
func (r *groupRank) applyDecision(m wire.MapCall) string {
	switch {
	case !m.Commit:
		r.held, r.prepared = false, 0
	case r.current == m.Number: // a repeated decision
	case r.held && r.prepared == m.Number:
		r.previous, r.current, r.switchStep = r.current, m.Number, r.holdStep
		r.held, r.prepared = false, 0
	default:
		return "not_held"
	}
	return ""
}

// Handler returns a handler for the protocol of each rank below /ranks/N and
// for the control paths.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /ranks/{rank}/v1/map/{action}", g.serveMap)
	mux.HandleFunc("GET /ranks/{rank}/health", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, Health{Start: strconv.FormatUint(uint64(g.start), 10), Model: g.config.Model, Slots: 1})
	})
	mux.HandleFunc("GET /control/steps", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.Counts()) })
	return mux
}

func (g *Group) serveMap(w http.ResponseWriter, r *http.Request) {
	rank, err := strconv.Atoi(r.PathValue("rank"))
	if err != nil || rank < 0 || rank >= len(g.ranks) {
		http.Error(w, fmt.Sprintf("rank must be from 0 to %d", len(g.ranks)-1), http.StatusNotFound)
		return
	}
	var m wire.MapCall
	if readJSON(w, r, &m) {
		m.Action = wire.MapAction(r.PathValue("action"))
		writeJSON(w, g.Map(rank, m))
	}
}
