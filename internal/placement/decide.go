package placement

import (
	"fmt"
	"slices"
	"time"
)

// Decide improves the current map by single changes and returns the prefix of
// these changes that has the highest net gain. It is deterministic. Errors wrap
// ErrInput.
func Decide(g Group, s State, p Policy) (Decision, error) {
	if err := g.validateLoads(s.Loads, s.Speeds); err != nil {
		return Decision{}, err
	}
	if len(s.Current) != len(s.Loads) {
		return Decision{}, fmt.Errorf("%w: map of %d experts for %d loads", ErrInput, len(s.Current), len(s.Loads))
	}
	if err := g.ValidateMap(s.Current); err != nil {
		return Decision{}, err
	}
	if !finite(s.BytesPerSecond) || s.BytesPerSecond <= 0 {
		return Decision{}, fmt.Errorf("%w: weight store rate %v", ErrInput, s.BytesPerSecond)
	}
	if s.MaxNewPerRank != nil && len(s.MaxNewPerRank) != g.Ranks {
		return Decision{}, fmt.Errorf("%w: replica limits for %d of %d ranks", ErrInput, len(s.MaxNewPerRank), g.Ranks)
	}
	x := newSearch(g, s)
	x.maxTargets = p.MaxTargets
	before := Skew(x.times)
	unchanged := Decision{Map: s.Current, SkewBefore: before, SkewAfter: before}
	if x.idealTime == 0 || x.relativeMaxTime() <= p.TriggerSkew {
		return unchanged, nil
	}
	return x.improve(s, p, unchanged), nil
}

// maxLossyChanges limits the changes of a decision that increase the objective.
// Two are enough to relieve both of two equally slow ranks.
const maxLossyChanges = 2

// improve applies changes until the map is balanced, and returns the best decision
// seen during the search.
func (x *search) improve(s State, p Policy, unchanged Decision) Decision {
	slowest := slices.Max(x.times)
	best := unchanged
	lossyChanges := 0
	for range p.MaxChanges {
		c, ok := x.bestChange()
		if !ok && !best.Change && lossyChanges < maxLossyChanges {
			c, ok = x.leastLossReplication()
			lossyChanges++
		}
		if !ok {
			break
		}
		x.commit(c)
		gain := 1 - slices.Max(x.times)/slowest
		d := x.evaluate(s, p, gain)
		if d.LoadTime > p.MaxLoading && best.Change {
			break
		}
		if gain >= p.MinGain && d.NetGain > best.NetGain {
			d.Map, d.Change, d.SkewBefore = x.working.Clone(), true, unchanged.SkewBefore
			best = d
		}
		if x.relativeMaxTime() <= p.StopSkew {
			break
		}
	}
	return best
}

// evaluate returns the decision for the working map, except for the map itself. The
// net gain is the reduction of the step time, which takes effect when the weights
// are loaded, minus the time that is lost while they load.
func (x *search) evaluate(s State, p Policy, gain float64) Decision {
	bytes := int64(x.working.AddedReplicas(s.Current)) * x.group.BytesPerExpert
	loading := float64(bytes) / s.BytesPerSecond
	useful := max(0, p.Horizon.Seconds()-loading)
	return Decision{
		SkewAfter: Skew(x.times),
		Bytes:     bytes,
		LoadTime:  seconds(loading),
		NetGain:   seconds(gain*useful - p.LoadingCost*loading),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
