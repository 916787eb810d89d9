package admission

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of caller timeouts that are kept per route, and
	// minSamples the number from which their percentile is used.
	maxSamples = 64
	minSamples = 16
	// typicalPercentile is the percentile of the samples that is the typical caller
	// timeout. It is near the maximum because retrying callers have less time left, and
	// below it because a few callers have a longer timeout.
	typicalPercentile = 90
	// retryFraction is the fraction of the typical caller timeout below which a request
	// counts as a retry. Callers that obey Retry-After have used up to a third of their
	// timeout.
	retryFraction = 0.8
	// retryWindow is the time after a refusal in which its caller may retry.
	retryWindow = 6 * time.Second
	// recentRefusalPeriod is the time after a refusal for which slots count as scarce.
	recentRefusalPeriod = 3 * time.Second
)

// RetryDetector distinguishes callers that retry after a refusal from those that send
// their first request. It compares the caller's remaining timeout with the typical
// timeout of the callers of the route. It is not safe for concurrent use.
type RetryDetector struct {
	routes      map[string]*timeoutSamples
	lastRefusal time.Time
}

// timeoutSamples holds the most recent caller timeouts of a route.
type timeoutSamples struct {
	samples []time.Duration
	count   int
	typical time.Duration
}

// NewRetryDetector returns a RetryDetector without samples. It treats now as the time of
// a refusal, because callers that a previous process refused or disconnected may retry.
func NewRetryDetector(now time.Time) *RetryDetector {
	return &RetryDetector{routes: map[string]*timeoutSamples{}, lastRefusal: now}
}

// RecordRefusal records that a caller was asked to retry.
func (c *RetryDetector) RecordRefusal(now time.Time) { c.lastRefusal = now }

// RefusedRecently reports whether callers were asked to retry recently.
func (c *RetryDetector) RefusedRecently(now time.Time) bool {
	return now.Sub(c.lastRefusal) < recentRefusalPeriod
}

// Observe records the timeout of a caller of a route, and reports whether the caller
// retries after a refusal. longest is the timeout of the route, which is used as the
// typical timeout until there are enough samples. If no caller was refused recently, a
// short timeout is the caller's own choice and not a sign of a retry.
func (c *RetryDetector) Observe(route string, timeout, longest time.Duration, now time.Time) bool {
	timeouts := c.routes[route]
	if timeouts == nil {
		timeouts = &timeoutSamples{}
		c.routes[route] = timeouts
	}
	timeouts.add(timeout)
	if now.Sub(c.lastRefusal) > retryWindow {
		return false
	}
	typical := timeouts.typical
	if len(timeouts.samples) < minSamples {
		typical = longest
	}
	return timeout < time.Duration(retryFraction*float64(typical))
}

func (w *timeoutSamples) add(timeout time.Duration) {
	// updateInterval is the number of callers after which the typical timeout is
	// recomputed.
	const updateInterval = 8
	if len(w.samples) < maxSamples {
		w.samples = append(w.samples, timeout)
	} else {
		w.samples[w.count%maxSamples] = timeout
	}
	w.count++
	if w.count%updateInterval == 0 {
		w.typical = slices.Sorted(slices.Values(w.samples))[typicalPercentile*len(w.samples)/100]
	}
}
