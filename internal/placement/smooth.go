package placement

import (
	"math"
	"slices"
	"time"
)

// Window is the time over which load is measured. It is close to the time in
// which one expert loads: a longer one delays each decision, and in a shorter one
// the noise of the loads costs as much as the delay.
const Window = 30 * time.Second

// SmoothingPolicy holds the parameters of a Smoother, all in windows.
type SmoothingPolicy struct {
	// HalfLife is the half-life of a measured load; 0 keeps the latest only.
	HalfLife float64
	// TrendHalfLife is the half-life of a measured change of load; 0 follows no
	// trend.
	TrendHalfLife float64
	// Ahead is how far the loads are predicted.
	Ahead float64
}

// DefaultSmoothingPolicy returns the policy for windows of Window.
func DefaultSmoothingPolicy() SmoothingPolicy {
	return SmoothingPolicy{
		// A third of the variance of a window's noise is left.
		HalfLife: 1,
		// Drift keeps its direction for minutes.
		TrendHalfLife: 13.5,
		// Weights load during the window after the decision, and the map serves
		// from the next one on.
		Ahead: 2,
	}
}

// Smoother is a double exponential smoothing of measured loads. Without the
// trend the maps of 64 ranks lag behind the drift.
type Smoother struct {
	gain, trendGain, ahead float64
	level, trend           []float64
}

// NewSmoother returns a smoother without any measurement.
func NewSmoother(p SmoothingPolicy) *Smoother {
	s := &Smoother{gain: 1, ahead: p.Ahead}
	if p.HalfLife > 0 {
		s.gain = -math.Expm1(-math.Ln2 / p.HalfLife)
	}
	if p.TrendHalfLife > 0 {
		s.trendGain = -math.Expm1(-math.Ln2 / p.TrendHalfLife)
	}
	return s
}

// Add takes the loads of one window and returns the predicted loads.
func (s *Smoother) Add(window []float64) []float64 {
	if len(s.level) != len(window) {
		s.level, s.trend = slices.Clone(window), make([]float64, len(window))
		return slices.Clone(window)
	}
	predicted := make([]float64, len(window))
	for i, load := range window {
		before := s.level[i]
		s.level[i] += s.gain*(load-before) + (1-s.gain)*s.trend[i]
		s.trend[i] += s.trendGain * (s.level[i] - before - s.trend[i])
		predicted[i] = max(0, s.level[i]+s.ahead*s.trend[i])
	}
	return predicted
}
