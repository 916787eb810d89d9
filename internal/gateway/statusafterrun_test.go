package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// Guards against a status which states that a request did not run, relayed from a server that
// does not say so by its header and has run it: callers sent filings again, which ran twice.
func TestStatusOfServerThatRanIsNoPromise(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x", "/stream/once/x"} {
		for _, status := range []int{400, 404, 408, 409, 421, 429, 500, 502, 503, 504} {
			t.Run(fmt.Sprintf("%s %d", path, status), func(t *testing.T) {
				is := is.New(t)
				handle := func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Signature", "of the server")
					w.Header().Set("Retry-After", "1")
					w.WriteHeader(status)
				}
				a, b := newBackend(t, handle), newBackend(t, handle)
				w := newTestGateway(t, servedBy(path, a, b))
				got, _, whole, h := w.ask(t, http.MethodPost, path)
				is.True(whole)
				if verdict.StatesNotRun(status) {
					is.Equal(got, http.StatusBadGateway)
					is.Equal(h.Get("Signature"), "") // another status than the server's
					is.Equal(h.Get("Retry-After"), "")
				} else if status < 500 || path == "/unsafe/x" || path == "/safe/x" {
					is.Equal(got, status)
					is.Equal(h.Get("Signature"), "of the server")
				}
				if path == "/unsafe/x" || path == "/stream/once/x" {
					is.Equal(a.ran()+b.ran(), 1)
				}
			})
		}
	}
}

// Guards against a true refusal that loses its meaning: a caller whose request no server ran
// must be told so.
func TestRefusalOfServerKeepsItsMeaning(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x", "/stream/once/x"} {
		for _, status := range []int{408, 421, 429, 503} {
			t.Run(fmt.Sprintf("%s %d", path, status), func(t *testing.T) {
				is := is.New(t)
				handle := func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Not-Run", "1")
					w.WriteHeader(status)
				}
				w := newTestGateway(t, servedBy(path, newBackend(t, handle), newBackend(t, handle)))
				got, _, _, _ := w.ask(t, http.MethodPost, path)
				is.True(verdict.StatesNotRun(got))
			})
		}
	}
}
