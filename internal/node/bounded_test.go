package node

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/metrics"
)

// Guards against a log that malformed datagrams of a faulty process fill.
func TestMalformedDatagramsAreLoggedOnceInAWhile(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	m := metrics.New(nil)
	defer func() { _ = m.Close() }()
	recorder := events.NewRecorder("n", 1, &log)
	var l malformedLog
	for range 1000 {
		l.record(m, recorder, errors.New("broken"))
	}
	is.Equal(strings.Count(log.String(), "datagram_malformed"), 1)
	l.last = l.last.Add(-malformedInterval)
	l.record(m, recorder, errors.New("broken"))
	is.Equal(strings.Count(log.String(), "datagram_malformed"), 2)
	is.True(strings.Contains(log.String(), "skipped=999"))
}

// Guards against callers of the control interfaces that send headers without end, or a body
// without end in time.
func TestControlCallsAreBounded(t *testing.T) {
	is := is.New(t)
	s := controlServer("", http.NotFoundHandler())
	is.True(s.ReadTimeout > 0 && s.ReadHeaderTimeout > 0 && s.IdleTimeout > 0 && s.MaxHeaderBytes > 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n"))
	is.NoErr(err)
	sent := 0
	_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	for sent < 64<<20 && err == nil {
		var n int
		n, err = c.Write(bytes.Repeat([]byte("X-Many: xxxxxxxxxxxxxx\r\n"), 1000))
		sent += n
	}
	is.True(err != nil) // the server has closed the connection
}
