package inbound

import (
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/metrics"
)

// reportInterval is the time between two log lines about the limits of a listener.
const reportInterval = 10 * time.Second

// report counts what the limits of an address did. It is safe for concurrent use.
type report struct {
	address  string
	metrics  *metrics.Metrics
	recorder *events.Recorder

	mu     sync.Mutex
	last   time.Time
	counts map[Event]int
}

// Report returns a function for Listen that counts the events of an address in the metrics and
// logs them once in reportInterval.
func Report(address string, m *metrics.Metrics, r *events.Recorder) func(Event) {
	return (&report{address: address, metrics: m, recorder: r, counts: map[Event]int{}}).record
}

func (r *report) record(e Event) {
	r.metrics.Scope.Tagged(map[string]string{"address": r.address, "kind": string(e)}).Counter("client_limits_applied").Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[e]++
	if now := time.Now(); r.last.IsZero() || now.Sub(r.last) >= reportInterval {
		r.recorder.Record("client_limits_applied", "", events.F("address", r.address),
			events.F("connections_evicted", r.counts[ConnectionEvicted]), events.F("connections_refused", r.counts[ConnectionRefused]),
			events.F("requests_evicted", r.counts[RequestEvicted]), events.F("requests_refused", r.counts[RequestRefused]))
		r.last = now
		clear(r.counts)
	}
}
