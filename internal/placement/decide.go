package placement

import (
	"fmt"
	"slices"
	"time"
)

// Decide improves the present map by single changes and returns the prefix of
// them with the highest net gain. It is deterministic. An error wraps ErrInput.
func Decide(g Group, s State, p Policy) (Decision, error) {
	if err := g.validateLoads(s.Loads, s.Speeds); err != nil {
		return Decision{}, err
	}
	if len(s.Present) != len(s.Loads) {
		return Decision{}, fmt.Errorf("%w: map of %d experts for %d loads", ErrInput, len(s.Present), len(s.Loads))
	}
	if err := g.ValidateMap(s.Present); err != nil {
		return Decision{}, err
	}
	if !finite(s.BytesPerSecond) || s.BytesPerSecond <= 0 {
		return Decision{}, fmt.Errorf("%w: weight store rate %v", ErrInput, s.BytesPerSecond)
	}
	if s.MaxNewPerRank != nil && len(s.MaxNewPerRank) != g.Ranks {
		return Decision{}, fmt.Errorf("%w: room for %d of %d ranks", ErrInput, len(s.MaxNewPerRank), g.Ranks)
	}
	x := newSearch(g, s)
	x.targets = p.MaxTargets
	before := Skew(x.times)
	stay := Decision{Map: s.Present, SkewBefore: before, SkewAfter: before}
	if x.ideal == 0 || x.excess() <= p.TriggerSkew {
		return stay, nil
	}
	return x.improve(s, p, stay), nil
}

// maxForced bounds the changes of a decision that are made at a loss. Two let
// both of two equally slow ranks be relieved.
const maxForced = 2

// improve makes changes until the map is even, and returns the best decision on
// the way.
func (x *search) improve(s State, p Policy, stay Decision) Decision {
	slowest := slices.Max(x.times)
	best := stay
	forced := 0
	for range p.MaxChanges {
		c, ok := x.best()
		if !ok && !best.Change && forced < maxForced {
			c, ok = x.forced()
			forced++
		}
		if !ok {
			break
		}
		x.commit(c)
		gain := 1 - slices.Max(x.times)/slowest
		d := x.value(s, p, gain)
		if d.LoadTime > p.MaxLoading && best.Change {
			break
		}
		if gain >= p.MinGain && d.NetGain > best.NetGain {
			d.Map, d.Change, d.SkewBefore = x.m.Clone(), true, stay.SkewBefore
			best = d
		}
		if x.excess() <= p.StopSkew {
			break
		}
	}
	return best
}

// value weighs the relative gain in step time, which begins when the weights
// have arrived, against the time that is lost while they load.
func (x *search) value(s State, p Policy, gain float64) Decision {
	bytes := int64(x.m.Loaded(s.Present)) * x.group.BytesPerExpert
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
