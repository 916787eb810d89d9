// Package adminhttp serves the administration API of a daemon: health, readiness,
// metrics, recent events, status and drain.
package adminhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/inbound"
	"github.com/coltsfootbay/coltsfootbay/internal/metrics"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

const (
	// writeTimeout limits the time to write a response. It keeps clients that do
	// not read from occupying connections.
	writeTimeout = 30 * time.Second
	// closeTimeout limits how long open calls may take after ctx is done.
	closeTimeout = 5 * time.Second
)

// Options configures a Server.
type Options struct {
	// Address is the IP address and port to listen on.
	Address string
	// KeyFile is the path of the file with the bearer key. /healthz, /readyz and
	// /metrics require no key.
	KeyFile  string
	Limits   settings.Limits
	Recorder *events.Recorder
	Metrics  *metrics.Metrics
	// Ready returns nil if the process can serve, or else the reason. A nil Ready
	// means always ready.
	Ready func() error
	// Status returns the value that /admin/v1/status serves as JSON.
	Status func() any
	// Drain begins a graceful shutdown and returns immediately. It may be nil.
	Drain func()
	// Extra serves the other paths below /admin/v1/ and may be nil. It receives
	// only requests whose bearer key is valid.
	Extra http.Handler
}

// Server is a daemon's administration listener.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen binds the address. It fails if the key file cannot be read.
func Listen(o Options) (*Server, error) {
	key, err := loadKeyFile(o.KeyFile)
	if err != nil {
		return nil, err
	}
	limits := inbound.Limits{Connections: o.Limits.Connections, RequestBytes: o.Limits.RequestBytes}
	var notify func(inbound.Event)
	if o.Metrics != nil {
		notify = inbound.Report("administration", o.Metrics, o.Recorder)
	}
	listener, err := inbound.Listen(o.Address, limits, notify)
	if err != nil {
		return nil, fmt.Errorf("administration listener: %w", err)
	}
	s := &http.Server{
		Handler:           limitCalls(o.Limits, routes(o, key)),
		ReadTimeout:       o.Limits.ReadTimeout.Std(),
		ReadHeaderTimeout: o.Limits.ReadTimeout.Std(),
		WriteTimeout:      writeTimeout,
		IdleTimeout:       o.Limits.IdleTimeout.Std(),
		MaxHeaderBytes:    o.Limits.HeaderBytes,
		// Broken client connections are not faults of this process and are not logged.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	listener.Configure(s)
	return &Server{listener: listener, server: s}, nil
}

// Address returns the bound address, with the actual port if port 0 was
// configured.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx is done and then waits up to closeTimeout for open calls.
// It returns nil after a graceful close.
func (s *Server) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.listener) }()
	select {
	case err := <-served:
		return fmt.Errorf("administration listener: %w", err)
	case <-ctx.Done():
	}
	err := s.shutdown()
	if serveErr := <-served; !errors.Is(serveErr, http.ErrServerClosed) {
		return serveErr
	}
	return err
}

func (s *Server) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		return errors.Join(err, s.server.Close())
	}
	return nil
}
