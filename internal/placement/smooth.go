package placement

import (
	"math"
	"slices"
	"time"
)

// Window is the period over which load is measured. It is close to the time that
// loading one expert takes: a longer window delays each decision, and in a shorter
// one the noise of the loads costs as much as that delay.
const Window = 30 * time.Second

// SmoothingPolicy holds the parameters of a Smoother, in units of windows.
type SmoothingPolicy struct {
	// HalfLife is the half-life of a measured load; 0 uses the latest load only.
	HalfLife float64
	// TrendHalfLife is the half-life of a measured change of load; 0 disables the
	// trend.
	TrendHalfLife float64
	// ForecastWindows is how far ahead the loads are predicted.
	ForecastWindows float64
}

// DefaultSmoothingPolicy returns the policy for windows of Window.
func DefaultSmoothingPolicy() SmoothingPolicy {
	return SmoothingPolicy{
		// Leaves a third of the variance of a window's noise.
		HalfLife: 1,
		// Drift keeps its direction for minutes.
		TrendHalfLife: 13.5,
		// Weights load during the window after the decision, and the map is in use
		// from the next window on.
		ForecastWindows: 2,
	}
}

// Smoother applies double exponential smoothing to measured loads. Without the trend
// component the maps of 64 ranks lag behind the drift.
type Smoother struct {
	levelGain, trendGain, forecastWindows float64
	level, trend                          []float64
}

// NewSmoother returns a smoother without any measurements.
func NewSmoother(p SmoothingPolicy) *Smoother {
	s := &Smoother{levelGain: 1, forecastWindows: p.ForecastWindows}
	if p.HalfLife > 0 {
		s.levelGain = -math.Expm1(-math.Ln2 / p.HalfLife)
	}
	if p.TrendHalfLife > 0 {
		s.trendGain = -math.Expm1(-math.Ln2 / p.TrendHalfLife)
	}
	return s
}

// Add records the loads of one window and returns the predicted loads.
func (s *Smoother) Add(window []float64) []float64 {
	if len(s.level) != len(window) {
		s.level, s.trend = slices.Clone(window), make([]float64, len(window))
		return slices.Clone(window)
	}
	predicted := make([]float64, len(window))
	for i, load := range window {
		before := s.level[i]
		s.level[i] += s.levelGain*(load-before) + (1-s.levelGain)*s.trend[i]
		s.trend[i] += s.trendGain * (s.level[i] - before - s.trend[i])
		predicted[i] = max(0, s.level[i]+s.forecastWindows*s.trend[i])
	}
	return predicted
}
