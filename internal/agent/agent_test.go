package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const testWait = 5 * time.Second

// fakeLinks counts the published suspicions.
type fakeLinks struct{ published atomic.Int32 }

func (f *fakeLinks) PublishSuspicions(context.Context, []wire.Suspicion) { f.published.Add(1) }
func (f *fakeLinks) Push()                                               {}

// fakeStream is a request stream whose messages the test sends and receives in
// place of an entry VM.
type fakeStream struct {
	in, out chan wire.Message
	ctx     context.Context
	lose    context.CancelFunc
	unblock chan struct{}
	once    sync.Once
}

func (f *fakeStream) Send(m wire.Message) error {
	select {
	case f.out <- m:
		return nil
	case <-f.ctx.Done():
		return io.ErrClosedPipe
	case <-f.unblock:
		return io.ErrClosedPipe
	}
}

func (f *fakeStream) Receive() (wire.Message, error) {
	select {
	case m := <-f.in:
		return m, nil
	case <-f.ctx.Done():
		return nil, io.EOF
	}
}

func (f *fakeStream) SetReadDeadline(time.Time)  {}
func (f *fakeStream) SetWriteDeadline(time.Time) { f.once.Do(func() { close(f.unblock) }) }
func (f *fakeStream) CloseSend()                 { f.lose() }
func (f *fakeStream) Abort()                     { f.lose() }
func (f *fakeStream) Context() context.Context   { return f.ctx }

