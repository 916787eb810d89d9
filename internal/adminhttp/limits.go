package adminhttp

import (
	"net"
	"net/http"
	"sync"

	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

// limitCalls limits the size of request bodies and the number of calls in flight.
// Calls beyond the limit get status 503.
func limitCalls(limits settings.Limits, next http.Handler) http.Handler {
	slots := make(chan struct{}, limits.Streams)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			writeProblem(w, http.StatusServiceUnavailable, "too many calls in flight")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
		next.ServeHTTP(w, r)
	})
}

// limitedListener limits the number of open connections; further ones wait in the
// kernel's backlog.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func limitConnections(l net.Listener, connections int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, connections), closed: make(chan struct{})}
}

// Accept waits for a free slot and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	connection, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConnection{Conn: connection, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close closes the listener and ends a waiting Accept.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConnection struct {
	net.Conn
	release func()
}

// Close closes the connection and frees its slot.
func (c *limitedConnection) Close() error {
	defer c.release()
	return c.Conn.Close()
}
