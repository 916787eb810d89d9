package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// dialTimeout bounds the connection setup to the backend server.
const dialTimeout = time.Second

// gate is the connection of one run. Its first write marks the run as begun
// and fails, with nothing written, if the run was refused meanwhile.
type gate struct {
	net.Conn
	begin func() error
	once  sync.Once
	err   error
}

// Write implements net.Conn.
func (g *gate) Write(p []byte) (int, error) {
	g.once.Do(func() { g.err = g.begin() })
	if g.err != nil {
		return 0, g.err
	}
	return g.Conn.Write(p)
}

// newTransport returns an HTTP transport for exactly one request on a new
// connection: a reused one can be closed by the server just as the request is
// written, which leaves unknown whether the request ran.
func newTransport(begin func() error) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gate{Conn: conn, begin: begin}, nil
		},
	}
}

// newClient returns a client for one run that follows no redirects, because a
// redirect would run the request again.
func newClient(begin func() error) *http.Client {
	return &http.Client{
		Transport:     newTransport(begin),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
