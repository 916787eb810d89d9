package gateway

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// Metrics holds the metrics of a gateway.
type Metrics struct {
	scope tally.Scope
	// Refused counts the requests that the gateway refused without relaying a response.
	Refused tally.Counter
	// Resumed counts the streams that were continued at another server.
	Resumed tally.Counter
	// Broken counts the attempts whose connection broke before the response was
	// complete.
	Broken tally.Counter
	// Quarantined counts the requests that were refused because requests like them crash
	// servers, and ServersCrashed the crashes that this gateway observed.
	Quarantined, ServersCrashed tally.Counter
	// Waited is the time that requests spend in the queue of a model service.
	Waited tally.Histogram
	// FirstEvent is the time from the arrival of a request to the first event of its
	// stream.
	FirstEvent tally.Histogram
	// Gap is the time between two consecutive events of a stream.
	Gap tally.Histogram
	// Took is the time from the arrival of a request to its end.
	Took  tally.Histogram
	codes map[int]tally.Counter
}

// latencyBuckets are the upper bounds of the buckets of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 80 * time.Millisecond, 120 * time.Millisecond,
	200 * time.Millisecond, 350 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
}

// NewMetrics registers the metrics in a scope.
func NewMetrics(scope tally.Scope) *Metrics {
	m := &Metrics{
		scope:          scope,
		Refused:        scope.Counter("requests_refused"),
		Resumed:        scope.Counter("streams_resumed"),
		Broken:         scope.Counter("attempts_broken"),
		Quarantined:    scope.Counter("requests_quarantined"),
		ServersCrashed: scope.Counter("server_crashes_observed"),
		Waited:         scope.Histogram("queue_wait_seconds", latencyBuckets),
		FirstEvent:     scope.Histogram("first_event_seconds", latencyBuckets),
		Gap:            scope.Histogram("event_gap_seconds", latencyBuckets),
		Took:           scope.Histogram("request_seconds", latencyBuckets),
		codes:          map[int]tally.Counter{},
	}
	for _, status := range []int{200, 400, 401, 404, 413, 421, 429, 500, 502, 503, 504} {
		m.codes[status] = scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("requests_ended")
	}
	return m
}

// repeatsSent counts the requests for a service that were sent once more after an earlier
// attempt.
func (m *Metrics) repeatsSent(service string) tally.Counter {
	return m.scope.Tagged(map[string]string{"service": service}).Counter("repeats_sent")
}

// retriesDenied counts the retries at a service that the retry budget did not allow.
func (m *Metrics) retriesDenied(service string) tally.Counter {
	return m.scope.Tagged(map[string]string{"service": service}).Counter("retries_denied")
}

// Ended records the status and the duration of a finished request.
func (m *Metrics) Ended(status int, took time.Duration) {
	m.Took.RecordDuration(took)
	if c, ok := m.codes[status]; ok {
		c.Inc(1)
		return
	}
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("requests_ended").Inc(1)
}
