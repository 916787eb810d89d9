// Package adminhttp serves what every daemon offers its operators: health,
// readiness, metrics, recent events, status and drain.
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
	"github.com/coltsfootbay/coltsfootbay/internal/metrics"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

const (
	// writeTimeout bounds the time to answer, so that a client that does not
	// read cannot hold a connection.
	writeTimeout = 30 * time.Second
	// closeTimeout bounds how long open calls may take after ctx is done.
	closeTimeout = 5 * time.Second
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
	listener, err := net.Listen("tcp", o.Address)
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
		// A client's broken connection is no event of this process.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	return &Server{listener: limitConnections(listener, o.Limits.Connections), server: s}, nil
}

// Address returns the bound address, which tells the port if port 0 was asked
// for.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx is done, then lets open calls finish. It returns nil
// after a graceful close.
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