// waitFor returns the next message of type M and skips others. It fails the
// test after testWait.
func waitFor[M wire.Message](t *testing.T, f *fakeStream) M {
	t.Helper()
	timeout := time.After(testWait)
	for {
		select {
		case m := <-f.out:
			if want, ok := m.(M); ok {
				return want
			}
		case <-timeout:
			t.Fatalf("no %T within %s", *new(M), testWait)
		}
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not within %s: %s", testWait, what)
}

type fixture struct {
	*agent
	t     *testing.T
	links *fakeLinks
	ring  *ticket.Keyring
}

// start returns an agent whose backend server is up and handles requests with
// run.
func start(t *testing.T, kind string, change func(*settings.AgentConfig), run http.HandlerFunc) *fixture {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"start":"s1"}`) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body is read
		run(w, r)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(func() {
		server.CloseClientConnections() // do not wait for open runs if the test has failed
		server.Close()
	})
	c := settings.DefaultAgentConfig()
	c.Name, c.BackendServer.Kind, c.BackendServer.Name, c.BackendServer.URL = "a1", kind, "records", server.URL
	if change != nil {
		change(&c)
	}
	f := &fixture{agent: newAgent(c, io.Discard), t: t, links: &fakeLinks{}}
	f.agent.links = f.links
	f.ring, _ = ticket.NewKeyring(ticket.Key{ID: 1, Secret: make([]byte, ticket.MinKeyBytes)})
	f.keyring = func() *ticket.Keyring { return f.ring }
	t.Cleanup(func() { _ = f.metrics.Close() })
	f.probe(context.Background(), 1)
	return f
}

func (f *fixture) open(m wire.Message) *fakeStream {
	s := &fakeStream{in: make(chan wire.Message, 4), out: make(chan wire.Message), unblock: make(chan struct{})}
	s.ctx, s.lose = context.WithCancel(context.Background())
	f.t.Cleanup(s.lose)
	s.in <- m
	go f.handle(context.Background(), s)
	return s
}

func (f *fixture) ticket(id fleet.RequestID) string {
	text, _ := f.ring.Sign(ticket.Token{
		Purpose: ticket.PurposeTicket, Request: id, Account: "c", Service: "records",
		Agent: f.process, Start: f.agent.start, ExpiresUptime: time.Minute.Milliseconds(),
	})
	return text
}

func filing(id fleet.RequestID, ticketText string) *wire.Submit {
	return &wire.Submit{
		Request: id, Attempt: 1, Account: "c", Ticket: ticketText, RemainingMS: 10000,
		Service: &wire.Service{Name: "records", Method: "POST", Path: "/file", Body: []byte("x"), Idempotent: ticketText == ""},
	}
}

func completion(id fleet.RequestID) *wire.Submit {
	return &wire.Submit{Request: id, Attempt: 1, Account: "c", RemainingMS: 10000, Completion: &wire.Completion{Model: "records", Prompt: "p", MaxTokens: 5}}
}

// Guards against a repeated ticket that runs a second time, and against a
// repeat after the end that gets another answer or another Request-Id.
func TestRepeatedTicketRunsOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	release := make(chan struct{})
	f := start(t, settings.KindService, nil, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		<-release
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, r.Header.Get(requestIDHeader))
	})
	text := f.ticket("t1")
	first, second := f.open(filing("r1", text)), f.open(filing("r2", text))
	waitFor[*wire.Begun](t, first)
	waitFor[*wire.Begun](t, second)
	resolved := f.open(&wire.Resolve{Ticket: text, Account: "c", RemainingMS: 10000})
	close(release)
	for _, s := range []*fakeStream{first, second, resolved} {
		is.Equal(waitFor[*wire.Response](t, s).Status, http.StatusCreated)
		is.Equal(string(waitFor[*wire.Chunk](t, s).Data), "t1")
	}
	late := f.open(filing("r3", text))
	is.Equal(string(waitFor[*wire.Chunk](t, late).Data), "t1")
	is.Equal(runs.Load(), int32(1))
}

// Guards against the verdict not_run for a request that was running when the
// server crashed, and against an answer that is sent before the suspicions are
// published.
func TestServerCrashAfterBeginIsMayHaveRun(t *testing.T) {
	is := is.New(t)
	var f *fixture
	var dead atomic.Bool
	f = start(t, settings.KindService, nil, func(w http.ResponseWriter, r *http.Request) {
		dead.Store(true)
		panic(http.ErrAbortHandler) // breaks the connection
	})
	healthy := f.server.client.Transport
	f.server.client.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
		if dead.Load() {
			return nil, io.ErrUnexpectedEOF
		}
		return healthy.RoundTrip(r)
	})
	refused := waitFor[*wire.Refused](t, f.open(filing("r1", f.ticket("t1"))))
	is.Equal(refused.Verdict, verdict.MayHaveRun)
	is.Equal(refused.Reason, verdict.ReasonServerCrashed)
	is.Equal(f.links.published.Load(), int32(1))
	next := waitFor[*wire.Refused](t, f.open(filing("r2", f.ticket("t2"))))
	is.Equal(next.Verdict, verdict.NotRun)
	is.True(next.TicketSpent)
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against the verdict may_have_run after the server refused the
// connection, and against a delayed delivery of the ticket that runs after that
// refusal.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	f := start(t, settings.KindService, nil, func(http.ResponseWriter, *http.Request) { t.Error("the request ran") })
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	url := f.config.BackendServer.URL
	f.config.BackendServer.URL = "http://" + closed.Addr().String()
	is.NoErr(closed.Close())
	text := f.ticket("t1")
	refused := waitFor[*wire.Refused](t, f.open(filing("r1", text)))
	is.Equal(refused.Verdict, verdict.NotRun)
	is.True(refused.TicketSpent)
	eventually(t, "the run is settled", func() bool { return f.runs.openCount() == 0 })
	f.config.BackendServer.URL = url
	is.True(waitFor[*wire.Refused](t, f.open(filing("r1", text))).TicketSpent)
}

// Guards against a queued ticket that runs after Resolve returned not_run,
// against a canceled run that keeps its slot, and against a verdict other than
// not_run when the deadline passes in the queue.
func TestEndedRequestsNeverRunAndFreeSlots(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	release := make(chan struct{})
	one := func(c *settings.AgentConfig) { c.BackendServer.Slots = 1 }
	f := start(t, settings.KindService, one, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	running := f.open(filing("r1", ""))
	waitFor[*wire.Begun](t, running)
	text := f.ticket("t2")
	queued := f.open(filing("r2", text))
	waitFor[*wire.Accepted](t, queued)
	is.Equal(waitFor[*wire.Refused](t, f.open(&wire.Resolve{Ticket: text, Account: "c", RemainingMS: 1000})).Verdict, verdict.NotRun)
	is.Equal(waitFor[*wire.Refused](t, queued).Verdict, verdict.NotRun)
	short := filing("r3", f.ticket("t3"))
	short.RemainingMS = 30
	refused := waitFor[*wire.Refused](t, f.open(short))
	is.Equal(refused.Verdict, verdict.NotRun)
	is.Equal(refused.Reason, verdict.ReasonDeadline)
	running.in <- &wire.Cancel{}
	eventually(t, "the cancel frees the slot", func() bool { return f.queue.Stats().Running == 0 })
	close(release)
	waitFor[*wire.Done](t, f.open(filing("r4", "")))
	is.Equal(runs.Load(), int32(2))
}

// engine returns a handler that streams as many tokens (t0, t1, ...) as it
// receives on step, ends the stream on 0, and closes canceled when the request
// is canceled.
func engine(step chan int, canceled chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		number := 0
		for {
			select {
			case n := <-step:
				for range n {
					fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"t%d\",\"finish_reason\":null}]}\n\n", number)
					number++
				}
				if n == 0 {
					fmt.Fprint(w, "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n")
					return
				}
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				close(canceled)
				return
			}
		}
	}
}

// Guards against a stream that ends with its link, against parts that are
// missing or duplicated after an attach, and against an attach to a different
// start of the agent.
func TestStreamResumesAfterLinkLoss(t *testing.T) {
	is := is.New(t)
	step, canceled := make(chan int), make(chan struct{})
	f := start(t, settings.KindModel, nil, engine(step, canceled))
	first := f.open(completion("r1"))
	step <- 1
	is.Equal(waitFor[*wire.Part](t, first).Text, "t0")
	first.lose()
	step <- 1
	wrong := f.open(&wire.Attach{Request: "r1", Account: "c", Start: f.agent.start + 1, RemainingMS: 1000})
	is.Equal(waitFor[*wire.Refused](t, wrong).Reason, verdict.ReasonOtherStart)
	second := f.open(&wire.Attach{Request: "r1", Account: "c", Start: f.agent.start, NextPart: 1, RemainingMS: 10000})
	part := waitFor[*wire.Part](t, second)
	is.Equal(part.Number, uint64(1))
	is.Equal(part.Text, "t1")
	step <- 0
	done := waitFor[*wire.Done](t, second)
	is.Equal(done.Parts, uint64(2))
	is.Equal(done.FinishReason, "stop")
	third := f.open(&wire.Attach{Request: "r1", Account: "c", Start: f.agent.start, NextPart: 0, RemainingMS: 10000})
	is.Equal(waitFor[*wire.Part](t, third).Number, uint64(0))
}

// Guards against an engine that continues to generate for a stream without a
// reader: after a cancel while the receiver is slow, after the grace period,
// and when the buffer is full.
func TestEngineStreamIsCanceled(t *testing.T) {
	for name, end := range map[string]func(*fakeStream, chan int){
		"cancel": func(s *fakeStream, step chan int) { step <- 3; s.in <- &wire.Cancel{} },
		"grace":  func(s *fakeStream, step chan int) { s.lose() },
		"buffer": func(s *fakeStream, step chan int) { step <- 200 },
	} {
		t.Run(name, func(t *testing.T) {
			step, canceled := make(chan int), make(chan struct{})
			f := start(t, settings.KindModel, func(c *settings.AgentConfig) {
				c.StreamBufferBytes, c.ResumeGrace = 4096, tomlfile.Duration(50*time.Millisecond)
			}, engine(step, canceled))
			s := f.open(completion("r1"))
			step <- 1
			waitFor[*wire.Part](t, s)
			end(s, step)
			select {
			case <-canceled:
			case <-time.After(testWait):
				t.Fatal("the engine's stream was not canceled")
			}
			eventually(t, "the slot is free", func() bool { return f.queue.Stats().Running == 0 })
		})
	}
}

// Guards against a leaving agent that accepts new requests or cuts off open
// runs, and against the verdict not_run for a repeat of an open run.
func TestLeavingAgentFinishesOpenRuns(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	f := start(t, settings.KindService, func(c *settings.AgentConfig) { c.TicketLinger = 0 }, func(http.ResponseWriter, *http.Request) { <-release })
	open := f.open(filing("r1", ""))
	waitFor[*wire.Begun](t, open)
	stopped := make(chan struct{})
	go func() { f.shutDown(context.Background()); close(stopped) }()
	eventually(t, "the agent is leaving", f.leaving.Load)
	text := f.ticket("t2")
	refused := waitFor[*wire.Refused](t, f.open(filing("r2", text)))
	is.Equal(refused.Reason, verdict.ReasonLeaving)
	is.True(refused.TicketSpent)
	repeat := f.open(filing("r1", ""))
	waitFor[*wire.Begun](t, repeat)
	is.True(!isClosed(stopped))
	close(release)
	waitFor[*wire.Done](t, open)
	waitFor[*wire.Done](t, repeat)
	<-stopped
}

// Guards against a report with prefixes whose eviction the agent missed, and
// against a report without the prefixes of completed requests.
func TestMissedCacheEventsDropPrefixes(t *testing.T) {
	is := is.New(t)
	var c prefixCache
	c.addPrompt("m", string(make([]byte, 2*prefixStep+1)))
	is.Equal(len(c.snapshot()), 2)
	var e cacheEvents
	for n := range uint64(300) {
		e.Events = append(e.Events, struct {
			Sequence uint64 `json:"sequence"`
			Kind     string `json:"kind"`
			Prefix   uint64 `json:"prefix"`
		}{n + 1, "stored", n})
	}
	c.apply(e)
	is.Equal(len(c.snapshot()), maxPrefixes)
	e.Events = e.Events[:1]
	e.Events[0].Sequence, e.Events[0].Kind, e.Events[0].Prefix = 400, "evicted", 299
	c.apply(e)
	is.Equal(len(c.snapshot()), maxPrefixes-99-1) // 99 missed events and the eviction
}
