// Package adminhttp serves what every daemon offers its operators: health,
// readiness, metrics, recent events, status and drain.
package adminhttp

import (
	"context"
	"net/http"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/metrics"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

// Options holds what a Server shows.
type Options struct {
	// Address is the IP address and port to listen on.
	Address string
	// KeyFile holds the bearer key; /healthz, /readyz and /metrics need none.
	KeyFile  string
	Limits   settings.Limits
	Recorder *events.Recorder
	Metrics  *metrics.Metrics
	// Ready returns nil when the process can serve, or the reason why not.
	Ready func() error
	// Status returns what /admin/v1/status shows, as a JSON value.
	Status func() any
	// Drain begins a graceful shutdown and returns at once.
	Drain func()
	// Extra serves the other paths below /admin/v1/; it may be nil. The bearer
	// key was checked before.
	Extra http.Handler
}

// Server is a daemon's administration listener.
type Server struct{}

// Listen binds the address.
func Listen(o Options) (*Server, error) { return &Server{}, nil }

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error { return nil }
