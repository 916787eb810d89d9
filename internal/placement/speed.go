package placement

import (
	"fmt"
	"slices"
)

// SpeedPolicy holds the parameters of a SpeedEstimator.
type SpeedPolicy struct {
	// Windows is the number of windows that are kept.
	Windows int
	// MinWindows is the least number of windows for a judgement.
	MinWindows int
	// SlowBelow is the speed below which a rank is called slow.
	SlowBelow float64
	// NormalAbove is the speed above which a slow rank is normal again. The
	// distance to SlowBelow keeps a rank from changing sides on noise.
	NormalAbove float64
	// FixedTime is the part of a step's time that does not depend on load, in
	// the unit of the measured times.
	FixedTime float64
	// MinLoadShare is the least load, as a part of the mean, from which a speed
	// can be read: the fixed time covers the rest.
	MinLoadShare float64
}

// DefaultSpeedPolicy returns a policy that tolerates wrong times in almost half
// of the windows.
func DefaultSpeedPolicy() SpeedPolicy {
	return SpeedPolicy{Windows: 9, MinWindows: 5, SlowBelow: 0.90, NormalAbove: 0.95, MinLoadShare: 0.2}
}

// SpeedEstimator tells slow ranks from loaded ones. The time per token of a rank
// is compared with that of the other ranks in the same window, so that load
// explains itself, and the median over windows rejects outliers.
type SpeedEstimator struct {
	policy  SpeedPolicy
	samples [][]float64 // per rank, latest last
	slow    []bool
}

// NewSpeedEstimator returns a SpeedEstimator for a number of ranks.
func NewSpeedEstimator(ranks int, p SpeedPolicy) *SpeedEstimator {
	return &SpeedEstimator{policy: p, samples: make([][]float64, ranks), slow: make([]bool, ranks)}
}

// Add takes each rank's tokens and own busy time in one window. The time spent
// waiting for other ranks must not be included: it is the same for all ranks of
// a step. An error wraps ErrInput.
func (s *SpeedEstimator) Add(tokens, times []float64) error {
	if len(tokens) != len(s.samples) || len(times) != len(s.samples) {
		return fmt.Errorf("%w: %d token counts and %d times for %d ranks", ErrInput, len(tokens), len(times), len(s.samples))
	}
	mean := 0.0
	for _, n := range tokens {
		mean += n / float64(len(tokens))
	}
	costs := make([]float64, len(tokens))
	var usable []float64
	for rank, n := range tokens {
		cost := (times[rank] - s.policy.FixedTime) / n
		if n > 0 && n >= mean*s.policy.MinLoadShare && finite(cost) && cost > 0 {
			costs[rank] = cost
			usable = append(usable, cost)
		}
	}
	if len(usable) < 2 {
		return nil
	}
	normal := lowerMedian(usable)
	for rank, cost := range costs {
		if cost > 0 {
			s.add(rank, normal/cost)
		}
	}
	return nil
}

func (s *SpeedEstimator) add(rank int, speed float64) {
	kept := append(s.samples[rank], speed)
	if len(kept) > s.policy.Windows {
		kept = slices.Delete(kept, 0, 1)
	}
	s.samples[rank] = kept
	if len(kept) < s.policy.MinWindows {
		return
	}
	limit := s.policy.SlowBelow
	if s.slow[rank] {
		limit = s.policy.NormalAbove
	}
	s.slow[rank] = lowerMedian(kept) < limit
}

// Speeds returns the relative speeds. A rank that is not slow has exactly 1, so
// that noise in its times moves no experts.
func (s *SpeedEstimator) Speeds() []float64 {
	speeds := slices.Repeat([]float64{1}, len(s.samples))
	for _, rank := range s.Slow() {
		speeds[rank] = lowerMedian(s.samples[rank])
	}
	return speeds
}

// Slow returns the ranks to report as slow machines, in ascending order.
func (s *SpeedEstimator) Slow() []int {
	var ranks []int
	for rank, slow := range s.slow {
		if slow {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// lowerMedian returns the lower of the two middle values of an even count: two
// slow ranks of four must not become the measure for the others.
func lowerMedian(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
