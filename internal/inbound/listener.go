// Package inbound bounds what clients make a process keep, over all connections of a
// listener: the connections themselves, the bytes that were received and not read, and the
// memory of requests.
package inbound

import (
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/bounded"
)

// ConnectionBytes is the most memory that an idle connection takes: the kernel's receive
// buffer, the buffers of net/http and a stack.
const ConnectionBytes = 2*bounded.ReceiveBufferBytes + 16<<10

// Limits are the limits of a Listener.
type Limits struct {
	// Connections is the largest number of open connections. At the limit a new connection
	// takes the place of the one whose client has let the process wait longest, for a request
	// or for the rest of one. If there is none, the new one is closed, and connections in use
	// are closed after their next answer for a while.
	Connections int
	// RequestBytes is the memory that the heads and bodies of all requests may take.
	RequestBytes int64
}

// Event is something that a Listener did to stay within its limits.
type Event string

// Events.
const (
	// ConnectionEvicted means that a waiting connection was closed for a new one.
	ConnectionEvicted Event = "connection_evicted"
	// ConnectionRefused means that a new connection was closed, because all others are in use.
	ConnectionRefused Event = "connection_refused"
	// RequestEvicted means that a request that arrived more slowly than all others was given
	// up for the memory of another one.
	RequestEvicted Event = "request_evicted"
	// RequestRefused means that the memory for requests did not suffice for a request.
	RequestRefused Event = "request_refused"
)

// Listener is a net.Listener with limits. It must be served by the http.Server that Configure
// was called for.
type Listener struct {
	net.Listener
	limits Limits
	notify func(Event)

	mu   sync.Mutex
	open int
	// waiting holds the connections that wait for their client, longest first.
	waiting *list.List
	// used is the memory that requests take, in bytes.
	used int64
	// refusedAt is when a connection was refused last.
	refusedAt time.Time
}

// Listen listens on a TCP address. notify is called for each event and must not block; it may
// be nil.
func Listen(address string, limits Limits, notify func(Event)) (*Listener, error) {
	config := net.ListenConfig{Control: bounded.LimitUnread}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if notify == nil {
		notify = func(Event) {}
	}
	return &Listener{Listener: l, limits: limits, notify: notify, waiting: list.New()}, nil
}

// Accept waits for a connection for which there is a place.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, listener: l}
		if l.admit(c) {
			return c, nil
		}
		l.notify(ConnectionRefused)
		c.reset()
	}
}

// admit makes a place for a connection and reports whether there is one.
func (l *Listener) admit(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.limits.Connections {
		first := l.waiting.Front()
		if first == nil {
			l.refusedAt = time.Now()
			return false
		}
		evicted := first.Value.(*conn)
		l.remove(evicted)
		// Closing takes no time: the connection is reset.
		evicted.reset()
		l.notify(ConnectionEvicted)
	}
	l.open++
	c.counted = true
	c.wait(time.Now())
	return true
}

// turnoverTime is how long connections are closed after their answers once one was refused.
const turnoverTime = time.Second

// full reports whether a connection was refused recently.
func (l *Listener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.refusedAt.IsZero() && time.Since(l.refusedAt) < turnoverTime
}

// remove forgets a connection. The caller holds l.mu.
func (l *Listener) remove(c *conn) {
	if !c.counted {
		return
	}
	c.counted = false
	l.open--
	c.stopWaiting()
	l.used -= c.charged
	c.charged = 0
}

// Used returns the memory that requests take, in bytes.
func (l *Listener) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Configure sets the hooks of a server that serves l. It must be called before Serve.
func (l *Listener) Configure(s *http.Server) {
	s.ConnState = l.connState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if x := unwrap(c); x != nil {
			return context.WithValue(ctx, connKey{}, x)
		}
		return ctx
	}
	s.Handler = l.trackRequests(s.Handler)
}

type connKey struct{}

// unwrap returns the connection below TLS, or nil if it is not of a Listener.
func unwrap(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	x, _ := c.(*conn)
	return x
}

func (l *Listener) connState(nc net.Conn, state http.ConnState) {
	c := unwrap(nc)
	if c == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		c.stopWaiting()
	case http.StateIdle:
		c.newRequest()
		if c.counted {
			c.wait(time.Now())
		}
	}
}

// ErrOverloaded is the error of a request that was given up because the memory for requests
// is used up.
var ErrOverloaded = errors.New("other requests fill the memory")
