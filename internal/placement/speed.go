package placement

import (
	"fmt"
	"slices"
)

// SpeedPolicy holds the parameters of a SpeedEstimator.
type SpeedPolicy struct {
	// Windows is the number of samples that are kept for each rank.
	Windows int
	// MinWindows is the number of samples needed to classify a rank.
	MinWindows int
	// SlowBelow is the speed below which a rank is classified as slow.
	SlowBelow float64
	// NormalAbove is the speed from which a slow rank is normal again. The distance
	// to SlowBelow is a hysteresis against noise.
	NormalAbove float64
	// FixedTime is the part of the step time that does not depend on load, in the
	// unit of the measured times.
	FixedTime float64
	// MinLoadShare is the minimum load, as a fraction of the mean, for a speed
	// sample: below it the fixed time dominates.
	MinLoadShare float64
}

// DefaultSpeedPolicy returns a policy that tolerates outliers in almost half of the
// windows.
func DefaultSpeedPolicy() SpeedPolicy {
	return SpeedPolicy{Windows: 9, MinWindows: 5, SlowBelow: 0.90, NormalAbove: 0.95, MinLoadShare: 0.2}
}

// SpeedEstimator distinguishes slow ranks from highly loaded ones. It compares the
// time per token of a rank with that of the other ranks in the same window, which
// removes the effect of load, and takes the median over windows to reject outliers.
type SpeedEstimator struct {
	policy  SpeedPolicy
	samples [][]float64 // per rank, latest last
	slow    []bool
}

// NewSpeedEstimator returns an estimator for a number of ranks.
func NewSpeedEstimator(ranks int, p SpeedPolicy) *SpeedEstimator {
	return &SpeedEstimator{policy: p, samples: make([][]float64, ranks), slow: make([]bool, ranks)}
}

// Add records each rank's tokens and its own busy time in one window. Busy time must
// not include waiting for other ranks, because step times are the same for all ranks
// then. Errors wrap ErrInput.
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
	medianCost := lowerMedian(usable)
	for rank, cost := range costs {
		if cost > 0 {
			s.addSample(rank, medianCost/cost)
		}
	}
	return nil
}

// addSample records a relative speed and updates the classification of the rank.
func (s *SpeedEstimator) addSample(rank int, speed float64) {
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

// Speeds returns the relative speed of each rank. It is exactly 1 for ranks that are
// not slow, so noise in their times moves no experts.
func (s *SpeedEstimator) Speeds() []float64 {
	speeds := slices.Repeat([]float64{1}, len(s.samples))
	for _, rank := range s.Slow() {
		speeds[rank] = lowerMedian(s.samples[rank])
	}
	return speeds
}

// Slow returns the ranks that are classified as slow, in ascending order.
func (s *SpeedEstimator) Slow() []int {
	var ranks []int
	for rank, slow := range s.slow {
		if slow {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// lowerMedian returns the median, and the lower of the two middle values for an even
// count: two slow ranks of four must not become the reference for the others.
func lowerMedian(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
