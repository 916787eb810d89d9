package command

import (
	"context"
	"net/http"

	"github.com/coltsfootbay/coltsfootbay/internal/routing"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Service wire.Service
	// Ticket is the caller's ticket; empty if it sent none.
	Ticket         string
	FirstUse       FirstUse
	IdempotencyKey string
}

// ServiceSink takes the answer of a plain service.
type ServiceSink interface {
	// Begin takes the head. A repeat of it restarts the answer.
	Begin(*wire.Response) error
	Write([]byte) error
	// Committed tells that a part of the answer went to the caller already.
	Committed() bool
}

// CallService runs a call of a plain service and relays the answer.
func (c *Commands) CallService(ctx context.Context, call *Call, s ServiceCall, sink ServiceSink) *verdict.Error {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(deadlineGrace))
	defer cancel()
	a := &attempts{commands: c, call: call, query: routing.Request{Service: s.Service.Name}}
	switch {
	case s.Ticket != "":
		return c.callWithTicket(ctx, a, s, sink)
	case s.Service.Idempotent:
		return c.callRepeatable(ctx, a, s, sink)
	case s.IdempotencyKey != "":
		return verdict.Refuse(http.StatusPreconditionRequired, verdict.ReasonTicketRequired,
			"get a ticket from /v1/tickets; a key alone does not keep the call from running twice")
	}
	a.query.NotRetryable = true
	return c.callOnce(ctx, a, s, sink)
}

// callRepeatable runs an idempotent call, on another agent if one fails.
func (c *Commands) callRepeatable(ctx context.Context, a *attempts, s ServiceCall, sink ServiceSink) *verdict.Error {
	for {
		agent, e := a.choose()
		if e != nil {
			return a.final(e)
		}
		x, e := a.open(ctx, agent, true)
		if e == nil {
			e = c.submitService(ctx, a, x, s, "", a.count, sink)
			a.note(agent, e)
		}
		if e == nil {
			return nil
		}
		if sink.Committed() || !a.again(ctx, agent.Hello.Process, e) {
			return a.final(e)
		}
	}
}

// callOnce runs a non-idempotent call with a ticket of the entry's own. Another
// agent is tried only after a verdict that the call did not run.
func (c *Commands) callOnce(ctx context.Context, a *attempts, s ServiceCall, sink ServiceSink) *verdict.Error {
	for {
		agent, e := a.choose()
		if e != nil {
			return a.final(e)
		}
		text, err := c.sign(agent, ticket.Token{Purpose: ticket.PurposeTicket, Request: a.call.ID, Account: a.call.Account.ID, Service: s.Service.Name})
		if err != nil {
			return a.final(verdict.Refuse(http.StatusInternalServerError, verdict.ReasonInternal, "%v", err))
		}
		x, e := a.open(ctx, agent, true)
		if e == nil {
			e = c.submitOnce(ctx, a, x, s, text, 1, sink)
			a.note(agent, e)
		}
		if e == nil || e.Verdict != verdict.NotRun || !a.again(ctx, agent.Hello.Process, e) {
			return e
		}
	}
}

func (c *Commands) submit(a *attempts, x *exchange, s ServiceCall, text string, attempt uint32) error {
	return x.stream.Send(&wire.Submit{
		Request: a.call.ID, Attempt: attempt, Account: a.call.Account.ID, Rank: a.call.Rank, Ticket: text,
		RemainingMS: a.call.remaining(), DeadlineUptime: x.deadlineUptime, Fingerprint: a.call.Fingerprint, Service: &s.Service,
	})
}

func (c *Commands) submitService(ctx context.Context, a *attempts, x *exchange, s ServiceCall, text string, attempt uint32, sink ServiceSink) *verdict.Error {
	defer x.close()
	if err := c.submit(a, x, s, text, attempt); err != nil {
		return a.failed(ctx, x, errLost)
	}
	if err := relayService(x, sink); err != nil {
		return a.failed(ctx, x, err)
	}
	a.succeeded()
	return nil
}

// submitOnce sends a ticketed call and asks for its fate if the link is lost.
func (c *Commands) submitOnce(ctx context.Context, a *attempts, x *exchange, s ServiceCall, text string, attempt uint32, sink ServiceSink) *verdict.Error {
	defer x.close()
	err := c.submit(a, x, s, text, attempt)
	if err == nil {
		err = relayService(x, sink)
	} else {
		// A part of the frame may have gone out, so the agent has to be asked.
		err = errLost
	}
	if err == nil {
		a.succeeded()
		return nil
	}
	if err != errLost {
		return verdict.From(err)
	}
	e := a.failed(ctx, x, err)
	if ctx.Err() != nil {
		return e
	}
	return c.resolve(ctx, a, x, text, sink)
}

func relayService(x *exchange, sink ServiceSink) error {
	for {
		m, err := x.receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *wire.Accepted, *wire.Begun:
		case *wire.Response:
			err = sink.Begin(m)
		case *wire.Chunk:
			err = sink.Write(m.Data)
		case *wire.Done:
			return nil
		case *wire.Refused:
			return m.Error()
		default:
			return errLost
		}
		if err != nil {
			return verdict.Uncertain(verdict.ReasonCanceled, "the answer could not be relayed: %v", err)
		}
	}
}
