package command

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// recordedResponse is a ResponseSink that keeps the response.
type recordedResponse struct {
	status int
	body   string
}

func (r *recordedResponse) Begin(m *wire.Response) error { r.status, r.body = m.Status, ""; return nil }
func (r *recordedResponse) Write(data []byte) error      { r.body += string(data); return nil }
func (r *recordedResponse) Committed() bool              { return false }

var filing = ServiceCall{Service: wire.Service{Name: "records", Method: "POST", Path: "/filings"}}

func replyCreated(s *fakeStream, body string) {
	s.reply(&wire.Response{Status: 201}, &wire.Chunk{Data: []byte(body)}, &wire.Done{})
}

// Guards against running a filing twice, and against a wrong not_run, if the link
// is lost after the filing was sent.
func TestLostLinkIsResolvedAtTheSameAgent(t *testing.T) {
	spent := &wire.Refused{Verdict: verdict.NotRun, Reason: verdict.ReasonTicketSpent, Status: 503, TicketSpent: true}
	cases := map[string]struct {
		resolve func(a *fakeAgent, s *fakeStream)
		want    verdict.Verdict
	}{
		"spent":       {func(_ *fakeAgent, s *fakeStream) { s.reply(spent) }, verdict.NotRun},
		"done":        {func(_ *fakeAgent, s *fakeStream) { replyCreated(s, "filed") }, verdict.Completed},
		"unreachable": {func(a *fakeAgent, s *fakeStream) { s.loseLink() }, verdict.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, commands := newFleet(t)
			var agents []*fakeAgent
			for _, id := range []fleet.ProcessID{"agent-1", "agent-2"} {
				var a *fakeAgent
				a = f.add(id, wire.Report{Service: "records"}, func(s *fakeStream, m wire.Message) {
					if _, ok := m.(*wire.Submit); ok {
						s.loseLink()
						return
					}
					c.resolve(a, s)
				})
				agents = append(agents, a)
			}
			got := verdict.Completed
			var answer recordedResponse
			if e := commands.CallService(context.Background(), newCall(300*time.Millisecond), filing, &answer); e != nil {
				got = e.Verdict
			}
			is.Equal(got, c.want)
			is.Equal(len(agents[0].submits())+len(agents[1].submits()), 1) // one agent received the filing, once
			is.True(f.published.Load() > 0)                                // the suspicion was published before the answer
		})
	}
}

// Guards against a wrong not_run if the agent that received a filing restarted:
// after its restart it has no record of the ticket and would call it unused.
func TestRestartedAgentMeansMayHaveRun(t *testing.T) {
	is := is.New(t)
	f, commands := newFleet(t)
	var a *fakeAgent
	a = f.add("agent-1", wire.Report{Service: "records"}, func(s *fakeStream, m wire.Message) {
		if _, ok := m.(*wire.Resolve); ok {
			s.reply(&wire.Refused{Verdict: verdict.NotRun, Reason: verdict.ReasonTicketSpent, Status: 503, TicketSpent: true})
			return
		}
		a.mu.Lock()
		a.start = 2
		a.mu.Unlock()
		s.loseLink()
	})
	e := commands.CallService(context.Background(), newCall(time.Second), filing, &recordedResponse{})
	is.Equal(e.Verdict, verdict.MayHaveRun)
	is.Equal(len(a.submits()), 1)
}

// Guards against trying another agent after a filing may have run.
func TestFilingIsRetriedOnlyAfterNotRun(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun} {
		is := is.New(t)
		f, commands := newFleet(t)
		refuse := func(s *fakeStream, _ wire.Message) {
			s.reply(&wire.Refused{Verdict: v, Reason: verdict.ReasonServerFailed, Status: 502})
		}
		first := f.add("agent-1", wire.Report{Service: "records"}, refuse)
		second := f.add("agent-2", wire.Report{Service: "records"}, refuse)
		e := commands.CallService(context.Background(), newCall(time.Second), filing, &recordedResponse{})
		is.Equal(e.Verdict, v)
		sent := map[verdict.Verdict]int{verdict.NotRun: 2, verdict.MayHaveRun: 1}[v]
		is.Equal(len(first.submits())+len(second.submits()), sent)
	}
}

