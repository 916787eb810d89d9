package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/standin"
)

// timedEngine is a stand-in engine in this process that records, by prompt, when a
// request arrived and when each of its events was written.
type timedEngine struct {
	handler http.Handler

	mu       sync.Mutex
	arrivals map[string]time.Time
	written  map[string][]time.Time
}

type timedWriter struct {
	http.ResponseWriter
	engine *timedEngine
	prompt string
}

func (w *timedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *timedWriter) Write(p []byte) (int, error) {
	w.engine.mu.Lock()
	w.engine.written[w.prompt] = append(w.engine.written[w.prompt], time.Now())
	w.engine.mu.Unlock()
	return w.ResponseWriter.Write(p)
}

func (e *timedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		e.handler.ServeHTTP(w, r)
		return
	}
	arrived := time.Now()
	body, _ := io.ReadAll(r.Body)
	var request standin.CompletionRequest
	_ = json.Unmarshal(body, &request)
	r.Body = io.NopCloser(bytes.NewReader(body))
	e.mu.Lock()
	e.arrivals[request.Prompt] = arrived
	e.mu.Unlock()
	e.handler.ServeHTTP(&timedWriter{w, e, request.Prompt}, r)
}

// pathCall sends one streamed completion and returns when it was sent and when each
// part arrived.
func pathCall(ctx context.Context, client *http.Client, url, prompt string, tokens int) (sent time.Time, parts []time.Time, err error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, streamModel, prompt, tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return sent, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer key-alpha")
	sent = time.Now()
	response, err := client.Do(request)
	if err != nil {
		return sent, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return sent, nil, fmt.Errorf("status %d", response.StatusCode)
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		switch {
		case !ok:
		case bytes.Equal(data, []byte("[DONE]")):
			if len(parts) != tokens {
				return sent, parts, fmt.Errorf("%d parts of %d", len(parts), tokens)
			}
			return sent, parts, nil
		case !bytes.Contains(data, []byte(`"text":""`)):
			parts = append(parts, time.Now())
		}
	}
	return sent, parts, fmt.Errorf("stream ended without [DONE]: %w", lines.Err())
}

// pathTimes holds the times of requests over one path to the engine.
type pathTimes struct {
	mu sync.Mutex
	// first is the time to the first token without the time inside the engine,
	// request the share of it until the engine receives the request, relay the time
	// from the engine's write of an event to its arrival, gap the inter-token gap.
	first, request, relay, gap []time.Duration
}

func (p *pathTimes) add(sent, arrived time.Time, written, parts []time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.first = append(p.first, parts[0].Sub(sent)-written[0].Sub(arrived))
	p.request = append(p.request, arrived.Sub(sent))
	for i := range parts {
		p.relay = append(p.relay, parts[i].Sub(written[i]))
		if i > 0 {
			p.gap = append(p.gap, parts[i].Sub(parts[i-1]))
		}
	}
}

func percentile(times []time.Duration, n int) time.Duration {
	slices.Sort(times)
	return times[(len(times)-1)*n/100]
}

func loadAverage() string {
	data, _ := os.ReadFile("/proc/loadavg")
	one, _, _ := strings.Cut(string(data), " ")
	return one
}

