package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// newRawBackend starts a backend server that serves one connection after the other with
// handle until it returns.
func newRawBackend(t *testing.T, handle func(conn net.Conn, in *bufio.Reader, first *http.Request)) *backend {
	return newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		conn, in, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		handle(conn, in.Reader, r)
	})
}

// servedBy returns the backends as servers of the service to which the route of a path leads.
func servedBy(path string, backends ...*backend) map[string][]*backend {
	if strings.HasPrefix(path, "/stream/") {
		return map[string][]*backend{"model": backends}
	}
	return map[string][]*backend{"plain": backends}
}

// forgetFailures makes the servers that failed usable again.
func (w *testGateway) forgetFailures() {
	for _, x := range w.gateway.services.all() {
		for _, server := range x.pool.Servers() {
			x.pool.Avoid(server.ID, 0)
		}
	}
}

// Guards against an earlier refusal that a server writes once more on a kept connection and
// that is taken for the response to the next request, which runs: the caller would be told
// that it did not run, and it could run at more servers than its route allows.
func TestEarlierRefusalOnKeptConnectionIsNotBelieved(t *testing.T) {
	for name, id := range map[string]string{"with the earlier id": "earlier", "without an id": ""} {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				is := is.New(t)
				var ran atomic.Int64
				handle := func(conn net.Conn, in *bufio.Reader, r *http.Request) {
					for n := 0; ; n++ {
						body := "run"
						if r.URL.Path == "/stream/x" {
							body = twoEvents
						}
						out := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body)
						if r.URL.Query().Has("second") {
							ran.Add(1)
							header := ""
							if id != "" {
								header = "Id: " + id + "\r\n"
							}
							out = "HTTP/1.1 503 Busy\r\n" + header + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n" + out
						}
						if _, err := io.WriteString(conn, out); err != nil {
							return
						}
						var err error
						if r, err = http.ReadRequest(in); err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
					}
				}
				a, b := newRawBackend(t, handle), newRawBackend(t, handle)
				w := newTestGateway(t, servedBy(path, a, b))
				for range 4 { // both servers get a kept connection
					status, _, _, _ := w.ask(t, http.MethodGet, path)
					is.Equal(status, http.StatusOK)
				}
				status, _, whole, _ := w.ask(t, http.MethodGet, path+"?second")
				is.True(ran.Load() <= 2)                        // the routes allow two servers, unsafe requests one
				is.True(path != "/unsafe/x" || ran.Load() == 1) // it may have run
				is.True(whole)                                  // the caller gets an answer
				is.True(status == 502 || status == 200)         // a 503 would state that it did not run
				for range 10 {                                  // the late response reaches nobody
					asked := ""
					w.forgetFailures()
					status, _, _, h := w.ask(t, http.MethodGet, path, func(r *http.Request) { asked = r.Header.Get("Id") })
					is.Equal(status, http.StatusOK)
					is.Equal(h.Get("Id"), asked)
				}
			})
		}
	}
}
