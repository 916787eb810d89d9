package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
)

// sendEvent writes an event and flushes it.
func sendEvent(w http.ResponseWriter, event string) error {
	if _, err := io.WriteString(w, event); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// Guards against ending working streams because they are slow: callers of a route with
// a long latency target or target gap still wait.
func TestSlowStreamsAreNotEnded(t *testing.T) {
	is := is.New(t)
	longTarget := &deployment.Route{TargetLatency: 2 * time.Second, TargetGap: 500 * time.Millisecond}
	is.True(silenceLimitFor(longTarget) > 6*time.Second)
	is.True(silenceLimitFor(longTarget) < 8*time.Second) // the caller would have disconnected
	longGap := &deployment.Route{TargetLatency: 100 * time.Millisecond, TargetGap: time.Second}
	is.True(silenceLimitFor(longGap) > 6*time.Second)
	typical := &deployment.Route{TargetLatency: 500 * time.Millisecond, TargetGap: 120 * time.Millisecond}
	is.Equal(silenceLimitFor(typical), minSilenceLimit)
}

// Guards against streams that never end: a stalled server that occasionally sends
// comments, parts of an event or old events makes no progress, and the stream must
// continue at another server.
func TestStalledStreamWithoutNewEventsIsResumed(t *testing.T) {
	for name, trickle := range map[string]string{
		"comments":          ": still here\n\n",
		"parts of an event": "data",
		"old events":        "id: 0\ndata: part 0\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var first sync.Once
			handle := func(w http.ResponseWriter, r *http.Request) {
				stalled := false
				first.Do(func() { stalled = true })
				if !stalled {
					eventsFrom(3, false)(w, r)
					return
				}
				_ = sendEvent(w, "id: 0\ndata: part 0\n\n")
				for r.Context().Err() == nil && sendEvent(w, trickle) == nil {
					time.Sleep(200 * time.Millisecond)
				}
			}
			w := newTestGateway(t, map[string][]*backend{"model": {newBackend(t, handle), newBackend(t, handle)}})
			began := time.Now()
			status, body, whole, _ := w.ask(t, http.MethodPost, "/stream/x")
			is.Equal(status, http.StatusOK)
			is.True(whole)
			is.Equal(eventIDs(t, body), []int{0, 1, 2, 3})
			is.True(time.Since(began) < minSilenceLimit+time.Second)
		})
	}
}

// Guards against ending a silent stream that can't continue at another server before its caller
// gives up, and against one that never ends.
func TestSilentStreamThatCannotContinueIsNotEnded(t *testing.T) {
	for pause, want := range map[time.Duration]bool{1950 * time.Millisecond: true, 4 * time.Second: false} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newTestGateway(t, map[string][]*backend{"model": {newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				_ = sendEvent(w, "id: 0\ndata: part 0\n\n")
				select {
				case <-r.Context().Done():
				case <-time.After(pause):
				}
				_ = sendEvent(w, "id: 1\ndata: part 1\n\n")
			})}})
			began := time.Now()
			status, _, whole, _ := w.ask(t, http.MethodPost, "/stream/once/x")
			is.Equal(status, http.StatusOK)
			is.Equal(whole, want)
			is.True(time.Since(began) < 3500*time.Millisecond)
		})
	}
}

// endless writes begin once and then again repeatedly, until a write fails.
func endless(w io.Writer, begin, again string) {
	if _, err := io.WriteString(w, begin); err != nil {
		return
	}
	part := bytes.Repeat([]byte(again), 1+(32<<10)/len(again))
	for {
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}

// Guards against endless bytes in each part of a response: the request must end with a
// refusal or a failure within its time limit, and the bytes must not fill the memory.
// The smallest machines have 184 MB.
func TestEndlessResponsesAreBounded(t *testing.T) {
	const maxGrowth = 32 << 20 // largest growth of the heap, in bytes
	places := map[string][2]string{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"one header":        {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":           {"HTTP/1.1 200 OK\r\n", "X-Y: z\r\n"},
		"interim answers":   {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"body with length":  {"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9000000000\r\n\r\n", "x"},
		"body in chunks":    {"HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"body without end":  {"HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\n", "x"},
		"one chunk size":    {"HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"bytes, no answer":  {"", "\x00\xff"},
		"trailers":          {"HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "T: z\r\n"},
		"body of a failure": {"HTTP/1.1 500 Oops\r\nId: %s\r\nContent-Length: 9000000000\r\n\r\n", "x"},
	}
	for name, response := range places {
		for _, path := range []string{"/safe/x", "/stream/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				is := is.New(t)
				b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = conn.Close() }()
					begin := response[0]
					if name[:4] == "body" || name == "one chunk size" || name == "trailers" {
						begin = fmt.Sprintf(begin, r.Header.Get("Id"))
					}
					endless(conn, begin, response[1])
				})
				w := newTestGateway(t, map[string][]*backend{"plain": {b}, "model": {b}})
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				began := time.Now()
				status, _, whole, _ := w.ask(t, http.MethodGet, path)
				took := time.Since(began)
				runtime.ReadMemStats(&after)
				is.True(took < 5*time.Second) // the route's limit is 4 s
				is.True(after.HeapInuse < before.HeapInuse+maxGrowth)
				is.True(!whole || status != http.StatusOK)
			})
		}
	}
}

// Guards against a duplicate response that reaches the next caller on the kept
// connection, whether it arrives while the connection is idle or after the next request
// was sent.
func TestDuplicateResponseIsNotRelayed(t *testing.T) {
	for name, late := range map[string]bool{"while idle": false, "after the next request": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				conn, in, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				copies := func(id string) string {
					return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
				}
				previous := ""
				for {
					id := r.Header.Get("Id")
					out := copies(id)
					if late && previous != "" {
						out = copies(previous) + out
					} else if !late {
						out += copies(id)
					}
					if _, err := io.WriteString(conn, out); err != nil {
						return
					}
					previous = id
					if r, err = http.ReadRequest(in.Reader); err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
				}
			})
			w := newTestGateway(t, map[string][]*backend{"plain": {b}})
			for range 20 {
				asked := ""
				status, body, whole, _ := w.ask(t, http.MethodGet, "/safe/x", func(r *http.Request) { asked = r.Header.Get("Id") })
				if whole && status == http.StatusOK {
					is.Equal(body, asked)
				}
			}
		})
	}
}
