package link

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/transport"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startAgent(t testing.TB, id *transport.Identity, n int, configure func(*Config)) *process {
	sequence := uint64(0)
	return start(t, id, fleet.RoleAgent, n, func(c *Config) {
		c.Report = func() wire.Report { sequence++; return wire.Report{Sequence: sequence, Model: "m"} }
		c.HandleRequest = func(_ context.Context, s *transport.Stream) {
			_, _ = s.Receive()
			_ = s.Send(&wire.Done{Parts: 7})
			s.CloseSend()
		}
		if configure != nil {
			configure(c)
		}
	})
}

// Guards against pairs of processes without a link, lost documents, and suspicions
// that an entry VM or agent has not received when PublishSuspicions returns.
func TestFleetExchangesDocumentsAndSuspicions(t *testing.T) {
	is := is.New(t)
	id := newIdentity(t)
	first := start(t, id, fleet.RoleEntry, 0, nil)
	first.docs.Merge([]wire.Document{{Name: "models/old", Revision: 1, Body: strings.Repeat("x", 1<<20)}}, 1)
	first.Quarantine.AddBlame(quarantine.Blame{Request: 1, Account: "a", Agent: "x", Begun: true})
	seed := first.View.Self().Address
	second := start(t, id, fleet.RoleEntry, 1, nil, seed)
	third := start(t, id, fleet.RoleEntry, 2, nil, seed)
	agent := startAgent(t, id, 0, nil)
	first.View.MergeGossip([]wire.Member{{Hello: agent.View.Self(), Count: 1}})
	all := []*process{first, second, third, agent}
	entries := all[:3]
	eventually(t, "every pair linked and agent reported", 8*time.Second, func() bool {
		for _, p := range entries {
			if _, _, ok := p.Agent("agent-000"); !ok || len(p.View.Agents()) != 1 || len(p.peers(nil)) < 3 {
				return false
			}
		}
		return true
	})
	is.Equal(agent.Quarantine.State(1), quarantine.Suspect) // exchanged before the link is ready
	eventually(t, "old document everywhere", 4*time.Second, func() bool {
		return agent.docs.Hash() == first.docs.Hash() && third.docs.Hash() == first.docs.Hash()
	})
	second.PublishDocuments(second.docs.Merge([]wire.Document{{Name: "models/new", Revision: 2}}, 2), 2)
	eventually(t, "new document everywhere", time.Second, func() bool { return agent.docs.Hash() == second.docs.Hash() })
	u := agent.Quarantine.AddBlame(quarantine.Blame{Request: 1, Account: "a", Agent: "y", Begun: true})
	agent.PublishSuspicions(context.Background(), u.Suspicions)
	for _, p := range entries {
		is.Equal(p.Quarantine.State(1), quarantine.Quarantined)
	}
	for _, p := range all {
		is.Equal(protocolErrors(p), 0)
	}
}

// Guards against request streams that do not reach the agent, and against
// WaitAgent missing a link or returning the old start after a restart.
func TestRequestStreamAndRestart(t *testing.T) {
	is := is.New(t)
	id := newIdentity(t)
	entry := start(t, id, fleet.RoleEntry, 0, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	for range 2 {
		agent := startAgent(t, id, 0, nil)
		entry.View.MergeGossip([]wire.Member{{Hello: agent.View.Self(), Count: 1}})
		conn, started, err := entry.WaitAgent(ctx, "agent-000")
		is.NoErr(err)
		is.Equal(started, agent.View.Self().Start)
		stream, err := conn.OpenStream(ctx, wire.StreamRequest)
		is.NoErr(err)
		is.NoErr(stream.Send(&wire.Resolve{}))
		answer, err := stream.Receive()
		is.NoErr(err)
		is.Equal(answer.(*wire.Done).Parts, uint64(7))
		stream.CloseSend()
		agent.stop()
		eventually(t, "link down", 2*time.Second, func() bool { _, _, ok := entry.Agent("agent-000"); return !ok })
	}
}

func protocolErrors(p *process) (n int) {
	for _, e := range p.recorder.Recent(0) {
		if e.Name == "link.protocol_error" {
			n++
		}
	}
	return n
}

// Guards against a peer that keeps its connection after a message that is not
// allowed in the state of the control stream, or after it stopped sending.
func TestProtocolErrorAndSilenceCloseTheConnection(t *testing.T) {
	is := is.New(t)
	id := newIdentity(t)
	p := start(t, id, fleet.RoleEntry, 0, nil)
	client := start(t, id, fleet.RoleEntry, 1, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	open := func(messages ...wire.Message) *transport.Conn {
		conn, err := client.Endpoint.Dial(ctx, p.View.Self().Address)
		is.NoErr(err)
		stream, err := conn.OpenStream(ctx, wire.StreamControl)
		is.NoErr(err)
		for _, m := range messages {
			is.NoErr(stream.Send(m))
		}
		return conn
	}
	// The Hello has no address, because the manager must not dial this client.
	hello := &wire.Hello{Process: "stranger", Start: 1, Role: fleet.RoleEntry}
	began := time.Now()
	for _, conn := range []*transport.Conn{
		open(&wire.Heartbeat{}), open(hello, hello), open(hello, &wire.Report{}), open(hello, &wire.SuspicionAck{Sequence: 9999}),
	} {
		<-conn.Context().Done()
	}
	is.True(time.Since(began) < 2*time.Second)
	// The event is recorded after the close, so it may be delayed.
	eventually(t, "one event per protocol error", time.Second, func() bool { return protocolErrors(p) == 4 })
	silent := open(hello)
	began = time.Now()
	<-silent.Context().Done()
	is.True(ctx.Err() == nil)
	is.True(time.Since(began) > 2*time.Second)
}

// Guards against frames that exceed the size limit and against documents lost by
// the split.
func TestSplitDocuments(t *testing.T) {
	is := is.New(t)
	var documents []wire.Document
	for range 9 {
		documents = append(documents, wire.Document{Name: "n", Body: strings.Repeat("x", 400<<10)})
	}
	documents = append(documents, wire.Document{Name: "n", Body: strings.Repeat("x", 1<<20)})
	total := 0
	for _, m := range splitDocuments(documents, 1) {
		is.NoErr(wire.Write(discard{}, 1, m))
		total += len(m.(*wire.ConfigDocs).Documents)
	}
	is.Equal(total, len(documents))
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// Guards against a peer that exhausts memory by opening connections, and against
// closed connections that still count towards the limit.
func TestAcceptedConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	id := newIdentity(t)
	p := start(t, id, fleet.RoleEntry, 0, func(c *Config) { c.MaxAccepted = 2 })
	client := start(t, id, fleet.RoleEntry, 1, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	dial := func() *transport.Conn {
		conn, err := client.Endpoint.Dial(ctx, p.View.Self().Address)
		is.NoErr(err)
		return conn
	}
	first := dial()
	dial()
	eventually(t, "two connections", time.Second, func() bool { return p.accepted.Load() == 2 })
	refused := dial()
	select {
	case <-refused.Context().Done():
	case <-time.After(time.Second):
		t.Fatal("a connection beyond the limit stays open")
	}
	first.Close()
	eventually(t, "a free connection slot", 2*time.Second, func() bool { return p.accepted.Load() == 1 })
}
