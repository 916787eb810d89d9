package integration

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

const (
	// slotReleaseLimit is how long after a caller's disconnect its engine slot or
	// its queue entry may stay occupied.
	slotReleaseLimit = 250 * time.Millisecond
	// countsPollInterval is the interval between reads of the stand-in's counts.
	countsPollInterval = 2 * time.Millisecond
	// maxGrowthBytes bounds the memory that one caller that does not read may add
	// to a process: its buffer, the part records and the garbage collector's slack.
	maxGrowthBytes = 4 << 20
	// stalledStreamTokens is the number of generated tokens above which an unread
	// stream counts as stalled: more than the kernel's buffers hold. With buffers of
	// 16 KiB the agent canceled the stream at 18,000 to 22,000 tokens.
	stalledStreamTokens = 14000
	// maxUnreadTokens is the number of tokens that the kernel's buffers, the QUIC
	// window and the bounded buffers of both processes may hold. Without the entry's
	// bound, the engine generated 51,722 tokens before the deadline.
	maxUnreadTokens = 40000
	// tokenGapSlack allows for pauses of a shared machine; the target inter-token
	// gap at p95 is 76 ms.
	tokenGapSlack = 10 * time.Millisecond
)

func entryBuffer(n int) func(*settings.EntryConfig) {
	return func(c *settings.EntryConfig) { c.Limits.StreamBufferBytes = n }
}

func agentBuffer(n int) func(*settings.AgentConfig) {
	return func(c *settings.AgentConfig) { c.StreamBufferBytes = n }
}

// rawCompletion posts a completion and returns without reading the response body.
func rawCompletion(ctx context.Context, f *harness.Fleet, entry int, prompt string, tokens int, stream bool) (*http.Response, error) {
	body, _ := json.Marshal(map[string]any{"model": streamModel, "prompt": prompt, "max_tokens": tokens, "stream": stream})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Entries[entry].Settings.CallerAddress+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer key-alpha")
	request.Header.Set("Request-Timeout-Ms", "60000")
	// Top-rank requests may run beyond the slots of a preempting engine and would
	// not wait in the agent's queue.
	request.Header.Set("Request-Rank", "middle")
	return (&http.Client{Transport: &http.Transport{}}).Do(request)
}

// cancelableCall is a call whose caller can close its connection.
type cancelableCall struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func startCancelableCall(t *testing.T, f *harness.Fleet, entry int, prompt string, tokens int, stream bool) *cancelableCall {
	ctx, cancel := context.WithCancel(t.Context())
	h := &cancelableCall{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(h.done)
		response, err := rawCompletion(ctx, f, entry, prompt, tokens, stream)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}()
	return h
}

// waitEngine waits until reached accepts the engine's numbers of active and of
// started runs, and returns the time that this took.
func waitEngine(t *testing.T, a *harness.Agent, what string, limit time.Duration, reached func(active, runs int) bool) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		counts, err := a.EngineCounts(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		runs := 0
		for _, n := range counts.Runs {
			runs += n
		}
		if reached(len(counts.Active), runs) {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			t.Fatalf("%s: not reached in %s: active %d, runs %d", what, limit, len(counts.Active), runs)
		}
		time.Sleep(countsPollInterval)
	}
}

// agentQueued returns the number of queued requests that the agent's status reports.
func agentQueued(t *testing.T, f *harness.Fleet, a *harness.Agent) int {
	t.Helper()
	var status struct {
		Queued int `json:"queued"`
	}
	if err := f.Admin(t.Context(), http.MethodGet, a.Settings.AdminAddress, "/admin/v1/status", nil, &status); err != nil {
		t.Fatal(err)
	}
	return status.Queued
}

