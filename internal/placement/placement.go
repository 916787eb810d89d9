// Package placement decides which ranks of a model group hold which experts of
// one layer. It holds no connections: the caller measures loads and step times,
// and switches the group to the map that a decision proposes.
package placement

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Map gives, for each expert, the ranks that hold a replica, in ascending
// order. The tokens of an expert are split evenly over its replicas.
type Map [][]int

// Clone returns a deep copy.
func (m Map) Clone() Map {
	c := make(Map, len(m))
	for expert, ranks := range m {
		c[expert] = slices.Clone(ranks)
	}
	return c
}

// Loaded returns the number of replicas in m that before does not have. Each of
// them is read from the weight store once.
func (m Map) Loaded(before Map) int {
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

// Group is the fixed part of a model group, for one layer.
type Group struct {
	// Ranks is the number of ranks.
	Ranks int
	// SlotsPerRank is the number of experts that a rank can hold, spare slots
	// for replicas included.
	SlotsPerRank int
	// BytesPerExpert is the size of one expert's weights, in bytes.
	BytesPerExpert int64
}

// State is what is measured and in force when a decision is made.
type State struct {
	// Loads is the expected number of tokens routed to each expert in a window, as
	// a Smoother returns it.
	Loads []float64
	// Speeds is the relative speed of each rank; a normal rank has 1.
	Speeds []float64
	// Present is the map in force.
	Present Map
	// MaxNewPerRank is how many experts that Present does not have at a rank the decision
	// may give it, for each rank; nil means no limit.
	MaxNewPerRank []int
	// BytesPerSecond is the part of the weight store's rate that this layer of
	// this group may use.
	BytesPerSecond float64
}

// Policy holds the parameters of a decision.
type Policy struct {
	// Horizon is how long a new map is expected to stay useful.
	Horizon time.Duration
	// TriggerSkew is the skew up to which the map is left alone.
	TriggerSkew float64
	// StopSkew is the skew at which the search ends.
	StopSkew float64
	// MinGain is the least relative gain in step time for which a map is changed.
	MinGain float64
	// LoadingCost is the part of the step time that is lost while weights load.
	LoadingCost float64
	// MaxLoading bounds the time in which the weights of one decision load, except
	// for the first changes that gain anything: the measured loads are older by
	// that time when the map takes effect.
	MaxLoading time.Duration
	// MaxChanges bounds the changes in one decision, and with them its time.
	MaxChanges int
	// MaxTargets bounds the ranks that a change may bring an expert to, the least
	// loaded ones; 0 means all. The time of a decision grows with it.
	MaxTargets int
}

// DefaultPolicy returns the policy for loads that are measured over Window and
// smoothed with DefaultSmoothingPolicy.
func DefaultPolicy() Policy {
	return Policy{
		Horizon: 15 * time.Minute,
		// Half of the allowed excess is kept for drift while weights load.
		TriggerSkew: 1.05,
		StopSkew:    1.02,
		// TriggerSkew keeps noise out. Several ranks are often almost equally slow,
		// and 0.01 held back the changes that relieve them one after the other.
		MinGain: 0.003,
		// Not measured: it depends on the engine's link to the weight store.
		LoadingCost: 0.02,
		MaxLoading:  Window,
		MaxChanges:  64,
	}
}

// Decision is the outcome of Decide.
type Decision struct {
	// Map is the map to switch to; it is the present map when Change is false.
	Map Map
	// Change tells whether the group should switch.
	Change bool
	// SkewBefore and SkewAfter are the expected skews with the two maps.
	SkewBefore, SkewAfter float64
	// Bytes is what the ranks read from the weight store.
	Bytes int64
	// LoadTime is the time of these reads at the given rate.
	LoadTime time.Duration
	// NetGain is the step time saved over the horizon, less the cost of loading.
	NetGain time.Duration
}

// ErrInput is wrapped by every error about an unusable group or state.
var ErrInput = errors.New("unusable placement input")

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
				return fmt.Errorf("%w: ranks %v of expert %d", ErrInput, ranks, expert)
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
