package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// newBackendCrashingAfter starts a model server that crashes when it has sent some events
// of the answer to a request with crashPart in its path. Other answers have answer events.
func newBackendCrashingAfter(t *testing.T, events, answer int, crashes *atomic.Int64) *backend {
	var b *backend
	b = newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		last := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
		w.Header().Set("Content-Type", "text/event-stream")
		flush := http.NewResponseController(w)
		for n := last + 1; n <= answer; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			_ = flush.Flush()
			if n-last == events && strings.Contains(r.URL.Path, crashPart) {
				crashes.Add(1)
				_ = b.Config.Close()
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	return b
}

// Guards against a request that crashes each server that runs it after some events and is
// sent again by its caller, and against refusing the requests that run beside it.
func TestRequestThatCrashesServersAfterEventsIsQuarantined(t *testing.T) {
	for _, events := range []int{1, 3} {
		t.Run(fmt.Sprintf("events=%d", events), func(t *testing.T) {
			is := is.New(t)
			var crashes atomic.Int64
			var servers []*backend
			for range 7 {
				servers = append(servers, newBackendCrashingAfter(t, events, 8, &crashes))
			}
			w := newTestGateway(t, map[string][]*backend{"model": servers})
			var beside sync.WaitGroup
			var refused atomic.Int64
			for n := range 8 {
				for i := range 3 {
					beside.Go(func() {
						_, body, _, _ := w.ask(t, "POST", fmt.Sprintf("/stream/sound-%d-%d", n, i))
						if strings.HasPrefix(body, string(verdict.ReasonQuarantined)) {
							refused.Add(1)
						}
					})
				}
				status, _, whole, h := w.ask(t, "POST", "/stream/"+crashPart)
				if n >= 3 {
					is.Equal(status, 503)
					is.True(h.Get("Retry-After") != "")
				}
				is.True(!whole || status != 200)
				beside.Wait()
			}
			is.True(crashes.Load() <= 3)
			is.Equal(refused.Load(), int64(0))
		})
	}
}

// Guards against a request that crashes servers anew after each restart of all gateways, and
// against blaming requests that its servers had begun to run before it.
func TestOneCrashQuarantinesIfOthersMayBeForgotten(t *testing.T) {
	const events, besides = 1, 4
	is := is.New(t)
	var crashes atomic.Int64
	var servers []*backend
	for range 2 {
		servers = append(servers, newBackendCrashingAfter(t, events, 40, &crashes))
	}
	w := newTestGateway(t, map[string][]*backend{"model": servers})
	w.gateway.Suspicions = localSuspicions{trials: quarantine.NewTrials(), forgotten: true}
	var beside sync.WaitGroup
	for n := range besides {
		beside.Go(func() {
			status, body, whole, _ := w.ask(t, "POST", fmt.Sprintf("/stream/sound-%d", n))
			if !whole || status != http.StatusOK {
				t.Errorf("a sound request ended with %d %s", status, body)
			}
		})
	}
	time.Sleep(recentSend + 50*time.Millisecond)
	for n := range 3 {
		status, _, whole, _ := w.ask(t, "POST", "/stream/"+crashPart)
		is.True(!whole || status != http.StatusOK)
		is.True(n == 0 || status == http.StatusServiceUnavailable)
	}
	beside.Wait()
	is.Equal(crashes.Load(), int64(1))
}
