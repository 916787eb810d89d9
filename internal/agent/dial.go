package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/bounded"
	"github.com/coltsfootbay/coltsfootbay/internal/outbound"
)

// dialTimeout limits the connection setup to the backend server.
const dialTimeout = time.Second

// runConn is the connection for one run. Its first write calls begin, which
// marks the run as begun; if the run has been refused in the meantime, the
// write fails and nothing is sent.
type runConn struct {
	net.Conn
	begin func() error
	once  sync.Once
	err   error
}

// Write implements net.Conn.
func (g *runConn) Write(p []byte) (int, error) {
	g.once.Do(func() { g.err = g.begin() })
	if g.err != nil {
		return 0, g.err
	}
	return g.Conn.Write(p)
}

// newTransport returns an HTTP transport for a single request on a new
// connection. The server may close a reused connection while the request is
// being written, in which case it is unknown whether the request ran.
func newTransport(begin func() error) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: bounded.LimitUnread}
	return &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &runConn{Conn: conn, begin: begin}, nil
		},
	}
}

// newClient returns an HTTP client for one run.
func newClient(begin func() error) *http.Client { return outbound.NewClient(newTransport(begin)) }
