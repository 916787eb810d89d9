package inbound

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/bounded"
)

const bodyLimit = 256 << 10

// server is an HTTP server with limits; its handler reads the body, and waits for held if the
// path is /held.
type server struct {
	*Listener
	held chan struct{}

	mu     sync.Mutex
	events map[Event]int
}

func start(t *testing.T, limits Limits) *server {
	s := &server{held: make(chan struct{}), events: map[Event]int{}}
	l, err := Listen("127.0.0.1:0", limits, func(e Event) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.events[e]++
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Listener = l
	h := &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: 30 * time.Second}
	l.Configure(h)
	var serving sync.WaitGroup
	serving.Go(func() { _ = h.Serve(l) })
	t.Cleanup(func() { _ = h.Close(); serving.Wait() })
	return s
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/refused" {
		AnswerEarly(w, r)
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	body, release, err := ReadBody(w, r, bodyLimit, time.Now().Add(30*time.Second))
	defer release()
	switch {
	case errors.Is(err, bounded.ErrTooLong):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	case errors.Is(err, ErrOverloaded):
		AnswerEarly(w, r)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/held" {
		<-s.held
	}
	_, _ = fmt.Fprint(w, len(body))
}

func (s *server) count(e Event) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[e]
}

// client is a connection of a client.
type client struct {
	t *testing.T
	net.Conn
	answers *bufio.Reader
}

// dial connects. A connection that the server has refused by then is a closed one.
func (s *server) dial(t *testing.T) *client {
	c, err := net.Dial("tcp", s.Addr().String())
	if errors.Is(err, syscall.ECONNRESET) {
		c, _ = net.Pipe()
		_ = c.Close()
	} else if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{t, c, bufio.NewReader(c)}
}

// send sends text; a failure means that the server has closed the connection.
func (c *client) send(text string) *client {
	_, _ = io.WriteString(c, text)
	return c
}

// post sends the head and a part of a body.
func (c *client) post(path string, length, sent int) *client {
	return c.send(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, length, strings.Repeat("x", sent)))
}

// status returns the status of the next answer, 0 if the connection is closed.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// waitInService waits until n connections are open and none of them waits for its client.
func (s *server) waitInService(t *testing.T, n int) {
	t.Helper()
	eventually(t, "the requests are not in service", func() bool {
		s.Listener.mu.Lock()
		defer s.Listener.mu.Unlock()
		return s.open == n && s.waiting.Len() == 0
	})
}

// Guards against idle clients that take all connections.
func TestNewConnectionTakesThePlaceOfTheLongestWaiting(t *testing.T) {
	is := is.New(t)
	s := start(t, Limits{Connections: 3, RequestBytes: 1 << 20})
	var idle []*client
	for n := range 3 {
		idle = append(idle, s.dial(t))
		eventually(t, "the connection is not accepted", func() bool { return s.Open() == n+1 })
	}
	for range 2 {
		is.Equal(s.dial(t).post("/", 3, 3).status(), http.StatusOK)
	}
	is.Equal(idle[0].status(), 0)
	is.Equal(idle[1].status(), 0)
	is.Equal(idle[2].post("/", 3, 3).status(), http.StatusOK)
	is.Equal(s.Open(), 3)
}

// Guards against a client that stays by sending its head byte by byte.
func TestTricklingHeadDoesNotKeepItsPlace(t *testing.T) {
	is := is.New(t)
	s := start(t, Limits{Connections: 2, RequestBytes: 1 << 20})
	slow := s.dial(t)
	eventually(t, "the connection is not accepted", func() bool { return s.Open() == 1 })
	second := s.dial(t)
	eventually(t, "the connection is not accepted", func() bool { return s.Open() == 2 })
	slow.send("GET / HTTP/1.1\r\nX: ").send("x")
	time.Sleep(20 * time.Millisecond)
	is.Equal(s.dial(t).post("/", 1, 1).status(), http.StatusOK)
	is.Equal(slow.status(), 0)
	is.Equal(second.post("/", 1, 1).status(), http.StatusOK)
}

// Guards against a request that is being served and whose connection is given to another
// client, and against a new client that waits although there is no place.
func TestRequestInServiceKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	s := start(t, Limits{Connections: 2, RequestBytes: 1 << 20})
	held := []*client{s.dial(t).post("/held", 3, 3), s.dial(t).post("/held", 3, 3)}
	s.waitInService(t, 2)
	is.Equal(s.dial(t).post("/", 3, 3).status(), 0)
	is.True(s.count(ConnectionRefused) >= 1)
	close(s.held)
	for _, c := range held {
		is.Equal(c.status(), http.StatusOK)
	}
}

// Guards against clients that send one request after the other on all connections and leave no
// place for others.
func TestBusyConnectionsEndWhileOthersFindNoPlace(t *testing.T) {
	is := is.New(t)
	s := start(t, Limits{Connections: 1, RequestBytes: 1 << 20})
	busy := s.dial(t).post("/held", 3, 3).post("/", 3, 3)
	s.waitInService(t, 1)
	eventually(t, "no connection is refused", func() bool {
		_ = s.dial(t).Close()
		return s.count(ConnectionRefused) > 0
	})
	close(s.held)
	// The answer to the request that is in service when the first one is refused may not say
	// so any more.
	eventually(t, "the busy connection does not end", func() bool {
		_ = s.dial(t).Close()
		return busy.post("/", 3, 3).status() == 0
	})
	is.Equal(s.dial(t).post("/", 3, 3).status(), http.StatusOK)
}

