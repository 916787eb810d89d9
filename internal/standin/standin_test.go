package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// call sends a request and decodes the JSON response into answer, which may be
// nil. It returns the status, or 0 if the connection broke.
func call(t *testing.T, method, url string, body, answer any) int {
	t.Helper()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, url, reader)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	if answer != nil {
		if err := json.Unmarshal(data, answer); err != nil {
			t.Fatalf("%s %s: %q: %v", method, url, data, err)
		}
	}
	return response.StatusCode
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func startEngine(t *testing.T, change func(*EngineConfig)) string {
	t.Helper()
	c := DefaultEngineConfig()
	c.StepBase, c.StepPerSequence, c.EventDelay = 2*time.Millisecond, 0, 0
	change(&c)
	e := NewEngine(c)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx)
	return serve(t, e.Handler())
}

// complete sends a completion and returns its text and whether it ended with
// [DONE].
func complete(ctx context.Context, url string, r CompletionRequest) (text string, done bool) {
	body, _ := json.Marshal(r)
	request, _ := http.NewRequestWithContext(ctx, "POST", url+"/v1/completions", bytes.NewReader(body))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	for line := range strings.SplitSeq(string(data), "\n") {
		payload, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if payload == "[DONE]" {
			return text, true
		}
		var event CompletionEvent
		if json.Unmarshal([]byte(payload), &event) == nil && len(event.Choices) > 0 {
			text += event.Choices[0].Text
		}
	}
	return text, false
}

// Guards against a watch that misses a change and a deletion that leaves no
// tombstone.
func TestPlatformWatch(t *testing.T) {
	is := is.New(t)
	p := NewPlatform()
	url := serve(t, p.Handler())
	is.Equal(p.Publish("models/small", "adapters = []"), uint64(1))
	go func() {
		time.Sleep(30 * time.Millisecond)
		p.Delete("models/small")
	}()
	var l Listing
	call(t, "GET", url+"/v1/watch?after=1&wait=5", nil, &l)
	is.Equal(l.Revision, uint64(2))
	is.Equal(l.Documents, []Document{{Name: "models/small", Revision: 2, Deleted: true}})
	call(t, "GET", url+"/v1/watch?after=2&wait=0.01", nil, &l)
	is.Equal(len(l.Documents), 0) // empty after the wait
	var calls map[string]int
	call(t, "GET", url+"/control/calls", nil, &calls)
	is.Equal(calls["/v1/watch"], 2)
}

// Guards against fault modes in which the platform still serves new documents.
func TestPlatformModes(t *testing.T) {
	is := is.New(t)
	p := NewPlatform()
	url := serve(t, p.Handler())
	p.Publish("models/a", "")
	mode := func(m PlatformMode) {
		is.Equal(call(t, "POST", url+"/control/mode", PlatformSettings{Mode: m}, nil), 200)
	}
	mode(PlatformStale)
	p.Publish("models/b", "")
	var l Listing
	call(t, "GET", url+"/v1/documents", nil, &l)
	is.Equal(l.Revision, uint64(1))
	mode(PlatformRefuse)
	is.Equal(call(t, "GET", url+"/v1/documents", nil, nil), 503)
	mode(PlatformDrop)
	is.Equal(call(t, "GET", url+"/v1/documents", nil, nil), 0)
	mode(PlatformUp)
	call(t, "GET", url+"/v1/documents", nil, &l)
	is.Equal(l.Revision, uint64(2))
}

// Guards against a VM list that ignores its lag or loses VMs when the lag is set.
func TestPlatformVMLag(t *testing.T) {
	is := is.New(t)
	p := NewPlatform()
	url := serve(t, p.Handler())
	p.SetVMs([]VM{{Name: "a", State: "live"}})
	call(t, "POST", url+"/control/vm-lag", map[string]int{"ms": 100}, nil)
	call(t, "POST", url+"/control/vm-state", VM{Name: "a", State: "leaving"}, nil)
	var list VMList
	call(t, "GET", url+"/v1/vms", nil, &list)
	is.Equal(list.VMs[0].State, "live")
	time.Sleep(120 * time.Millisecond)
	call(t, "GET", url+"/v1/vms", nil, &list)
	is.Equal(list.VMs[0].State, "leaving")
	is.Equal(list.Revision, uint64(2))
}

// Guards against a resumed answer that repeats, skips or changes tokens.
func TestEngineResume(t *testing.T) {
	is := is.New(t)
	url := startEngine(t, func(*EngineConfig) {})
	want := Text("small", "hello", 12)
	whole, done := complete(t.Context(), url, CompletionRequest{Model: "small", Prompt: "hello", MaxTokens: 12, RequestID: "r"})
	is.True(done)
	is.Equal(whole, want)
	first := Text("small", "hello", 5)
	rest, done := complete(t.Context(), url, CompletionRequest{Model: "small", Prompt: "hello", Generated: first, MaxTokens: 7, RequestID: "r"})
	is.True(done)
	is.Equal(first+rest, want)
	rest, done = complete(t.Context(), url, CompletionRequest{Model: "small", Prompt: "hello", Generated: want, RequestID: "r"})
	is.True(done)
	is.Equal(rest, "")
	var counts EngineCounts
	call(t, "GET", url+"/control/counts", nil, &counts)
	is.Equal(counts.Runs["r"], 3)
}

