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
)

const crashPart = "dead"

// newCrashingBackend starts a model server that crashes when it begins to answer a request
// with crashPart: the response's headers are sent, and nothing listens any more. crashes
// is increased by each crash. With headers unset, it crashes before the response begins.
func newCrashingBackend(t *testing.T, crashes *atomic.Int64, headers bool) *backend {
	var b *backend
	b = newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Parts"), crashPart) {
			eventsFrom(3, false)(w, r)
			return
		}
		crashes.Add(1)
		if headers {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
		_ = b.Config.Close()
	})
	return b
}

func withParts(parts string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Parts", parts) }
}

// Guards against a part of a prompt that crashes one server after the other, and against
// refusing requests that share another part or the account with it.
func TestPartThatCrashesServersIsQuarantined(t *testing.T) {
	for name, headers := range map[string]bool{"after the headers": true, "before the headers": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var crashes atomic.Int64
			var servers []*backend
			for range 6 {
				servers = append(servers, newCrashingBackend(t, &crashes, headers))
			}
			w := newTestGateway(t, map[string][]*backend{"model": servers})
			status, _, whole, _ := w.ask(t, "POST", "/stream/sound", withParts("first"))
			is.True(whole && status == 200)
			for n := range 8 {
				began := time.Now()
				status, _, _, h := w.ask(t, "POST", fmt.Sprintf("/stream/%d", n), withParts("first,dead"))
				is.True(status != 200)
				if n > 1 {
					is.Equal(status, 503)
					is.True(h.Get("Retry-After") != "")
					is.True(time.Since(began) < 200*time.Millisecond)
				}
				status, _, whole, _ := w.ask(t, "POST", fmt.Sprintf("/stream/sound-%d", n), withParts("first"))
				is.True(whole && status == 200)
			}
			is.True(crashes.Load() <= 2)
		})
	}
}

// Guards against a quarantine of requests whose connections break although their server
// has not crashed.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	is := is.New(t)
	var broken atomic.Int64
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if broken.Add(1) > 6 {
			eventsFrom(3, false)(w, r)
			return
		}
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	w := newTestGateway(t, map[string][]*backend{"model": {b}})
	for range 6 {
		status, _, whole, _ := w.ask(t, "POST", "/stream/x", withParts("p"))
		is.True(!whole || status != 503)
	}
	status, _, whole, _ := w.ask(t, "POST", "/stream/x", withParts("p"))
	is.True(whole && status == 200)
}

// Guards against a plain request that crashes each server that runs it and is sent again
// by its caller.
func TestPlainRequestThatCrashesServersIsQuarantined(t *testing.T) {
	is := is.New(t)
	var crashes atomic.Int64
	var servers []*backend
	for range 5 {
		servers = append(servers, newCrashingBackend(t, &crashes, false))
	}
	w := newTestGateway(t, map[string][]*backend{"plain": servers})
	for range 6 {
		w.ask(t, "GET", "/safe/x", withParts("own,dead"))
	}
	is.True(crashes.Load() <= 2)
	status, _, _, _ := w.ask(t, "GET", "/safe/x", withParts("own,dead"))
	is.Equal(status, 503)
	status, _, whole, _ := w.ask(t, "GET", "/safe/y")
	is.True(whole && status == 200)
}

// Guards against a plain request that crashes servers anew after each restart of all gateways.
func TestPlainRequestCrashesOneServerIfOthersMayBeForgotten(t *testing.T) {
	is := is.New(t)
	var crashes atomic.Int64
	var servers []*backend
	for range 5 {
		servers = append(servers, newCrashingBackend(t, &crashes, false))
	}
	w := newTestGateway(t, map[string][]*backend{"plain": servers})
	w.gateway.Suspicions = localSuspicions{trials: quarantine.NewTrials(), forgotten: true}
	for n := range 3 {
		status, _, _, _ := w.ask(t, "GET", "/safe/x", withParts("own,dead"))
		is.True(n == 0 || status == http.StatusServiceUnavailable)
	}
	is.Equal(crashes.Load(), int64(1))
	status, _, whole, _ := w.ask(t, "GET", "/safe/y")
	is.True(whole && status == http.StatusOK)
}

// Guards against a queued request that is refused only once it gets a slot, although it is
// known before that it may not run.
func TestQueuedRequestIsRefusedWhenQuarantined(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	var started sync.WaitGroup
	started.Add(1)
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		started.Done()
		<-release
		eventsFrom(1, false)(w, r)
	})
	w := newTestGateway(t, map[string][]*backend{"model": {b}})
	w.gateway.SetLimit("model", 1, 0)
	go func() { w.ask(t, "POST", "/stream/first") }()
	defer close(release)
	started.Wait()
	ended := make(chan int, 1)
	go func() {
		status, _, _, _ := w.ask(t, "POST", "/stream/queued", withParts(crashPart))
		ended <- status
	}()
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(ended), 0)
	fingerprint := []uint64{quarantine.PropertyFingerprint("prompt part", crashPart)}
	w.gateway.Quarantine.AddBlame(quarantine.Blame{Properties: fingerprint, Agent: "a"})
	w.gateway.Quarantine.AddBlame(quarantine.Blame{Tried: fingerprint, Agent: "b"})
	w.gateway.CancelQuarantined()
	select {
	case status := <-ended:
		is.Equal(status, 503)
	case <-time.After(200 * time.Millisecond):
		t.Fatal("the request still waits")
	}
}

// Guards against two requests under the same suspicion that run at the same time, which
// could crash two servers.
func TestRequestsUnderSuspicionRunOneAtATime(t *testing.T) {
	is := is.New(t)
	var running, most atomic.Int64
	handle := func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
		}
		time.Sleep(100 * time.Millisecond)
		running.Add(-1)
		w.WriteHeader(500)
	}
	w := newTestGateway(t, map[string][]*backend{"model": {newBackend(t, handle), newBackend(t, handle), newBackend(t, handle)}})
	fingerprint := []uint64{quarantine.PropertyFingerprint("prompt part", "p")}
	w.gateway.Quarantine.AddBlame(quarantine.Blame{Properties: fingerprint, Agent: "a"})
	var wait sync.WaitGroup
	for range 6 {
		wait.Go(func() { w.ask(t, "POST", "/stream/once/x", withParts("p")) })
	}
	wait.Wait()
	is.Equal(most.Load(), int64(1))
}
