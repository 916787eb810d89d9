package entry

import (
	"context"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/command"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/query"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/usage"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/retry"
	"github.com/coltsfootbay/coltsfootbay/internal/routing"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// oneAgent is a fleet of one agent that responds to a Submit with fixed messages.
type oneAgent struct {
	report  wire.Report
	answers []wire.Message
	entries []member.EntryVM
}

func (f *oneAgent) Agents() []member.Agent {
	return []member.Agent{{Hello: wire.Hello{Process: "agent-1", Start: 1}, Report: f.report, Linked: true}}
}
func (f *oneAgent) Agent(fleet.ProcessID) (member.Agent, bool) { return f.Agents()[0], true }
func (f *oneAgent) Self() wire.Hello                           { return wire.Hello{Process: "entry-1", Zone: "a"} }
func (f *oneAgent) Entries() []member.EntryVM                  { return f.entries }
func (f *oneAgent) Open(context.Context, fleet.ProcessID) (command.Stream, fleet.StartID, error) {
	return &fixedStream{answers: f.answers}, 1, nil
}
func (f *oneAgent) WaitOpen(ctx context.Context, id fleet.ProcessID) (command.Stream, fleet.StartID, error) {
	return f.Open(ctx, id)
}
func (f *oneAgent) PublishSuspicions(context.Context, []wire.Suspicion) {}

// fixedStream returns its messages in order, then io.EOF.
type fixedStream struct{ answers []wire.Message }

func (s *fixedStream) Send(wire.Message) error { return nil }
func (s *fixedStream) Receive() (wire.Message, error) {
	if len(s.answers) == 0 {
		return nil, io.EOF
	}
	m := s.answers[0]
	s.answers = s.answers[1:]
	return m, nil
}
func (s *fixedStream) SetReadDeadline(time.Time)  {}
func (s *fixedStream) SetWriteDeadline(time.Time) {}
func (s *fixedStream) CloseSend()                 {}
func (s *fixedStream) Abort()                     {}
func (s *fixedStream) LinkLost() bool             { return false }

type fixedConfiguration struct{ effective *dynamic.Effective }

func (fixedConfiguration) Ready() bool                     { return true }
func (c fixedConfiguration) Effective() *dynamic.Effective { return c.effective }

const testKey = "secret"

func testConfiguration() *dynamic.Effective {
	return dynamic.Compute([]wire.Document{
		{Name: "models/m", Revision: 1},
		{Name: "services/records", Revision: 1},
		{Name: "templates/t", Revision: 1, Body: "rank = \"middle\"\nmodels = [\"m\"]\nservices = [\"records\"]\n"},
		{Name: "accounts/a", Revision: 1, Body: "[[account]]\nid = \"acme\"\ntemplate = \"t\"\nkey_sha256 = \"" + dynamic.HashKey(testKey).String() + "\"\n"},
	})
}

// startFrontend starts an HTTP server with a frontend for the fleet f.
func startFrontend(t testing.TB, f *oneAgent, change func(*settings.EntryConfig)) *httptest.Server {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ticket.keys")
	if err := os.WriteFile(path, []byte("1 "+strings.Repeat("ab", 32)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	keys, err := ticket.OpenFile(path)
	if err != nil {
		t.Fatal(err)
	}
	c := settings.DefaultEntryConfig()
	if change != nil {
		change(&c)
	}
	f.report.ServerUp = true
	counts, registry := usage.New(tally.NoopScope), quarantine.NewRegistry()
	commands := &command.Commands{
		View: f, Links: f, Router: routing.NewRouter(routing.Scored, "a"), Budget: retry.NewBudget(0.1), Quarantine: registry,
		Store: fixedConfiguration{testConfiguration()}, Tickets: keys, Recorder: events.NewRecorder("entry-1", 1, io.Discard),
		Usage: counts, TicketLifetime: time.Minute, StreamBufferBytes: c.Limits.StreamBufferBytes,
	}
	queries := &query.Queries{View: f, Store: config.NewStore(commands.Recorder), Quarantine: registry, Usage: counts, Leaving: func() bool { return false }}
	server := httptest.NewServer(newFrontend(c, commands, queries))
	t.Cleanup(server.Close)
	return server
}
