package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/feed"
)

// withServices returns the snapshot of a gateway with some of its services, and servers that
// are changed.
func (w *testGateway) withServices(change func(*deployment.Server), names ...string) *feed.Snapshot {
	c := w.source.state.Configuration
	services := map[string]*deployment.Service{}
	for _, name := range names {
		services[name] = c.Services[name]
	}
	s := &feed.Snapshot{Configuration: deployment.NewConfiguration(c.Version+1, c.Limits, services, c.Keys, nil), Servers: map[string][]*deployment.Server{}}
	for service, list := range w.source.state.Servers {
		for _, server := range list {
			changed := *server
			change(&changed)
			s.Servers[service] = append(s.Servers[service], &changed)
		}
	}
	return s
}

// Guards against sending requests of a service that is no longer configured to its leaving
// servers, and against cutting them off while it has others.
func TestServersOfUnlistedServiceAreSeenToLeave(t *testing.T) {
	for path, service := range map[string]string{"/stream/x": "model", "/safe/x": "plain"} {
		for _, leaving := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s leaving=%t", strings.Trim(path, "/"), leaving), func(t *testing.T) {
				is := is.New(t)
				began, changed := make(chan struct{}, 2), make(chan struct{})
				// The first server that runs the request breaks it off after the change.
				var runs atomic.Int64
				run := func(w http.ResponseWriter, r *http.Request) {
					first := runs.Add(1) == 1
					began <- struct{}{}
					if <-changed; first {
						panic(http.ErrAbortHandler)
					}
					if path == "/safe/x" {
						respond("answer")(w, r)
						return
					}
					eventsFrom(3, false)(w, r)
				}
				backends := []*backend{newBackend(t, run), newBackend(t, run)}
				w := newTestGateway(t, map[string][]*backend{service: backends})
				done := make(chan int)
				go func() {
					status, _, whole, _ := w.ask(t, "POST", path)
					done <- map[bool]int{true: status}[whole]
				}()
				<-began
				w.gateway.services.update(w.withServices(func(s *deployment.Server) { s.Leaving = leaving }))
				close(changed)
				status := <-done
				is.Equal(status == http.StatusOK, !leaving)
				is.Equal(backends[0].ran()+backends[1].ran(), map[bool]int{true: 1, false: 2}[leaving])
			})
		}
	}
}

// Guards against a service that is configured again and does not serve at once, or serves by
// servers that left meanwhile.
func TestServiceThatIsListedAgainServesAtOnce(t *testing.T) {
	is := is.New(t)
	var backends []*backend
	for n := range 2 {
		backends = append(backends, newBackend(t, respond(strconv.Itoa(n))))
	}
	w := newTestGateway(t, map[string][]*backend{"plain": backends})
	leaving := func(s *deployment.Server) { s.Leaving = s.ID == "plain-0" }
	w.gateway.services.update(w.withServices(leaving))
	w.gateway.services.update(w.withServices(leaving, "plain", "model"))
	for range 10 {
		began := time.Now()
		status, body, whole, _ := w.ask(t, "POST", "/unsafe/x")
		is.True(whole)
		is.Equal(status, http.StatusOK)
		is.Equal(body, "1")
		is.True(time.Since(began) < time.Second)
	}
}
