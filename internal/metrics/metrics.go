// Package metrics exports tally metrics in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally passes its values to the exporter.
const reportInterval = time.Second

// Metrics holds the metrics of a process.
type Metrics struct {
	// Scope creates counters, gauges, timers and histograms.
	Scope tally.Scope
	// Handler serves the Prometheus text format.
	Handler http.Handler
	closer  io.Closer
}

// New returns metrics whose names begin with coltsfootbay_ and which carry the
// given tags.
func New(tags map[string]string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "coltsfootbay",
		Tags:            tags,
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops the exporter.
func (m *Metrics) Close() error { return m.closer.Close() }
