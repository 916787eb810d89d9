package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against an error of the next server in the middle of a stream that has begun and
// broke off: its text or its head among the events, or a stream that ends as if complete.
func TestErrorAfterEventsIsNotRelayed(t *testing.T) {
	const noise = "SERVER ERROR"
	answer := func(status int, headers ...string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, _ *http.Request) {
			for n := 0; n+1 < len(headers); n += 2 {
				w.Header().Set(headers[n], headers[n+1])
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, noise)
		}
	}
	for name, next := range map[string]func(http.ResponseWriter, *http.Request){
		"failure":             answer(500),
		"refusal":             answer(503, "Not-Run", "1"),
		"misdirected":         answer(421),
		"too many":            answer(429, "Not-Run", "1"),
		"invalid":             answer(400),
		"not found":           answer(404),
		"redirect":            answer(302, "Location", "/"),
		"partial content":     answer(206),
		"no content":          func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) },
		"200 of another type": answer(200, "Content-Type", "application/json"),
		"200 with an event": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/html")
			_, _ = io.WriteString(w, noise+"\n\n")
		},
		"200 that did not run": answer(200, "Not-Run", "1"),
		"200 without a body":   func(w http.ResponseWriter, _ *http.Request) {},
		"200 with an event only": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "event: error\ndata: "+noise+"\n\n")
		},
	} {
		for _, refusedFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, first marked as not run %v", name, refusedFirst), func(t *testing.T) {
				is := is.New(t)
				var runs atomic.Int64
				handle := func(w http.ResponseWriter, r *http.Request) {
					if runs.Add(1) == 1 {
						w.Header().Set("First", "1")
						if refusedFirst {
							w.Header().Set("Not-Run", "1")
						}
						eventsFrom(4, true)(w, r)
						return
					}
					next(w, r)
				}
				w := newTestGateway(t, map[string][]*backend{"model": {newBackend(t, handle), newBackend(t, handle)}})
				status, body, whole, h := w.ask(t, http.MethodPost, "/stream/x")
				is.Equal(status, http.StatusOK)
				is.Equal(h.Get("First"), "1")
				is.True(!whole)
				is.True(!strings.Contains(body, noise))
				is.True(!strings.Contains(body, "HTTP/1.1"))
				is.Equal(eventIDs(t, body), []int{0, 1, 2, 3, 4})
			})
		}
	}
}
