// Package endless has a stand-in of a faulty server, for tests: it answers each request with
// bytes that are no answer, without end, until the caller closes the connection.
package endless

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Shape is what the bytes of a response are part of.
type Shape string

// Shapes.
const (
	StatusLine Shape = "status line"
	Header     Shape = "one header"
	Headers    Shape = "many headers"
	Interim    Shape = "interim answers"
	Length     Shape = "body with a length"
	Chunked    Shape = "chunked body"
	Unframed   Shape = "body with neither"
	Event      Shape = "an event"
)

// Shapes holds all shapes.
var Shapes = []Shape{StatusLine, Header, Headers, Interim, Length, Chunked, Unframed, Event}

// Server sends bytes without end to each caller.
type Server struct {
	// Address is where it listens, and Sent the number of bytes that it has sent.
	Address string
	Sent    atomic.Int64
	// Open is the number of open connections.
	Open atomic.Int64

	shape Shape
	pause time.Duration
	echo  []string
	mu    sync.Mutex
	conns []net.Conn
}

// piece is how many bytes are sent at a time.
const piece = 32 << 10

// Start starts a server that ends with the test. It pauses after each piece. It repeats the
// headers of a request that are named in echo.
func Start(t testing.TB, shape Shape, pause time.Duration, echo ...string) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Address: l.Addr().String(), shape: shape, pause: pause, echo: echo}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			serving.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		serving.Wait()
	})
	return s
}

func (s *Server) serve(c net.Conn) {
	s.Open.Add(1)
	defer s.Open.Add(-1)
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	head, repeated := s.parts(r)
	if _, err := c.Write([]byte(head)); err != nil {
		return
	}
	for {
		n, err := c.Write([]byte(repeated))
		s.Sent.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(s.pause)
	}
}

// parts returns the beginning of the response and what follows again and again.
func (s *Server) parts(r *http.Request) (head, repeated string) {
	fill := strings.Repeat("x", piece)
	ok := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for _, name := range s.echo {
		ok += fmt.Sprintf("%s: %s\r\n", name, r.Header.Get(name))
	}
	switch s.shape {
	case StatusLine:
		return "HTTP/1.1 200 ", fill
	case Header:
		return ok + "X-Long: ", fill
	case Headers:
		return ok, strings.Repeat("X-Many: xxxxxxxxxxxxxx\r\n", piece/24)
	case Interim:
		return "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", piece/36)
	case Length:
		return ok + "Content-Length: 1000000000000\r\n\r\n", fill
	case Chunked:
		return ok + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", piece, fill)
	case Event:
		return ok + "Transfer-Encoding: chunked\r\n\r\n" + "6\r\ndata: \r\n", fmt.Sprintf("%x\r\n%s\r\n", piece, fill)
	}
	return ok + "Connection: close\r\n\r\n", fill
}
