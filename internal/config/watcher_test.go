package config

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// fakePlatform answers every request immediately and counts the calls of each path.
type fakePlatform struct {
	mu       sync.Mutex
	down     bool
	revision uint64
	history  uint64
	vmState  VMState
	// odd is an element of another form in the lists.
	odd   string
	calls map[string]int
}

func (p *fakePlatform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *fakePlatform) count(path string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[path]
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[r.URL.Path]++
	if p.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/v1/vms" {
		vms := []VM{{Name: "e1", Role: "entry", Address: "127.0.0.1:1", Zone: "a", State: p.vmState}}
		list := []any{vms[0]}
		if p.odd != "" {
			list = append([]any{json.RawMessage(p.odd)}, list...)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"revision": 1, "history": p.history, "vms": list})
		return
	}
	documents := []any{map[string]any{"name": "models/a", "revision": p.revision, "history": p.history}}
	if p.odd != "" {
		documents = append([]any{json.RawMessage(p.odd)}, documents...)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"revision": p.revision, "history": p.history, "documents": documents})
}

func startWatcher(t *testing.T, reader bool) (*fakePlatform, *Store, *events.Recorder) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	p := &fakePlatform{revision: 5, vmState: VMLive, calls: map[string]int{}}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	recorder := events.NewRecorder("e1", 1, &bytes.Buffer{})
	s := NewStore(recorder)
	w := NewWatcher(WatcherConfig{URL: server.URL, Store: s, IsReader: func() bool { return reader }, Recorder: recorder})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return p, s, recorder
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s did not happen within 5 s", what)
}

func countEvents(r *events.Recorder, name string) int {
	n := 0
	for _, e := range r.Recent(0) {
		if e.Name == name {
			n++
		}
	}
	return n
}

// Guards against a stale platform that reverts documents or floods the event log, and
// against outages that are not recorded.
func TestReaderSurvivesStaleAndDownPlatform(t *testing.T) {
	is := is.New(t)
	p, s, recorder := startWatcher(t, true)
	waitFor(t, "the first listing", func() bool { return s.Ready() && len(s.VMs()) == 1 })
	p.set(func() { p.revision = 3 })
	before := p.count("/v1/watch")
	waitFor(t, "the third stale answer", func() bool { return p.count("/v1/watch") > before+3 })
	is.Equal(countEvents(recorder, "config.platform_stale"), 1)
	is.Equal(s.Status()[0].InForce, uint64(5))
	is.True(s.PlatformAge() < time.Second)
	p.set(func() { p.down = true })
	waitFor(t, "config.platform_down", func() bool { return countEvents(recorder, "config.platform_down") == 1 })
	p.set(func() { p.down, p.revision = false, 6 })
	waitFor(t, "revision 6", func() bool { return s.Status()[0].InForce == 6 })
	is.Equal(countEvents(recorder, "config.platform_up"), 1)
	is.Equal(p.count("/v1/documents"), 1)
}

// Guards against a fleet that never receives changes when all of its readers are
// unreachable, and against processes that poll although readers are working.
func TestNonReadersPollOnlyWithoutReaders(t *testing.T) {
	is := is.New(t)
	p, s, _ := startWatcher(t, false)
	waitFor(t, "a poll without a known platform response", func() bool { return s.Ready() && len(s.VMs()) == 1 })
	calls := p.count("/v1/documents") + p.count("/v1/watch")
	for range 10 {
		s.RecordPlatformContact(0)
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(p.count("/v1/documents")+p.count("/v1/watch"), calls)
}

// Guards against an endless platform response that exhausts the memory.
func TestResponseSizeIsBounded(t *testing.T) {
	is := is.New(t)
	var a documentsResponse
	err := decodeBounded(strings.NewReader(`{"revision": 1`+strings.Repeat(" ", 200)+"}"), "/v1/documents", 100, &a)
	is.True(err != nil && strings.Contains(err.Error(), "exceeds 100 bytes"))
}

// Guards against retry delays outside the limits on which the planned call rate to
// the platform is based.
func TestBackoffIsBounded(t *testing.T) {
	var b backoff
	for range 20 {
		if delay := b.next(maxPollBackoff); delay > maxPollBackoff || delay < initialBackoff/2 {
			t.Fatalf("delay %s is out of range", delay)
		}
	}
	if delay := b.next(maxPollBackoff); delay < maxPollBackoff/2 {
		t.Fatalf("delay %s after many failures is too short", delay)
	}
}

// Guards against a reader that watches a restored platform from a revision of the former
// history, and against a VM list that is not taken because its revision went back.
func TestReaderFollowsRestoredPlatform(t *testing.T) {
	is := is.New(t)
	p, s, recorder := startWatcher(t, true)
	waitFor(t, "the first listing", func() bool { return s.Ready() && len(s.VMs()) == 1 })
	p.set(func() { p.history, p.revision, p.vmState = 1, 3, VMLeaving })
	waitFor(t, "the document of the new history", func() bool { return historyOf(s.Status()[0].InForce) == 1 })
	waitFor(t, "the VM list of the new history", func() bool { return s.VMs()[0].State == VMLeaving })
	is.Equal(countEvents(recorder, "config.history_changed"), 1)
	is.Equal(countEvents(recorder, "config.platform_stale"), 0)
	is.Equal(p.count("/v1/documents"), 2)
}

// Guards against a revision that overflows into the history.
func TestRevisionOutOfRangeIsRefused(t *testing.T) {
	is := is.New(t)
	for _, body := range []string{`{"revision": 1099511627776}`, `{"history": 16777216}`, `{"history_start": 1099511627776}`} {
		var a documentsResponse
		is.True(decodeBounded(strings.NewReader(body), "/v1/documents", 1000, &a) != nil)
	}
}

// Guards against the deletion of a document because its latest revision is unreadable.
func TestUnreadableDocumentIsNotDeleted(t *testing.T) {
	is := is.New(t)
	s := NewStore(nil)
	s.Merge([]wire.Document{{Name: "models/a", Revision: 1}}, 1)
	var a documentsResponse
	is.NoErr(decodeBounded(strings.NewReader(`{"revision": 2, "documents": [{"name": "models/a", "revision": "x"}]}`), "/v1/documents", 1000, &a))
	s.MergeListing(a.all(), a.position(), 0)
	is.True(!s.Status()[0].Deleted)
}

// Guards against one odd element among the documents or the VMs that makes the whole list
// unreadable for as long as it is there.
func TestOddElementsLeaveListsReadable(t *testing.T) {
	for name, odd := range map[string]string{
		"number": "7", "revision is text": `{"name":"models/b","revision":"x"}`, "revision is too large": `{"name":"models/b","revision":1099511627776}`,
		"body is a number": `{"name":"models/b","revision":1,"body":7}`, "no name": `{}`, "a VM without a port": `{"name":"e2","role":"entry","address":"127.0.0.1","state":"live"}`,
		"a VM with a port out of range": `{"name":"e2","role":"entry","address":"127.0.0.1:99999","state":"live"}`,
		"nested":                        strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, s, recorder := startWatcher(t, true)
			waitFor(t, "the first listing", func() bool { return s.Ready() && len(s.VMs()) == 1 })
			p.set(func() { p.odd, p.history = odd, 1 })
			waitFor(t, "the document beside the odd one", func() bool { return historyOf(s.Status()[0].InForce) == 1 })
			waitFor(t, "the VM beside the odd one", func() bool { return len(s.VMs()) == 1 })
			waitFor(t, "both lists are logged", func() bool { return countEvents(recorder, "config.unreadable") == 2 })
			is.Equal(countEvents(recorder, "config.platform_down"), 0)
		})
	}
}
