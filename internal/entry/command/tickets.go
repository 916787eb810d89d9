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

// keyHash returns the hash of an idempotency key, or 0 if key is empty.
func keyHash(account fleet.ClientAccount, key string) uint64 {
	if key == "" {
		return 0
	}
	return max(xxhash.Sum64String(string(account)+"\x00"+key), 1)
}

// sign returns a signed token that is bound to the current start of an agent and
// expires after TicketLifetime.
func (c *Commands) sign(agent member.Agent, t ticket.Token) (string, error) {
	t.Agent, t.Start = agent.Hello.Process, agent.Hello.Start
	t.ExpiresUptime = agent.Uptime() + c.TicketLifetime.Milliseconds()
	return c.Tickets.Keyring().Sign(t)
}

// IssueTicket returns a ticket for one call of a service, and its lifetime.
func (c *Commands) IssueTicket(call *Call, service, key string) (string, time.Duration, *verdict.Error) {
	agent, ok := c.ticketAgent(call, service, key)
	if !ok {
		return "", 0, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackendServer,
			"no agent of service %q can be reached", service).WithRetryAfter(overloadRetryAfter)
	}
	// The ticket gets a request ID of its own. Reusing the ID of the call that
	// asks for the ticket would log two requests under one ID.
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

// ticketAgent chooses the agent by the idempotency key if there is one, so that
// a second ticket for the same key leads to the agent that has the record of the
// first.
func (c *Commands) ticketAgent(call *Call, service, key string) (member.Agent, bool) {
	request := routing.Request{Service: service}
	if key == "" {
		return c.Router.Choose(c.View.Agents(), request)
	}
	return routing.Rendezvous(routing.Candidates(c.View.Agents(), request), keyHash(call.Account.ID, key))
}

// TicketRefusal returns e with the correct verdict for a ticketed call that
// this entry has not sent to an agent: an earlier use of the ticket may have
// run, unless firstUse is true.
func TicketRefusal(e *verdict.Error, firstUse bool) *verdict.Error {
	c := *e
	if !firstUse && c.Verdict == verdict.NotRun && !c.TicketSpent {
		c.Verdict = verdict.MayHaveRun
	}
	return &c
}

// callWithTicket runs a call on the agent that the caller's ticket names.
func (c *Commands) callWithTicket(ctx context.Context, a *attempts, request ServiceCall, sink ResponseSink) *verdict.Error {
	t, e := c.verifyTicket(a.call, request)
	if e != nil {
		return c.refuseTicket(a.call, e, request)
	}
	// All attempts with the same ticket carry the ticket's request ID.
	call := *a.call
	call.ID = t.Request
	stream, start, err := c.openForTicket(ctx, t, request)
	if err != nil {
		return c.refuseTicket(a.call, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonLinkLost, "the ticket's agent %s cannot be reached", t.Agent), request)
	}
	if start != t.Start {
		stream.Abort()
		return c.refuseTicket(a.call, verdict.Refuse(http.StatusConflict, verdict.ReasonOtherStart, "agent %s restarted after the ticket was issued", t.Agent), request)
	}
	c.Recorder.Record("request.routed", a.call.ID, events.F("agent", t.Agent), events.F("ticket", t.Request))
	x := newExchange(ctx, stream, t.Agent, start, false)
	agent, _ := c.View.Agent(t.Agent)
	x.server = agent.Report.ServerStart
	x.deadlineUptime = a.deadlineUptime(agent, start)
	x.release = c.Router.RecordSent(t.Agent, a.query)
	attempt := uint32(2)
	if request.FirstUse.Trusted() {
		attempt = 1
	}
	bound := *a
	bound.call = &call
	return c.submitTicketed(ctx, &bound, x, request, request.Ticket, attempt, sink)
}

// openForTicket opens a stream to the ticket's agent. For a first use it stops
// waiting after firstUseLinkTimeout, while not_run is still certain, so that the
// caller can get a new ticket for an agent that can be reached.
func (c *Commands) openForTicket(ctx context.Context, t ticket.Token, request ServiceCall) (Stream, fleet.StartID, error) {
	bounded := ctx
	if request.FirstUse.Trusted() {
		var cancel context.CancelFunc
		bounded, cancel = context.WithTimeout(ctx, firstUseLinkTimeout)
		defer cancel()
	}
	return c.waitOpen(bounded, t.Agent)
}

func (c *Commands) serverStart(agent fleet.ProcessID) string {
	a, _ := c.View.Agent(agent)
	return a.Report.ServerStart
}

func (c *Commands) verifyTicket(call *Call, request ServiceCall) (ticket.Token, *verdict.Error) {
	t, err := c.Tickets.Keyring().Verify(request.Ticket, ticket.PurposeTicket)
	switch {
	case err != nil:
		return t, verdict.Refuse(http.StatusBadRequest, verdict.ReasonTicketInvalid, "%v", err)
	case t.Account != call.Account.ID:
		return t, verdict.Refuse(http.StatusForbidden, verdict.ReasonTicketInvalid, "the ticket belongs to another account")
	case t.Service != request.Service.Name:
		return t, verdict.Refuse(http.StatusBadRequest, verdict.ReasonTicketInvalid, "the ticket is for another service")
	case request.IdempotencyKey != "" && t.KeyHash != keyHash(call.Account.ID, request.IdempotencyKey):
		return t, verdict.Refuse(http.StatusBadRequest, verdict.ReasonTicketInvalid, "the ticket is for another idempotency key")
	}
	return t, nil
}

// refuseTicket records the refusal of a ticketed call and returns it with a
// verdict that takes earlier uses of the ticket into account.
func (c *Commands) refuseTicket(call *Call, e *verdict.Error, request ServiceCall) *verdict.Error {
	e = TicketRefusal(e, request.FirstUse.Trusted())
	c.Recorder.Record("ticket.refused", call.ID, events.F("reason", e.Reason), events.F("verdict", e.Verdict), events.F("account", call.Account.ID))
	return e
}
