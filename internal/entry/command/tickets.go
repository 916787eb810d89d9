package command

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/routing"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// keyHash returns the hash of an idempotency key; zero means that there is none.
func keyHash(account fleet.ClientAccount, key string) uint64 {
	if key == "" {
		return 0
	}
	return max(xxhash.Sum64String(string(account)+"\x00"+key), 1)
}

// sign binds a token to the present start of an agent.
func (c *Commands) sign(agent member.Agent, t ticket.Token) (string, error) {
	t.Agent, t.Start = agent.Hello.Process, agent.Hello.Start
	t.ExpiresUptime = agent.Uptime() + c.TicketLifetime.Milliseconds()
	return c.Tickets.Keyring().Sign(t)
}

// IssueTicket returns a ticket for one call of a service and its lifetime.
func (c *Commands) IssueTicket(call *Call, service, key string) (string, time.Duration, *verdict.Error) {
	agent, ok := c.ticketAgent(call, service, key)
	if !ok {
		return "", 0, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackendServer,
			"no agent of service %q can be reached", service).WithRetryAfter(overloadRetryAfter)
	}
	// The ticket has an identity of its own; the request id is that of the
	// call for the ticket and would be logged for two requests.
	id := fleet.NewRequestID()
	text, err := c.sign(agent, ticket.Token{
		Purpose: ticket.PurposeTicket, Request: id, Account: call.Account.ID,
		Service: service, KeyHash: keyHash(call.Account.ID, key),
	})
	if err != nil {
		return "", 0, verdict.Refuse(http.StatusInternalServerError, verdict.ReasonInternal, "%v", err)
	}
	c.Recorder.Record("ticket.issued", call.ID, events.F("ticket", id), events.F("agent", agent.Hello.Process))
	return text, c.TicketLifetime, nil
}

// ticketAgent chooses by the key if there is one, so that a second ticket for a
// key meets the record of the first.
func (c *Commands) ticketAgent(call *Call, service, key string) (member.Agent, bool) {
	q := routing.Request{Service: service}
	if key == "" {
		return c.Router.Choose(c.View.Agents(), q)
	}
	return routing.Rendezvous(routing.Candidates(c.View.Agents(), q), keyHash(call.Account.ID, key))
}

// TicketRefusal returns e with a verdict that is true for a ticketed call of
// which this entry sent nothing: an earlier use of the ticket may have run,
// unless the caller states that this is the first.
func TicketRefusal(e *verdict.Error, firstUse bool) *verdict.Error {
	c := *e
	if !firstUse && c.Verdict == verdict.NotRun && !c.TicketSpent {
		c.Verdict = verdict.MayHaveRun
	}
	return &c
}

func (c *Commands) callWithTicket(ctx context.Context, a *attempts, s ServiceCall, sink ServiceSink) *verdict.Error {
	t, e := c.checkTicket(a.call, s)
	if e != nil {
		return c.refuseTicket(a.call, e, s)
	}
	// Every repeat of a ticket carries the ticket's request id.
	call := *a.call
	call.ID = t.Request
	stream, start, err := c.openForTicket(ctx, t, s)
	if err != nil {
		return c.refuseTicket(a.call, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonLinkLost, "the ticket's agent %s cannot be reached", t.Agent), s)
	}
	if start != t.Start {
		stream.Abort()
		return c.refuseTicket(a.call, verdict.Refuse(http.StatusConflict, verdict.ReasonOtherStart, "agent %s restarted after the ticket was issued", t.Agent), s)
	}
	c.Recorder.Record("request.routed", a.call.ID, events.F("agent", t.Agent), events.F("ticket", t.Request))
	x := newExchange(ctx, stream, t.Agent, start, false)
	agent, _ := c.View.Agent(t.Agent)
	x.server = agent.Report.ServerStart
	x.deadlineUptime = a.deadlineUptime(agent, start)
	x.ended = c.Router.RecordSent(t.Agent, a.query)
	attempt := uint32(2)
	if s.FirstUse.Holds() {
		attempt = 1
	}
	bound := *a
	bound.call = &call
	return c.submitOnce(ctx, &bound, x, s, s.Ticket, attempt, sink)
}

// openForTicket opens a stream to the ticket's agent. A first use is refused
// early, while not_run is still certain: the caller can then take a new ticket
// for an agent that is reached.
func (c *Commands) openForTicket(ctx context.Context, t ticket.Token, s ServiceCall) (Stream, fleet.StartID, error) {
	bounded := ctx
	if s.FirstUse.Holds() {
		var cancel context.CancelFunc
		bounded, cancel = context.WithTimeout(ctx, firstUseWait)
		defer cancel()
	}
	return c.waitOpen(bounded, t.Agent)
}

func (c *Commands) serverStart(agent fleet.ProcessID) string {
	a, _ := c.View.Agent(agent)
	return a.Report.ServerStart
}

func (c *Commands) checkTicket(call *Call, s ServiceCall) (ticket.Token, *verdict.Error) {
	t, err := c.Tickets.Keyring().Verify(s.Ticket, ticket.PurposeTicket)
	switch {
	case err != nil:
		return t, verdict.Refuse(http.StatusBadRequest, verdict.ReasonTicketInvalid, "%v", err)
	case t.Account != call.Account.ID:
		return t, verdict.Refuse(http.StatusForbidden, verdict.ReasonTicketInvalid, "the ticket belongs to another account")
	case t.Service != s.Service.Name:
		return t, verdict.Refuse(http.StatusBadRequest, verdict.ReasonTicketInvalid, "the ticket is for another service")
	case s.IdempotencyKey != "" && t.KeyHash != keyHash(call.Account.ID, s.IdempotencyKey):
		return t, verdict.Refuse(http.StatusBadRequest, verdict.ReasonTicketInvalid, "the ticket is for another idempotency key")
	}
	return t, nil
}

func (c *Commands) refuseTicket(call *Call, e *verdict.Error, s ServiceCall) *verdict.Error {
	e = TicketRefusal(e, s.FirstUse.Holds())
	c.Recorder.Record("ticket.refused", call.ID, events.F("reason", e.Reason), events.F("verdict", e.Verdict), events.F("account", call.Account.ID))
	return e
}
