// Package placement decides which ranks of a model group hold which experts of
// one layer. It performs no I/O: the caller measures loads and step times, and
// switches the group to the map that a decision proposes.
package placement

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Map lists, for each expert, the ranks that hold a replica, in ascending order.
// The tokens of an expert are split evenly over its replicas.
type Map [][]int

// Clone returns a deep copy.
func (m Map) Clone() Map {
	c := make(Map, len(m))
	for expert, ranks := range m {
		c[expert] = slices.Clone(ranks)
	}
	return c
}

// AddedReplicas returns the number of replicas in m that are not in before. Each of
// them is read from the weight store once.
func (m Map) AddedReplicas(before Map) int {
	n := 0
	for expert, ranks := range m {
		for _, rank := range ranks {
			if !slices.Contains(before[expert], rank) {
				n++
			}
		}
	}
	return n
}

// Group describes the fixed properties of a model group, for one layer.
type Group struct {
	// Ranks is the number of ranks.
	Ranks int
	// SlotsPerRank is the number of experts that a rank can hold, including spare
	// slots for replicas.
	SlotsPerRank int
	// BytesPerExpert is the size of one expert's weights, in bytes.
	BytesPerExpert int64
}

// State holds the measurements and the map in use when a decision is made.
type State struct {
	// Loads is the expected number of tokens routed to each expert in a window, as
	// a Smoother returns it.
	Loads []float64
	// Speeds is the relative speed of each rank; 1 is normal.
	Speeds []float64
	// Current is the map in use.
	Current Map
	// MaxNewPerRank limits, for each rank, the experts that a decision adds to those
	// that the rank has in Current; nil means no limit.
	MaxNewPerRank []int
	// BytesPerSecond is the share of the weight store's read rate that this layer
	// of this group may use.
	BytesPerSecond float64
}

// Policy holds the parameters of a decision.
type Policy struct {
	// Horizon is how long a new map is expected to stay useful.
	Horizon time.Duration
	// TriggerSkew is the skew up to which the map is kept unchanged.
	TriggerSkew float64
	// StopSkew is the skew at which the search ends.
	StopSkew float64
	// MinGain is the minimum relative reduction of the step time for a new map.
	MinGain float64
	// LoadingCost is the fraction of the step time that is lost while weights load.
	LoadingCost float64
	// MaxLoading limits the time to load the weights of one decision, because the
	// measured loads are older by that time when the map takes effect. The first
	// changes that gain anything are exempt.
	MaxLoading time.Duration
	// MaxChanges limits the changes in one decision, and thus its computing time.
	MaxChanges int
	// MaxTargets limits the ranks that a change may add an expert to: only the
	// least loaded ones are considered. 0 means all. The computing time of a
	// decision grows with it.
	MaxTargets int
}

// DefaultPolicy returns the policy for loads that are measured over Window and
// smoothed with DefaultSmoothingPolicy.
func DefaultPolicy() Policy {
	return Policy{
		Horizon: 15 * time.Minute,
		// Half of the allowed excess is reserved for drift while weights load.
		TriggerSkew: 1.05,
		StopSkew:    1.02,
		// TriggerSkew filters noise. Several ranks are often almost equally slow, and
		// 0.01 suppressed the changes that relieve them one after the other.
		MinGain: 0.003,
		// Depends on the engine's link to the weight store.
		LoadingCost: 0.02,
		MaxLoading:  Window,
		MaxChanges:  64,
	}
}

// Decision is the result of Decide.
type Decision struct {
	// Map is the map to switch to; it is the current map when Change is false.
	Map Map
	// Change reports whether the group should switch.
	Change bool
	// SkewBefore and SkewAfter are the expected skews with the two maps.
	SkewBefore, SkewAfter float64
	// Bytes is the number of bytes that the ranks read from the weight store.
	Bytes int64
	// LoadTime is the duration of these reads at State.BytesPerSecond.
	LoadTime time.Duration
	// NetGain is the step time saved over the horizon minus the cost of loading.
	NetGain time.Duration
}

// ErrInput is wrapped by every error about an invalid group or state.
var ErrInput = errors.New("invalid placement input")

func (g Group) validate(experts int) error {
	switch {
	case g.Ranks < 1 || g.SlotsPerRank < 1 || g.BytesPerExpert < 1:
		return fmt.Errorf("%w: ranks, slots per rank and bytes per expert must be positive", ErrInput)
	case experts == 0:
		return fmt.Errorf("%w: no experts", ErrInput)
	case g.Ranks*g.SlotsPerRank < experts:
		return fmt.Errorf("%w: %d slots for %d experts", ErrInput, g.Ranks*g.SlotsPerRank, experts)
	}
	return nil
}

func (g Group) validateLoads(loads, speeds []float64) error {
	if err := g.validate(len(loads)); err != nil {
		return err
	}
	if len(speeds) != g.Ranks {
		return fmt.Errorf("%w: %d speeds for %d ranks", ErrInput, len(speeds), g.Ranks)
	}
	for expert, load := range loads {
		if !finite(load) || load < 0 {
			return fmt.Errorf("%w: load of expert %d is %v", ErrInput, expert, load)
		}
	}
	for rank, speed := range speeds {
		if !finite(speed) || speed <= 0 {
			return fmt.Errorf("%w: speed of rank %d is %v", ErrInput, rank, speed)
		}
	}
	return nil
}

// ValidateMap returns an error that wraps ErrInput when an expert has no
// replica, a replica is out of order or on an unknown rank, or a rank holds more
// experts than it has slots.
func (g Group) ValidateMap(m Map) error {
	if err := g.validate(len(m)); err != nil {
		return err
	}
	used := make([]int, g.Ranks)
	for expert, ranks := range m {
		if len(ranks) == 0 {
			return fmt.Errorf("%w: expert %d has no replica", ErrInput, expert)
		}
		for i, rank := range ranks {
			if rank < 0 || rank >= g.Ranks || (i > 0 && ranks[i-1] >= rank) {
				return fmt.Errorf("%w: ranks %v of expert %d are unknown or not in ascending order", ErrInput, ranks, expert)
			}
			used[rank]++
		}
	}
	for rank, n := range used {
		if n > g.SlotsPerRank {
			return fmt.Errorf("%w: rank %d holds %d experts in %d slots", ErrInput, rank, n, g.SlotsPerRank)
		}
	}
	return nil
}
