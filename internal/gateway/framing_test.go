package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// answerUntilClose returns a handler that writes a response with neither a length nor
// chunks and ends it with the connection: by closing it, or by a reset.
func answerUntilClose(t *testing.T, body string, reset bool) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", r.Header.Get("Id"), body)
		if err := out.Flush(); err != nil {
			t.Error(err)
		}
		if reset {
			if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
				t.Error(err)
			}
		}
		_ = conn.Close()
	}
}

// Guards against a response that ends with its connection and is held to be broken, and
// against one that was reset on the way and looks complete.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBackend(t, answerUntilClose(t, "whole", reset))
			w := newTestGateway(t, map[string][]*backend{"plain": {b}})
			for _, path := range []string{"/unsafe/x", "/safe/x"} {
				status, body, whole, _ := w.ask(t, "POST", path)
				if reset {
					is.True(status != 200 || !whole)
					continue
				}
				is.True(whole)
				is.Equal(status, 200)
				is.Equal(body, "whole")
			}
		})
	}
}

const twoEvents = "id: 0\ndata: part 0\n\nid: 1\ndata: part 1\n\n"

// Guards against a stream that ends with its connection and is held to be broken off.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, answerUntilClose(t, twoEvents, false))
	w := newTestGateway(t, map[string][]*backend{"model": {b}})
	status, body, whole, _ := w.ask(t, "POST", "/stream/x")
	is.True(whole)
	is.Equal(status, 200)
	is.Equal(body, twoEvents)
	is.Equal(b.ran(), 1)
}

// Guards against a stream that ends inside an event, before its first event, or with a
// reset, and looks complete: it is resumed where that is allowed, and broken off otherwise.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	endings := map[string]struct {
		body  string
		reset bool
	}{
		"inside an event":     {body: twoEvents + "id: 2\ndata: par"},
		"after a line":        {body: twoEvents + "id: 2\ndata: part 2\n"},
		"reset after events":  {body: twoEvents, reset: true},
		"before the first":    {body: ""},
		"only with a comment": {body: ": waiting\n\n"},
	}
	for name, ending := range endings {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			handle := func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) == 1 {
					answerUntilClose(t, ending.body, ending.reset)(w, r)
					return
				}
				eventsFrom(3, false)(w, r)
			}
			w := newTestGateway(t, map[string][]*backend{"model": {newBackend(t, handle), newBackend(t, handle)}})
			status, body, whole, _ := w.ask(t, "POST", "/stream/x")
			is.Equal(status, 200)
			is.True(whole)
			is.Equal(eventIDs(t, body), []int{0, 1, 2, 3})
			is.Equal(runs.Load(), int64(2))
			runs.Store(0)
			status, _, whole, _ = w.ask(t, "POST", "/stream/once/x") // may not be resumed
			is.Equal(runs.Load(), int64(1))
			is.True(!whole || status != 200)
		})
	}
}

// Guards against bytes of a response that ends with its connection which reach the next
// caller: such a connection must not be used again.
func TestConnectionThatEndsResponseIsNotReused(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		answerUntilClose(t, r.Header.Get("Id"), false)(w, r)
	})
	w := newTestGateway(t, map[string][]*backend{"plain": {b}})
	for range 10 {
		id := ""
		_, body, whole, _ := w.ask(t, http.MethodGet, "/safe/x", func(r *http.Request) { id = r.Header.Get("Id") })
		is.True(whole)
		is.Equal(body, id)
	}
}
