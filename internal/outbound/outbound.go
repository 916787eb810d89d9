// Package outbound decides what an answer to an HTTP call of ours is. What is none, by the
// protocol or because its connection was reset before its end, is an error.
package outbound

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/bounded"
)

// ErrNoAnswer is the error of bytes that are no answer in the protocol.
var ErrNoAnswer = errors.New("the peer sent no valid answer")

// defaultDialTimeout limits connecting if the transport has no dialer.
const defaultDialTimeout = 5 * time.Second

// NewClient returns a client that uses t, whose settings it completes. It follows no
// redirects: the answer of another address is not that of the peer.
func NewClient(t *http.Transport) *http.Client {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{Timeout: defaultDialTimeout, KeepAlive: 15 * time.Second}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	if t.MaxResponseHeaderBytes == 0 {
		t.MaxResponseHeaderBytes = bounded.HeaderBytes
	}
	return &http.Client{
		Transport:     roundTripper{t},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// roundTripper is a transport that returns valid answers only.
type roundTripper struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	var used net.Conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			used = info.Conn
			if c, ok := info.Conn.(*conn); ok {
				c.expectAnswer()
			}
		},
	}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if c, ok := used.(*conn); ok && err != nil {
		// The writer may have failed because the reader closed the connection.
		if invalid := c.invalid.Load(); invalid != nil {
			err = *invalid
		}
	}
	if err != nil {
		return nil, err
	}
	if err := checkAnswer(resp); err != nil {
		_ = resp.Body.Close()
		if used != nil {
			_ = used.Close()
		}
		return nil, err
	}
	return resp, nil
}

// checkAnswer checks what the HTTP library made of a head.
func checkAnswer(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("%w: the protocol is %s", ErrNoAnswer, resp.Proto)
	}
	if !finalStatus(resp.StatusCode) {
		return fmt.Errorf("%w: the status is %d", ErrNoAnswer, resp.StatusCode)
	}
	for name := range resp.Header {
		if !validName(name) {
			return fmt.Errorf("%w: a field has the name %.40q", ErrNoAnswer, name)
		}
	}
	return nil
}

// finalStatus reports whether a status ends a request. Calls ask for no switch of protocols,
// so 101 does not.
func finalStatus(code int) bool { return code >= http.StatusOK && code <= 599 }

// nameBytes holds the characters of names beside letters and digits (RFC 9110, 5.6.2).
const nameBytes = "!#$%&'*+-.^_`|~"

// validName reports whether a field may have this name.
func validName(name string) bool {
	for i := range len(name) {
		b := name[i]
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !letter && !strings.Contains(nameBytes, string(rune(b))) {
			return false
		}
	}
	return name != ""
}

// ReadAll returns the whole body of an answer and closes it. It returns an error for a body of
// more than limit bytes, or one that ends early.
func ReadAll(resp *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	body, _, err := bounded.Read(resp.Body, limit, nil, 0)
	return body, err
}

// CheckEnd reads the rest of a body that was decoded. It returns an error if the body does not
// end within limit bytes, or ends early.
func CheckEnd(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		err = bounded.ErrTooLong
	}
	return err
}
