package integration

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	// maxOffered bounds the attempts that the fleet makes per request of a caller.
	maxOffered = 1.2
	// outageTokens is the length of the answers; an answer takes about 0.2 s.
	outageTokens = 10
	// outageDeadline is the deadline of each request; it ends those at hanging engines.
	outageDeadline = 1000 * time.Millisecond
)

// outage is a way in which half of the engines fail.
type outage struct {
	name  string
	begin func(*harness.Agent) error
	end   func(*harness.Agent) error
}

var outages = []outage{
	{
		name:  "refuse",
		begin: func(a *harness.Agent) error { a.BackendFaults.Cut(); return nil },
		end:   func(a *harness.Agent) error { return a.BackendFaults.Heal() },
	},
	{
		name: "hang",
		begin: func(a *harness.Agent) error {
			return a.BackendFaults.Add(harness.Toxic{Name: "hang", Type: "timeout", Stream: "downstream", Attributes: map[string]int{"timeout": 0}})
		},
		end: func(a *harness.Agent) error { return a.BackendFaults.Heal() },
	},
	{
		// Health responses are shorter than the limit and completions are longer:
		// the engine looks healthy but breaks every answer.
		name: "mid_answer",
		begin: func(a *harness.Agent) error {
			return a.BackendFaults.Add(harness.Toxic{Name: "limit", Type: "limit_data", Stream: "downstream", Attributes: map[string]int{"bytes": 500}})
		},
		end: func(a *harness.Agent) error { return a.BackendFaults.Heal() },
	},
}

// countAttempts counts the attempts that the entry VMs sent and the runs that began
// at the engines.
func countAttempts(t *testing.T, f *harness.Fleet) (attempts, runs int) {
	t.Helper()
	for _, e := range f.Entries {
		attempts += strings.Count(e.Log(), "request.routed")
	}
	for _, a := range f.Agents {
		runs += strings.Count(a.Log(), "request.begun")
	}
	return attempts, runs
}

// Guards against retries that multiply the load while half of the engines
// refuse connections, hang or fail in the middle of an answer.
func TestRetriesInPartialOutage(t *testing.T) {
	for _, kind := range outages {
		o := stopsOptions(2, 4, 0)
		o.TCPFaults = true
		f := startFleet(t, o)
		failing := f.Agents[:2]
		for _, a := range failing {
			if err := kind.begin(a); err != nil {
				t.Fatal(err)
			}
		}
		attemptsBefore, runsBefore := countAttempts(t, f)
		requests, served := sendSingleAttempts(f, amount(250, 4000))
		attempts, runs := countAttempts(t, f)
		attempts, runs = attempts-attemptsBefore, runs-runsBefore
		factor := float64(attempts) / float64(requests)
		if factor > maxOffered || float64(runs) > maxOffered*float64(requests) {
			t.Errorf("%s: %d attempts and %d runs for %d requests", kind.name, attempts, runs, requests)
		}
		if served == 0 {
			t.Errorf("%s: no request was served", kind.name)
		}
		proved(t, "retries_in_outage", "outage", kind.name, "requests", requests, "served", served, "attempts", attempts, "runs", runs,
			"offered", fmt.Sprintf("%.2f", factor))
		f.Close()
	}
}

// sendSingleAttempts sends n requests with one attempt each at bounded concurrency.
func sendSingleAttempts(f *harness.Fleet, n int) (requests, served int) {
	const callers = 32
	var left, done, number atomic.Int64
	left.Store(int64(n))
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			client := f.Client(stopsAccount)
			for left.Add(-1) >= 0 {
				ctx, cancel := context.WithTimeout(context.Background(), outageDeadline)
				o := client.Complete(ctx, harness.Completion{Model: stopsModel, Prompt: fmt.Sprintf("outage %d", number.Add(1)), MaxTokens: outageTokens, MaxAttempts: 1})
				cancel()
				if o.Complete {
					done.Add(1)
				}
			}
		})
	}
	group.Wait()
	return n, int(done.Load())
}