// Guards against an engine slot that stays occupied after its caller disconnects,
// and against a queued request that still runs after its caller disconnects.
func TestCallerHangUpFreesSlot(t *testing.T) {
	f := streamFleet(t, 2, 1, func(o *harness.Options) { o.Agents[0].Slots = 1 }, "--step-base", "20ms")
	a := f.Agents[0]
	const tokens = 2000
	slowest := map[string]time.Duration{}
	measured, ranAfterHangUp := 0, 0
	for i := range amount(10, 60) {
		for _, stream := range []bool{true, false} {
			kind := map[bool]string{true: "sse", false: "json"}[stream]
			idle := func(active, _ int) bool { return active == 0 }
			waitEngine(t, a, "idle", time.Second, idle)
			counts, err := a.EngineCounts(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			before := len(counts.Runs)
			running := startCancelableCall(t, f, i%2, fmt.Sprintf("running %s %d", kind, i), tokens, stream)
			waitEngine(t, a, "running", 2*time.Second, func(active, _ int) bool { return active == 1 })
			queued := startCancelableCall(t, f, (i+1)%2, fmt.Sprintf("queued %s %d", kind, i), tokens, stream)
			for deadline := time.Now().Add(2 * time.Second); agentQueued(t, f, a) != 1; time.Sleep(countsPollInterval) {
				if time.Now().After(deadline) {
					t.Fatal("the second request was not queued")
				}
			}
			queued.cancel()
			began := time.Now()
			for agentQueued(t, f, a) != 0 {
				if time.Since(began) > time.Second {
					t.Fatal("the queued request of a disconnected caller still waits")
				}
				time.Sleep(countsPollInterval)
			}
			slowest["queued_"+kind] = max(slowest["queued_"+kind], time.Since(began))
			// A third caller gets the slot as soon as the first one disconnects.
			next := startCancelableCall(t, f, i%2, fmt.Sprintf("next %s %d", kind, i), tokens, stream)
			for deadline := time.Now().Add(2 * time.Second); agentQueued(t, f, a) != 1; time.Sleep(countsPollInterval) {
				if time.Now().After(deadline) {
					t.Fatal("the third request was not queued")
				}
			}
			running.cancel()
			took := waitEngine(t, a, "the next request runs", 2*time.Second, func(active, runs int) bool { return active == 1 && runs == before+2 })
			slowest["running_"+kind] = max(slowest["running_"+kind], took)
			next.cancel()
			took = waitEngine(t, a, "the slot is free", 2*time.Second, idle)
			slowest["freed_"+kind] = max(slowest["freed_"+kind], took)
			measured++
			counts, err = a.EngineCounts(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			ranAfterHangUp += len(counts.Runs) - before - 2
		}
	}
	for name, d := range slowest {
		if d > slotReleaseLimit {
			t.Errorf("%s: slot or queue entry released after %s, want at most %s", name, d, slotReleaseLimit)
		}
	}
	if ranAfterHangUp != 0 {
		t.Errorf("%d queued requests ran after their callers disconnected", ranAfterHangUp)
	}
	proved(t, "hang_up_frees_slot", "hang_ups", 3*measured, "bound_ms", slotReleaseLimit.Milliseconds(),
		"slowest_running_sse_ms", slowest["running_sse"].Milliseconds(), "slowest_running_json_ms", slowest["running_json"].Milliseconds(),
		"slowest_freed_sse_ms", slowest["freed_sse"].Milliseconds(), "slowest_freed_json_ms", slowest["freed_json"].Milliseconds(),
		"slowest_queued_sse_ms", slowest["queued_sse"].Milliseconds(), "slowest_queued_json_ms", slowest["queued_json"].Milliseconds(),
		"queued_that_ran", ranAfterHangUp)
}

var longModel = "small-" + strings.Repeat("x", 50)

// residentBytes returns the resident memory of a process.
func residentBytes(t *testing.T, pid int) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(data))
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		t.Fatal(err)
	}
	return pages * os.Getpagesize()
}

// watchResidentMemory samples the resident memory of a process until the returned
// function is called, which returns the peak in bytes.
func watchResidentMemory(t *testing.T, p *harness.Process) (peak func() int) {
	stop, done := make(chan struct{}), make(chan struct{})
	highest, pid := 0, p.PID()
	go func() {
		defer close(done)
		for {
			highest = max(highest, residentBytes(t, pid))
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() int {
		close(stop)
		<-done
		return highest
	}
}

// openUnreadStream opens a stream and never reads it. A small receive buffer bounds
// what the kernel accepts.
func openUnreadStream(t *testing.T, f *harness.Fleet, tokens int) {
	t.Helper()
	conn, err := net.Dial("tcp", f.Entries[0].Settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	body, _ := json.Marshal(map[string]any{"model": longModel, "prompt": "never read", "max_tokens": tokens, "stream": true})
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key-alpha\r\nRequest-Timeout-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if err != nil {
		t.Fatal(err)
	}
}

// tokenGap is a gap between two parts of a stream.
type tokenGap struct {
	caller int
	// at is when the gap ended.
	at     time.Time
	length time.Duration
}

// measureTokenGaps runs callers that read their streams and returns the gaps between
// parts, the shortest first.
func measureTokenGaps(t *testing.T, f *harness.Fleet, label string, callers, tokens int, tally *streamTally) []tokenGap {
	t.Helper()
	var mu sync.Mutex
	var all []tokenGap
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), streamDeadline)
			defer cancel()
			call := harness.Completion{Model: longModel, MaxTokens: tokens, Prompt: fmt.Sprintf("%s %d", label, i)}
			began := time.Now()
			o := f.ClientFrom(streamAccount, 0).Complete(ctx, call)
			tally.check(t, label, call, o)
			mu.Lock()
			defer mu.Unlock()
			for j := 1; j < len(o.PartTimes); j++ {
				all = append(all, tokenGap{caller: i, at: began.Add(o.PartTimes[j]), length: o.PartTimes[j] - o.PartTimes[j-1]})
			}
		})
	}
	group.Wait()
	slices.SortFunc(all, func(a, b tokenGap) int { return cmp.Compare(a.length, b.length) })
	return all
}

