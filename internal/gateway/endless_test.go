package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/bounded"
	standin "github.com/coltsfootbay/coltsfootbay/internal/endless"
)

// peakHeap returns the largest heap while f runs, above what it was before.
func peakHeap(f func()) uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, peak := m.HeapInuse, uint64(0)
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapInuse)
		}
	})
	f()
	close(done)
	watching.Wait()
	return peak - min(before, peak)
}

// asBackend makes a server that sends bytes without end a backend of a test gateway.
func asBackend(s *standin.Server) *backend {
	return &backend{Server: &httptest.Server{URL: "http://" + s.Address}}
}

// Guards against a process that keeps what a faulty server sends without end, at full speed
// or slowly, until it runs out of memory, and against the requests of others that end with
// it.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const callers, maxHeap = 24, 48 << 20
	for _, shape := range standin.Shapes {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, pause %s", shape, pause), func(t *testing.T) {
				is := is.New(t)
				faulty := standin.Start(t, shape, pause, "Id")
				sound := newBackend(t, respond("answer"))
				streaming := newBackend(t, eventsFrom(3, false))
				w := newTestGateway(t, map[string][]*backend{"plain": {asBackend(faulty), sound}, "model": {asBackend(faulty), streaming}})
				var answered [3]atomic.Int64
				began := time.Now()
				heap := peakHeap(func() {
					var asking sync.WaitGroup
					for n := range callers {
						for i, path := range []string{"/safe/", "/unsafe/", "/stream/"} {
							asking.Go(func() {
								status, body, whole, _ := w.ask(t, "POST", fmt.Sprint(path, n), func(r *http.Request) { r.Header.Set("Timeout", "2500") })
								if status == http.StatusOK && whole && len(body) < 200 {
									answered[i].Add(1)
								}
							})
						}
					}
					asking.Wait()
				})
				is.True(time.Since(began) < 6*time.Second)
				is.True(heap < maxHeap)
				is.Equal(answered[0].Load(), int64(callers)) // safe requests are sent to the sound server
				is.True(answered[1].Load() > 0)
				is.True(answered[2].Load() > 0)
				for end := time.Now().Add(2 * time.Second); faulty.Open.Load() > 0 && time.Now().Before(end); {
					time.Sleep(5 * time.Millisecond)
				}
				is.Equal(faulty.Open.Load(), int64(0)) // no connection is left
				is.True(strings.Count(w.log.String(), "message=attempt_broken") <= 3*callers)
				later := 0
				for n := range 10 {
					if status, _, _, _ := w.ask(t, "POST", fmt.Sprint("/unsafe/later-", n), func(r *http.Request) { r.Header.Set("Timeout", "500") }); status == http.StatusOK {
						later++
					}
				}
				is.True(later >= 8) // the failures were counted against the faulty server
				t.Logf("heap %d KB, %d KB sent, answered %d safe, %d unsafe, %d streams of %d", heap>>10, faulty.Sent.Load()>>10,
					answered[0].Load(), answered[1].Load(), answered[2].Load(), callers)
			})
		}
	}
}

// Guards against responses of faulty servers that together fill the memory, and against
// short ones of other servers that then find no room.
func TestManyLongResponsesFillNoMemory(t *testing.T) {
	is := is.New(t)
	faulty := standin.Start(t, standin.Chunked, 3*time.Millisecond, "Id")
	sound := newBackend(t, respond("answer"))
	w := newTestGateway(t, map[string][]*backend{"plain": {asBackend(faulty), sound}})
	const limit = 1 << 20
	w.gateway.answers = bounded.NewBudget(limit)
	var served atomic.Int64
	const callers = 40
	heap := peakHeap(func() {
		var asking sync.WaitGroup
		for n := range callers {
			asking.Go(func() {
				if status, _, whole, _ := w.ask(t, "POST", fmt.Sprint("/safe/", n)); whole && status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		asking.Wait()
	})
	is.Equal(served.Load(), int64(callers))
	is.True(heap < 24<<20)
	is.Equal(w.gateway.answers.Used(), int64(0))
}

// Guards against a response that is cut at the gateway's limit and passed on as whole.
func TestLongFailureIsNotCutAndRelayed(t *testing.T) {
	is := is.New(t)
	long := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
		_, _ = w.Write(make([]byte, maxBufferedBytes+1000))
	}
	w := newTestGateway(t, map[string][]*backend{"model": {newBackend(t, long)}})
	status, body, _, _ := w.ask(t, "POST", "/stream/x")
	is.True(status != http.StatusBadRequest)
	is.True(len(body) < 1000)
}

// Guards against a refusal whose body never ends and holds the next attempt up.
func TestRestOfUnusedResponseIsNotAwaited(t *testing.T) {
	is := is.New(t)
	silent := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	resp, err := http.Get(silent.URL)
	is.NoErr(err)
	began := time.Now()
	discard(resp)
	is.True(time.Since(began) < 5*discardTimeout)
}

// Guards against a caller that sends its body without end in time: it holds memory and a
// connection for as long as it likes.
func TestSlowBodyOfCallerIsBounded(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, respond("answer"))
	w := newTestGateway(t, map[string][]*backend{"plain": {b}})
	body := &slowBody{done: make(chan struct{})}
	req, err := http.NewRequest("POST", w.url+"/unsafe/1", body)
	is.NoErr(err)
	req.Host = "h.example"
	req.Header.Set("Id", "slow")
	req.Header.Set("Key", "key")
	req.Header.Set("Timeout", "600")
	began := time.Now()
	resp, err := (&http.Client{Transport: &http.Transport{}}).Do(req)
	close(body.done)
	is.True(time.Since(began) < 2*time.Second)
	if err == nil {
		is.Equal(resp.StatusCode, http.StatusRequestTimeout)
		_ = resp.Body.Close()
	}
	is.Equal(b.ran(), 0)
	is.Equal(w.listener.Used(), int64(0))
}

// slowBody returns a byte each 50 ms.
type slowBody struct{ done chan struct{} }

func (b *slowBody) Read(p []byte) (int, error) {
	select {
	case <-b.done:
		return 0, http.ErrBodyReadAfterClose
	case <-time.After(50 * time.Millisecond):
	}
	p[0] = 'x'
	return 1, nil
}
