package command

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/usage"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/retry"
	"github.com/coltsfootbay/coltsfootbay/internal/routing"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// fakeAgent handles request streams with a scripted function.
type fakeAgent struct {
	mu       sync.Mutex
	start    fleet.StartID
	down     bool
	received []wire.Message
	script   func(s *fakeStream, m wire.Message)
}

func (a *fakeAgent) submits() []*wire.Submit {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*wire.Submit
	for _, m := range a.received {
		if s, ok := m.(*wire.Submit); ok {
			out = append(out, s)
		}
	}
	return out
}

func (a *fakeAgent) canceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.received {
		if _, ok := m.(*wire.Cancel); ok {
			return true
		}
	}
	return false
}

// fakeStream is the entry's side of a stream to a fakeAgent.
type fakeStream struct {
	agent    *fakeAgent
	messages chan wire.Message
	ended    chan struct{}
	once     sync.Once
	lost     bool
}

func (s *fakeStream) reply(messages ...wire.Message) {
	for _, m := range messages {
		s.messages <- m
	}
}

// loseLink ends the stream like a lost link.
func (s *fakeStream) loseLink() { s.lost = true; s.end() }
func (s *fakeStream) end()      { s.once.Do(func() { close(s.ended) }) }

func (s *fakeStream) Send(m wire.Message) error {
	s.agent.mu.Lock()
	s.agent.received = append(s.agent.received, m)
	s.agent.mu.Unlock()
	if _, ok := m.(*wire.Cancel); !ok {
		s.agent.script(s, m)
	}
	return nil
}

func (s *fakeStream) Receive() (wire.Message, error) {
	select {
	case m := <-s.messages:
		return m, nil
	default:
	}
	select {
	case m := <-s.messages:
		return m, nil
	case <-s.ended:
		return nil, io.EOF
	}
}

func (s *fakeStream) SetReadDeadline(t time.Time) {
	if !t.After(time.Now()) {
		s.end()
	}
}
func (s *fakeStream) SetWriteDeadline(time.Time) {}
func (s *fakeStream) CloseSend()                 {}
func (s *fakeStream) Abort()                     { s.end() }
func (s *fakeStream) LinkLost() bool             { return s.lost }

// fakeFleet implements View and Links with fake agents.
type fakeFleet struct {
	agents    map[fleet.ProcessID]*fakeAgent
	reports   map[fleet.ProcessID]member.Agent
	published atomic.Int32
}

func (f *fakeFleet) Agents() []member.Agent {
	var out []member.Agent
	for id, a := range f.reports {
		f.agents[id].mu.Lock()
		a.Linked, a.Hello.Start = !f.agents[id].down, f.agents[id].start
		f.agents[id].mu.Unlock()
		out = append(out, a)
	}
	return out
}

func (f *fakeFleet) Agent(id fleet.ProcessID) (member.Agent, bool) {
	a, ok := f.reports[id]
	return a, ok
}

func (f *fakeFleet) Open(_ context.Context, id fleet.ProcessID) (Stream, fleet.StartID, error) {
	a := f.agents[id]
	if a == nil {
		return nil, 0, errors.New("unknown agent")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return nil, 0, errNoLink
	}
	return &fakeStream{agent: a, messages: make(chan wire.Message, 64), ended: make(chan struct{})}, a.start, nil
}

func (f *fakeFleet) WaitOpen(ctx context.Context, id fleet.ProcessID) (Stream, fleet.StartID, error) {
	return f.Open(ctx, id)
}

func (f *fakeFleet) PublishSuspicions(context.Context, []wire.Suspicion) { f.published.Add(1) }

func (f *fakeFleet) add(id fleet.ProcessID, report wire.Report, script func(*fakeStream, wire.Message)) *fakeAgent {
	a := &fakeAgent{start: 1, script: script}
	report.ServerUp, report.Sequence = true, 1
	f.agents[id] = a
	f.reports[id] = member.Agent{Hello: wire.Hello{Process: id, Start: 1, Zone: "a"}, Report: report}
	return a
}

func newFleet(t *testing.T) (*fakeFleet, *Commands) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ticket.keys")
	if err := os.WriteFile(path, []byte("1 "+strings.Repeat("ab", 32)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	keys, err := ticket.OpenFile(path)
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeFleet{agents: map[fleet.ProcessID]*fakeAgent{}, reports: map[fleet.ProcessID]member.Agent{}}
	c := &Commands{
		View: f, Links: f, Router: routing.NewRouter(routing.RoundRobin, "a"), Budget: retry.NewBudget(0.1),
		Quarantine: quarantine.NewRegistry(), Tickets: keys, Recorder: events.NewRecorder("entry", 1, io.Discard),
		Usage: usage.New(tally.NoopScope), TicketLifetime: time.Minute, StreamBufferBytes: 1 << 16,
	}
	return f, c
}

func newCall(timeout time.Duration) *Call {
	account := &dynamic.Account{ID: "acme", Template: &dynamic.Template{Rank: fleet.RankMiddle}}
	return &Call{ID: fleet.NewRequestID(), Account: account, Rank: fleet.RankMiddle, Deadline: time.Now().Add(timeout), Fingerprint: 7}
}