// Guards against a request that begins at a server after its caller's deadline
// because it was delayed in transit or waited in the socket buffer of a frozen
// agent or entry VM.
func TestRetriesExpiredRequestNeverBegins(t *testing.T) {
	o := stopsOptions(1, 1, 1)
	o.UDPFaults = true
	for i := range o.Agents {
		o.Agents[i].Slots = 1
	}
	f := startFleet(t, o)
	engine, service := f.Agents[0], f.Agents[1]
	causes := []struct {
		name       string
		begin, end func() error
	}{
		{"late_message", func() error {
			engine.Relay.SetFaults(harness.LinkFault{Delay: messageDelay}, harness.LinkFault{})
			service.Relay.SetFaults(harness.LinkFault{Delay: messageDelay}, harness.LinkFault{})
			return nil
		}, func() error { engine.Relay.Heal(); service.Relay.Heal(); return nil }},
		{"frozen_agent", func() error { return firstError(engine.Freeze(), service.Freeze()) },
			func() error { return firstError(engine.Unfreeze(), service.Unfreeze()) }},
		{"frozen_entry", f.Entries[0].Freeze, f.Entries[0].Unfreeze},
	}
	for _, cause := range causes {
		if err := cause.begin(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(freezeTime)
		before := begunRuns(t, f)
		notRun := expiredCalls(t, f)
		time.Sleep(messageDelay)
		if err := cause.end(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(resumeTime)
		begun := begunRuns(t, f) - before
		if begun != 0 {
			t.Errorf("%s: %d requests began after their deadline", cause.name, begun)
		}
		proved(t, "expired_never_begins", "cause", cause.name, "requests", 3*expiredCallsPerKind, "not_run", notRun, "begun", begun)
	}
}

const (
	// messageDelay is longer than expiredDeadline, so every request reaches its
	// agent after the deadline.
	messageDelay        = 600 * time.Millisecond
	expiredDeadline     = 300 * time.Millisecond
	expiredCallsPerKind = 10
	// freezeTime is the time until SIGSTOP has stopped all threads of a process
	// on a busy machine.
	freezeTime = 100 * time.Millisecond
	// resumeTime is the time for pending messages to be read and their requests to
	// begin.
	resumeTime = 400 * time.Millisecond
)

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func begunRuns(t *testing.T, f *harness.Fleet) int {
	t.Helper()
	sum := 0
	for _, a := range f.Agents {
		n, err := runsOf(context.Background(), a)
		if err != nil {
			t.Fatal(err)
		}
		sum += n
	}
	return sum
}

// expiredCalls sends completions and service calls with a short deadline and
// returns how many were answered with not_run.
func expiredCalls(t *testing.T, f *harness.Fleet) int {
	t.Helper()
	var notRun atomic.Int64
	var group sync.WaitGroup
	send := func(call func(context.Context, *harness.Client) harness.Outcome) {
		group.Go(func() {
			client := f.Client(stopsAccount)
			ctx, cancel := context.WithTimeout(context.Background(), expiredDeadline)
			defer cancel()
			if o := call(ctx, client); o.Complete {
				t.Errorf("a call was served although no message arrived in time: %s", o)
			} else if o.Verdict == verdict.NotRun {
				notRun.Add(1)
			}
		})
	}
	for i := range expiredCallsPerKind {
		send(func(ctx context.Context, c *harness.Client) harness.Outcome {
			return c.Complete(ctx, harness.Completion{Model: stopsModel, Prompt: "late", MaxTokens: 1, MaxAttempts: 1})
		})
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			send(func(ctx context.Context, c *harness.Client) harness.Outcome {
				return c.CallService(ctx, harness.ServiceCall{
					Service: stopsService, Method: method, Path: "/filings", ContentType: "application/json",
					Body: fmt.Appendf(nil, `{"id":"late-%d"}`, i), MaxAttempts: 1,
				})
			})
		}
	}
	group.Wait()
	return int(notRun.Load())
}