// Guards against a canceled request that keeps its slot.
func TestEngineCancel(t *testing.T) {
	is := is.New(t)
	url := startEngine(t, func(*EngineConfig) {})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, done := complete(ctx, url, CompletionRequest{Model: "small", Prompt: "hello", MaxTokens: 10000, RequestID: "r"})
	is.True(!done)
	var counts EngineCounts
	for range 100 {
		call(t, "GET", url+"/control/counts", nil, &counts)
		if counts.Canceled == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(counts.Canceled, 1)
	is.Equal(len(counts.Active), 0)
}

// Guards against a full batch that blocks urgent requests, and against a
// preempted request that loses text.
func TestEnginePreemption(t *testing.T) {
	is := is.New(t)
	url := startEngine(t, func(c *EngineConfig) { c.Slots = 1 })
	low := make(chan string, 1)
	go func() {
		text, _ := complete(context.Background(), url, CompletionRequest{Model: "small", Prompt: "low", MaxTokens: 200, Priority: 2})
		low <- text
	}()
	time.Sleep(40 * time.Millisecond)
	text, done := complete(t.Context(), url, CompletionRequest{Model: "small", Prompt: "top", MaxTokens: 3})
	is.True(done)
	is.Equal(text, Text("small", "top", 3))
	var counts EngineCounts
	call(t, "GET", url+"/control/counts", nil, &counts)
	is.Equal(counts.Preemptions, 1)
	is.Equal(<-low, Text("small", "low", 200))
}

// Guards against an event-gap setting that does not drop events and against a
// wrong next sequence number.
func TestEngineCache(t *testing.T) {
	is := is.New(t)
	url := startEngine(t, func(c *EngineConfig) { c.CachePrefixes, c.EventGap = 2, 2 })
	prompt := strings.Repeat("x", 3*prefixBlock)
	_, _ = complete(t.Context(), url, CompletionRequest{Model: "small", Prompt: prompt, MaxTokens: 1})
	keys := Prefixes("small", prompt)
	var events CacheEvents
	call(t, "GET", url+"/v1/cache/events?after=0", nil, &events)
	is.Equal(len(events.Events), 2) // sequences 2 and 4 are dropped
	is.Equal(events.Events[0].Prefix, keys[0])
	is.Equal(events.Next, uint64(3))
}

// Guards against an engine that accepts an old fence with ChecksFencing set, or
// refuses one without it.
func TestEngineOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint(checks), func(t *testing.T) {
			is := is.New(t)
			url := startEngine(t, func(c *EngineConfig) { c.ChecksFencing = checks })
			call(t, "POST", url+"/v1/orders", Order{Fence: 2, Kind: "load_adapter", Name: "new"}, nil)
			status := call(t, "POST", url+"/v1/orders", Order{Fence: 1, Kind: "load_adapter", Name: "old"}, nil)
			var effects []Order
			call(t, "GET", url+"/control/orders", nil, &effects)
			if checks {
				is.Equal(status, 409)
				is.Equal(len(effects), 1)
			} else {
				is.Equal(status, 200)
				is.Equal(effects[1].Fence, uint64(1))
			}
		})
	}
}

// Guards against a service that does not count every run, which would hide a
// filing that ran twice.
func TestServiceCounts(t *testing.T) {
	is := is.New(t)
	url := serve(t, NewService(ServiceConfig{}).Handler())
	for range 2 {
		call(t, "POST", url+"/filings", map[string]string{"id": "f1"}, nil)
	}
	var counts RunCounts
	call(t, "GET", url+"/control/counts", nil, &counts)
	is.Equal(counts.ByIdentifier["f1"], 2)
	is.Equal(counts.Total, 2)
}

// Guards against a weight store that does not limit its open reads or its rate.
func TestWeights(t *testing.T) {
	is := is.New(t)
	url := serve(t, NewWeights(WeightsConfig{BytesPerSecond: 256 << 10, Queue: 1}).Handler())
	began := time.Now()
	first := make(chan int, 1)
	go func() { first <- call(t, "GET", url+"/v1/weights/a?bytes=65536", nil, nil) }()
	time.Sleep(50 * time.Millisecond)
	is.Equal(call(t, "GET", url+"/v1/weights/b?bytes=1", nil, nil), 429)
	is.Equal(<-first, 200)
	is.True(time.Since(began) > 100*time.Millisecond) // 48 KiB beyond the burst at 256 KiB/s
}
