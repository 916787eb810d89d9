package integration

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	// slowStopDrain is the drain timeout; a stop takes at most this and the time in which
	// a leaving entry VM serves, 2 s.
	slowStopDrain = 2 * time.Second
	// longLimit is longer than a stop, and shortLimit shorter; slowRunTime is how long a
	// call runs.
	longLimit, shortLimit = 6 * time.Second, time.Second
	slowRunTime           = 5 * time.Second
	// slowStopInterval is the time between two calls of a kind and connection.
	slowStopInterval = 50 * time.Millisecond
	// limitMargin is how much earlier than its limit a caller may have given up.
	limitMargin = 100 * time.Millisecond
	// maxCrossedCalls is the number of calls that are sent together. Those whose connection
	// is opened as the listener closes are not read.
	maxCrossedCalls = 6
)

// slowStopCall is a call around a planned stop and its outcome.
type slowStopCall struct {
	harness.Outcome
	kind, id string
	limit    time.Duration
	// sent is when the call was sent, relative to SIGTERM, and took its duration.
	sent, took time.Duration
}

// slowStop sends calls of each kind to an entry VM that stops.
type slowStop struct {
	stopping, other string

	wait    sync.WaitGroup
	mu      sync.Mutex
	stopped time.Time
	calls   []slowStopCall
}

// send makes one attempt of a call at the stopping entry VM over a client's connection.
func (s *slowStop) send(client *harness.Client, kind, id string, limit time.Duration) {
	s.wait.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		from := time.Now()
		var o harness.Outcome
		switch kind {
		case "filing":
			ticket, t := harness.NewClient([]string{s.other}, "clinic-key", "").Ticket(ctx, stopsService, "")
			if ticket == "" {
				o = t
				break
			}
			header := http.Header{"Ticket": {ticket}, "Ticket-Attempt": {"1"}, "Content-Type": {"application/json"}}
			o = client.Send(ctx, http.MethodPost, "/v1/services/"+stopsService+"/filings/"+id, header, fmt.Appendf(nil, `{"id":%q}`, id))
		default:
			o = client.Complete(ctx, harness.Completion{Model: stopsModel, Prompt: id, MaxTokens: 10, Whole: kind == "completion", MaxAttempts: 1})
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls = append(s.calls, slowStopCall{Outcome: o, kind: kind, id: id, limit: limit, sent: from.Sub(s.stopped), took: time.Since(from)})
	})
}

// Guards against calls that are taken late in a planned stop and cut off at its end: SIGTERM,
// and then calls of each kind on new and kept connections every 50 ms until the process is
// gone, while the servers are slow.
func TestStopWithSlowServersAnswersEveryCall(t *testing.T) {
	o := stopsOptions(2, 1, 1)
	journal := filepath.Join(t.TempDir(), "journal")
	for i := range o.Agents {
		o.Agents[i].Slots = 400
	}
	o.Agents[0].Arguments = []string{"--slots", "400", "--step-base", (slowRunTime / 10).String(), "--step-per-sequence", "0"}
	o.Agents[1].Arguments = []string{"--run-time", slowRunTime.String(), "--journal", journal}
	edit := o.EntrySettings
	o.EntrySettings = func(c *settings.EntryConfig) {
		edit(c)
		c.DrainTimeout = tomlfile.Duration(slowStopDrain)
		c.TicketLifetime = tomlfile.Duration(time.Minute)
	}
	f := startFleet(t, o)
	s := &slowStop{stopping: f.Entries[0].Settings.CallerAddress, other: f.Entries[1].Settings.CallerAddress}
	kinds := []string{"completion", "stream", "filing"}
	kept := make(chan *harness.Client, len(kinds)*int(10*time.Second/slowStopInterval))
	newClient := func() *harness.Client { return harness.NewClient([]string{s.stopping}, "clinic-key", "") }
	for range cap(kept) {
		c := newClient()
		if _, _, err := c.Addresses(context.Background()); err != nil {
			t.Fatal(err)
		}
		kept <- c
	}
	tick := time.NewTicker(slowStopInterval)
	defer tick.Stop()
	s.stopped = time.Now()
	if err := f.Entries[0].Terminate(); err != nil {
		t.Fatal(err)
	}
	for n := 0; f.Entries[0].Running(); n++ {
		limit := []time.Duration{longLimit, shortLimit}[n%2]
		for _, kind := range kinds {
			s.send(newClient(), kind, fmt.Sprintf("%s-new-%d", kind, n), limit)
			select {
			case c := <-kept:
				s.send(c, kind, fmt.Sprintf("%s-kept-%d", kind, n), limit)
			default:
			}
		}
		<-tick.C
	}
	stopTook := time.Since(s.stopped)
	s.wait.Wait()
	time.Sleep(slowRunTime)
	runs, err := os.ReadFile(journal)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	answered, refused, timedOut, cut, crossed := 0, 0, 0, 0, 0
	for _, c := range s.calls {
		last := harness.Attempt{}
		if len(c.Attempts) > 0 {
			last = c.Attempts[len(c.Attempts)-1]
		}
		ran := strings.Count(string(runs), c.id+"\n")
		switch {
		case c.Complete:
			answered++
		case c.took >= c.limit-limitMargin:
			timedOut++
		case last.Status != 0:
			refused++
			if c.Verdict == verdict.NotRun && ran > 0 {
				t.Errorf("%s was reported as not run but ran", c.id)
			}
			if c.Err != nil {
				cut++
				t.Errorf("%s, sent %s after SIGTERM, was cut off: %v", c.id, c.sent.Round(time.Millisecond), c.Outcome)
			}
		case last.Sent:
			crossed++
			if ran > 0 {
				t.Errorf("%s got no answer and ran", c.id)
			}
		}
		if ran > 1 {
			t.Errorf("%s ran %d times", c.id, ran)
		}
	}
	if crossed > maxCrossedCalls {
		t.Errorf("%d calls met a closed connection", crossed)
	}
	proved(t, "stop_with_slow_servers", "calls", len(s.calls), "answered", answered, "refused", refused, "timed_out", timedOut, "cut", cut, "crossed", crossed, "stop_ms", stopTook.Milliseconds())
}