// Guards against accepting a ticket for a call that it was not issued for, and
// against refusing with not_run if the ticket may have been used before.
func TestWrongTicketsAreRefusedWithTrueVerdict(t *testing.T) {
	f, commands := newFleet(t)
	a := f.add("agent-1", wire.Report{Service: "records"}, func(s *fakeStream, _ wire.Message) { replyCreated(s, "filed") })
	sign := func(account fleet.ClientAccount, service string, start fleet.StartID) string {
		text, err := commands.Tickets.Keyring().Sign(ticket.Token{
			Purpose: ticket.PurposeTicket, Request: "r", Account: account, Service: service, Agent: "agent-1", Start: start,
		})
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	for name, text := range map[string]string{
		"forged":          "AAAAAQ" + sign("acme", "records", 1)[6:] + "x",
		"another account": sign("other", "records", 1),
		"another service": sign("acme", "orders", 1),
		"another start":   sign("acme", "records", 9),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call := filing
			call.Ticket = text
			is.Equal(commands.CallService(context.Background(), newCall(time.Second), call, &recordedResponse{}).Verdict, verdict.MayHaveRun)
			call.FirstUse = FirstUse{Stated: true, Received: time.Now()}
			is.Equal(commands.CallService(context.Background(), newCall(time.Second), call, &recordedResponse{}).Verdict, verdict.NotRun)
			is.Equal(len(a.submits()), 0)
		})
	}
	is := is.New(t)
	call := filing
	call.Ticket = sign("acme", "records", 1)
	is.Equal(commands.CallService(context.Background(), newCall(time.Second), call, &recordedResponse{}), nil) // a matching ticket is accepted
}

// Guards against running a filing that has an idempotency key and no ticket: two
// such calls could reach two agents.
func TestKeyWithoutTicketDoesNotRun(t *testing.T) {
	is := is.New(t)
	f, commands := newFleet(t)
	a := f.add("agent-1", wire.Report{Service: "records"}, func(s *fakeStream, _ wire.Message) { replyCreated(s, "filed") })
	call := filing
	call.IdempotencyKey = "k"
	e := commands.CallService(context.Background(), newCall(time.Second), call, &recordedResponse{})
	is.Equal(e.Status, 428)
	is.Equal(e.Verdict, verdict.NotRun)
	is.Equal(len(a.submits()), 0)
}

// Guards against sending a caller's ticket to another agent, and against a wrong
// verdict, while the ticket's agent cannot be reached.
func TestUnreachableTicketAgent(t *testing.T) {
	is := is.New(t)
	f, commands := newFleet(t)
	a := f.add("agent-1", wire.Report{Service: "records"}, nil)
	text, _, e := commands.IssueTicket(newCall(time.Second), "records", "")
	is.Equal(e, nil)
	a.down = true
	other := f.add("agent-2", wire.Report{Service: "records"}, func(s *fakeStream, _ wire.Message) { replyCreated(s, "filed") })
	call := filing
	call.Ticket = text
	is.Equal(commands.CallService(context.Background(), newCall(50*time.Millisecond), call, &recordedResponse{}).Verdict, verdict.MayHaveRun)
	call.FirstUse = FirstUse{Stated: true, Received: time.Now()}
	is.Equal(commands.CallService(context.Background(), newCall(50*time.Millisecond), call, &recordedResponse{}).Verdict, verdict.NotRun)
	// If the first attempt is old, or waited while the process was paused, a later
	// attempt may have run.
	call.FirstUse.Received = time.Now().Add(-firstUseMaxAge)
	is.Equal(commands.CallService(context.Background(), newCall(50*time.Millisecond), call, &recordedResponse{}).Verdict, verdict.MayHaveRun)
	call.FirstUse = FirstUse{Stated: true, Received: time.Now(), Paused: func() bool { return true }}
	is.Equal(commands.CallService(context.Background(), newCall(50*time.Millisecond), call, &recordedResponse{}).Verdict, verdict.MayHaveRun)
	is.Equal(len(other.submits()), 0)
}