func quantile(sorted []tokenGap, fraction float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))].length
}

// logLongestGaps logs the longest gaps in the order of time: whether all callers have them
// at once, and when.
func logLongestGaps(t *testing.T, sorted []tokenGap) {
	t.Helper()
	longest := slices.Clone(sorted[max(0, len(sorted)-len(sorted)/50):])
	slices.SortFunc(longest, func(a, b tokenGap) int { return a.at.Compare(b.at) })
	for _, g := range longest {
		t.Logf("%s caller %d waited %s", g.at.Format("05.000"), g.caller, g.length)
	}
}

// Guards against a caller that does not read its stream and thereby slows down
// other callers or makes the entry VM or the agent use more memory than the bounds
// of its stream allow. The other callers are compared with those of a second fleet at
// the same time: what else the machine does changes from one moment to the next.
func TestSlowCallerIsBounded(t *testing.T) {
	const readers = 20
	bufferBytes := amount(16<<10, 256<<10)
	start := func() *harness.Fleet {
		return streamFleet(t, 1, 1, func(o *harness.Options) {
			// A long model name makes long events, which fill the kernel's buffers
			// quickly.
			o.Models[0].Name, o.Agents[0].Backend = longModel, longModel
			o.Templates[0].Models = []string{longModel}
			o.Agents[0].Slots = readers + 4
			o.EntrySettings = entryBuffer(bufferBytes)
			o.AgentSettings = agentBuffer(bufferBytes)
		}, "--step-base", "200us", "--step-per-sequence", "300us")
	}
	f, without := start(), start()
	e, a := f.Entries[0], f.Agents[0]
	var tally streamTally
	tokens := amount(300, 2000)
	measureTokenGaps(t, without, "warm", readers, 100, &tally)
	measureTokenGaps(t, f, "warm", readers, 100, &tally)
	read := readers * 100
	entryPeak, agentPeak := watchResidentMemory(t, e.Process), watchResidentMemory(t, a.Process)
	entryBefore, agentBefore := residentBytes(t, e.PID()), residentBytes(t, a.PID())
	openUnreadStream(t, f, 60000)
	waitEngine(t, a, "the unread stream is stalled", 40*time.Second, func(int, int) bool {
		counts, err := a.EngineCounts(t.Context())
		return err == nil && counts.Tokens-read > stalledStreamTokens
	})
	var alone, beside []tokenGap
	var group sync.WaitGroup
	group.Go(func() { alone = measureTokenGaps(t, without, "alone", readers, tokens, &tally) })
	beside = measureTokenGaps(t, f, "beside", readers, tokens, &tally)
	group.Wait()
	// The unread stream fills the kernel's buffers and the bounded buffers of both
	// processes; then the agent cancels it.
	waitEngine(t, a, "the unread stream ends", 50*time.Second, func(active, _ int) bool { return active == 0 })
	counts, err := a.EngineCounts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	unread := counts.Tokens - read - readers*tokens
	if counts.Canceled == 0 || unread > maxUnreadTokens {
		t.Errorf("the engine generated %d tokens for a caller that does not read, want at most %d", unread, maxUnreadTokens)
	}
	entryGrowth, agentGrowth := entryPeak()-entryBefore, agentPeak()-agentBefore
	if entryGrowth > maxGrowthBytes || agentGrowth > maxGrowthBytes {
		t.Errorf("memory grew by %d bytes in the entry and %d in the agent, want at most %d", entryGrowth, agentGrowth, maxGrowthBytes)
	}
	p50, p99 := quantile(alone, 0.5), quantile(alone, 0.99)
	q50, q99 := quantile(beside, 0.5), quantile(beside, 0.99)
	if q50 > 2*p50+tokenGapSlack || q99 > 2*p99+tokenGapSlack {
		t.Errorf("inter-token gap %s and %s at p50 and p99 beside a caller that does not read, %s and %s without it", q50, q99, p50, p99)
		logLongestGaps(t, beside)
	}
	proved(t, "slow_caller_bounded", "readers", readers, "alone_p50_us", p50.Microseconds(), "alone_p99_us", p99.Microseconds(),
		"beside_p50_us", q50.Microseconds(), "beside_p99_us", q99.Microseconds(), "entry_growth_kib", entryGrowth>>10, "agent_growth_kib", agentGrowth>>10,
		"bound_kib", maxGrowthBytes>>10, "buffer_kib", bufferBytes>>10, "unread_tokens_generated", unread)
}