// Guards against latency that the entry and the agent add to a token. Half of the
// engine's slots are in use. Calls directly to the engine and calls through the
// entry alternate, so both see the same machine load.
func TestDataPathLatency(t *testing.T) {
	if !*long {
		t.Skip("takes long; run with -long")
	}
	c := standin.DefaultEngineConfig()
	c.Model = streamModel
	standIn := standin.NewEngine(c)
	go standIn.Run(t.Context())
	engine := &timedEngine{handler: standIn.Handler(), arrivals: map[string]time.Time{}, written: map[string][]time.Time{}}
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	f := streamFleet(t, 1, 1, func(o *harness.Options) { o.Agents[0].URL = server.URL })
	entry := "http://" + f.Entries[0].Settings.CallerAddress
	const callers, rounds = 8, 10
	var direct, through pathTimes
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			random := rand.New(rand.NewPCG(uint64(*seed), uint64(i)))
			for round := range 2 * rounds {
				way, url := &direct, server.URL
				if (i+round)%2 == 1 {
					way, url = &through, entry
				}
				prompt := fmt.Sprintf("seed %d caller %d round %d", *seed, i, round)
				// Answers of equal length would all begin and end simultaneously.
				tokens := 20 + random.IntN(20)
				sent, parts, err := pathCall(t.Context(), client, url, prompt, tokens)
				if err != nil {
					t.Error(err)
					return
				}
				engine.mu.Lock()
				arrived, written := engine.arrivals[prompt], engine.written[prompt][:tokens]
				engine.mu.Unlock()
				way.add(sent, arrived, written, parts)
			}
		})
	}
	group.Wait()
	if t.Failed() {
		return
	}
	figures := []any{"load_average", loadAverage()}
	for _, n := range []int{50, 99} {
		for _, m := range []struct {
			name            string
			direct, through []time.Duration
		}{
			{"first_token", direct.first, through.first}, {"request", direct.request, through.request},
			{"relay", direct.relay, through.relay}, {"between_tokens", direct.gap, through.gap},
		} {
			without, with := percentile(m.direct, n), percentile(m.through, n)
			figures = append(figures, fmt.Sprintf("%s_p%d_direct_us", m.name, n), without.Microseconds(),
				fmt.Sprintf("%s_p%d_added_us", m.name, n), (with - without).Microseconds())
		}
	}
	proved(t, "datapath_latency", figures...)
}

// pathLoad makes calls from several concurrent callers and returns the number of
// tokens that they request.
func pathLoad(t *testing.T, url string, callers, rounds, tokens int) int {
	t.Helper()
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	for i := range callers {
		group.Go(func() {
			for round := range rounds {
				if _, _, err := pathCall(t.Context(), client, url, fmt.Sprintf("seed %d caller %d round %d of %d", *seed, i, round, tokens), tokens); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	return callers * rounds * tokens
}

// Guards against CPU time per token and per request, and memory per stream, that
// are too high for the target size. Calls of two lengths separate the cost of a
// token from that of a request.
func TestDataPathCost(t *testing.T) {
	if !*long {
		t.Skip("takes long; run with -long")
	}
	const engines, slots, tokens = 2, 64, 300
	f := streamFleet(t, 1, engines, func(o *harness.Options) {
		for i := range o.Agents {
			o.Agents[i].Slots = slots
		}
		o.AgentSettings = func(c *settings.AgentConfig) { c.BackendServer.Slots = slots }
	}, "--step-base=15ms", "--step-per-sequence=0s", "--prefill-per-token=0s")
	url := "http://" + f.Entries[0].Settings.CallerAddress
	entry := func() usage { return processUsage(t, f.Entries[0].PID()) }
	agents := func() (sum usage) {
		for _, a := range f.Agents {
			u := processUsage(t, a.PID())
			sum.cpu, sum.resident = sum.cpu+u.cpu, sum.resident+u.resident
		}
		return sum
	}
	const callers, shortRounds = engines * slots, 20
	// The long calls come first: the parts and the garbage of earlier calls
	// would count as memory of the open streams.
	idle, idleAgents := entry(), agents()
	began := time.Now()
	done := make(chan int)
	go func() { done <- pathLoad(t, url, callers, 1, tokens) }()
	time.Sleep(2 * time.Second)
	busy, busyAgents := entry(), agents()
	n := <-done
	elapsed := time.Since(began)
	ended, endedAgents := entry(), agents()
	requests := pathLoad(t, url, callers, shortRounds, 1)
	end, endAgents := entry(), agents()
	micros := func(before, after usage, n int) float64 {
		return float64((after.cpu - before.cpu).Microseconds()) / float64(n)
	}
	request, requestAgent := micros(ended, end, requests), micros(endedAgents, endAgents, requests)
	// The cost of the long calls' few requests is subtracted from their CPU time.
	token := micros(idle, ended, n) - request*callers/float64(n)
	tokenAgent := micros(idleAgents, endedAgents, n) - requestAgent*callers/float64(n)
	proved(t, "datapath_cost", "load_average", loadAverage(), "tokens_per_s", int(float64(n)/elapsed.Seconds()), "streams", callers,
		"entry_us_per_token", token, "entry_us_per_request", request, "agent_us_per_token", tokenAgent, "agent_us_per_request", requestAgent,
		"entry_tokens_per_s_per_core", int(1e6/token), "entry_kib_per_stream", float64(busy.resident-idle.resident)/callers,
		"agent_kib_per_stream", float64(busyAgents.resident-idleAgents.resident)/callers)
}