// Guards against bodies that stop short of their end and keep the memory from all others.
func TestStalledBodiesGiveWayToOthers(t *testing.T) {
	is := is.New(t)
	s := start(t, Limits{Connections: 100, RequestBytes: 1 << 20})
	var stalled []*client
	for range 10 {
		stalled = append(stalled, s.dial(t).post("/", bodyLimit, bodyLimit-10))
	}
	time.Sleep(evictableAfter + 100*time.Millisecond)
	for range 5 {
		is.Equal(s.dial(t).post("/", bodyLimit, bodyLimit).status(), http.StatusOK)
	}
	is.True(s.Used() <= 1<<20)
	is.True(s.count(RequestEvicted) > 0)
	refused := 0
	for _, c := range stalled {
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if c.status() == http.StatusServiceUnavailable {
			refused++
		}
		_ = c.Close()
	}
	is.True(refused >= 5)
	eventually(t, "memory is not returned", func() bool { return s.Used() == 0 })
}

// Guards against large requests that leave no memory for small ones.
func TestSmallRequestsHaveAPlaceBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	s := start(t, Limits{Connections: 100, RequestBytes: 1 << 20})
	for range 20 {
		s.dial(t).post("/held", bodyLimit, bodyLimit)
	}
	eventually(t, "no request is refused", func() bool { return s.count(RequestRefused) > 0 })
	is.Equal(s.dial(t).post("/", 20000, 20000).status(), http.StatusOK)
	is.Equal(s.dial(t).post("/", bodyLimit, bodyLimit).status(), http.StatusServiceUnavailable)
	close(s.held)
	eventually(t, "memory is not returned", func() bool { return s.Used() == 0 })
	is.Equal(s.dial(t).post("/", bodyLimit, bodyLimit).status(), http.StatusOK)
}

// Guards against long heads that take more memory than there is: a line of 4 bytes takes a
// hundred.
func TestLongHeadsAreBounded(t *testing.T) {
	is := is.New(t)
	s := start(t, Limits{Connections: 1000, RequestBytes: 4 << 20})
	head := "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 10000)
	for range 50 {
		s.dial(t).send(head)
	}
	eventually(t, "no request is refused", func() bool { return s.count(RequestRefused)+s.count(RequestEvicted) > 0 })
	is.True(s.Used() <= 4<<20)
	is.Equal(s.dial(t).post("/", 20000, 20000).status(), http.StatusOK)
	time.Sleep(evictableAfter + 100*time.Millisecond)
	is.Equal(s.dial(t).send(head+"\r\n").status(), http.StatusOK)
}

// Guards against memory that a connection keeps for requests that have ended.
func TestRequestsOnOneConnectionReturnTheirMemory(t *testing.T) {
	is := is.New(t)
	s := start(t, Limits{Connections: 10, RequestBytes: 1 << 20})
	c := s.dial(t)
	head := "POST / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a: b\r\n", 500) + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit)
	for range 20 {
		is.Equal(c.send(head+strings.Repeat("x", bodyLimit)).status(), http.StatusOK)
	}
	is.Equal(c.post("/", bodyLimit+1, 0).status(), http.StatusRequestEntityTooLarge)
	eventually(t, "memory is not returned", func() bool { return s.Used() == 0 })
}

// Guards against memory that is taken for a connection after it was closed for another one, and
// that nothing returns.
func TestClosedConnectionTakesNoMemory(t *testing.T) {
	is := is.New(t)
	s := start(t, Limits{Connections: 1, RequestBytes: 1 << 20})
	s.dial(t)
	eventually(t, "the connection is not accepted", func() bool { return s.Open() == 1 })
	s.Listener.mu.Lock()
	closed := s.waiting.Front().Value.(*conn)
	s.Listener.mu.Unlock()
	is.Equal(s.dial(t).post("/", 3, 3).status(), http.StatusOK)
	is.True(!closed.countHead([]byte(strings.Repeat("a:\r\n", 1000))))
	is.True(!request{closed}.Take(1000))
	eventually(t, "memory is not returned", func() bool { return s.Used() == 0 })
}

// Guards against a refusal that waits for a body that does not come, and against a
// connection that is closed after a refusal although the body has arrived.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	is := is.New(t)
	s := start(t, Limits{Connections: 10, RequestBytes: 1 << 20})
	is.Equal(s.dial(t).post("/refused", 1000, 10).status(), http.StatusUnauthorized)
	c := s.dial(t)
	for range 3 {
		is.Equal(c.post("/refused", 1000, 1000).status(), http.StatusUnauthorized)
	}
	is.Equal(c.post("/", 10, 10).status(), http.StatusOK)
}
