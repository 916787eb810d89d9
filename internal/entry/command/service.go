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
	// Ticket is the caller's ticket, or empty if it sent none.
	Ticket         string
	FirstUse       FirstUse
	IdempotencyKey string
}

// ResponseSink receives the response of a plain service.
type ResponseSink interface {
	// Begin receives the status and headers. A further call restarts the
	// response.
	Begin(*wire.Response) error
	Write([]byte) error
	// Committed reports whether the caller has received a part of the response.
	Committed() bool
}

// CallService runs a call of a plain service and relays the response to sink. It
// returns nil if the response is complete.
func (c *Commands) CallService(ctx context.Context, call *Call, request ServiceCall, sink ResponseSink) *verdict.Error {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(deadlineGrace))
	defer cancel()
	a := &attempts{commands: c, call: call, query: routing.Request{Service: request.Service.Name}}
	switch {
	case request.Ticket != "":
		return c.callWithTicket(ctx, a, request, sink)
	case request.Service.Idempotent:
		return c.callIdempotent(ctx, a, request, sink)
	case request.IdempotencyKey != "":
		return verdict.Refuse(http.StatusPreconditionRequired, verdict.ReasonTicketRequired,
			"get a ticket from /v1/tickets; a key alone does not keep the call from running twice")
	}
	a.query.NotRetryable = true
	return c.callNonIdempotent(ctx, a, request, sink)
}

// callIdempotent runs an idempotent call and retries it on another agent if an
// attempt fails.
func (c *Commands) callIdempotent(ctx context.Context, a *attempts, request ServiceCall, sink ResponseSink) *verdict.Error {
	for {
		agent, e := a.choose()
		if e != nil {
			return a.finalError(e)
		}
		x, e := a.open(ctx, agent, true)
		if e == nil {
			e = c.submitService(ctx, a, x, request, "", a.count, sink)
			a.recordResult(agent, e)
		}
		if e == nil {
			return nil
		}
		if sink.Committed() || !a.prepareRetry(ctx, agent.Hello.Process, e) {
			return a.finalError(e)
		}
	}
}

// callNonIdempotent runs a non-idempotent call with a ticket that this entry
// issues. It tries another agent only after a verdict that the call did not run.
func (c *Commands) callNonIdempotent(ctx context.Context, a *attempts, request ServiceCall, sink ResponseSink) *verdict.Error {
	for {
		agent, e := a.choose()
		if e != nil {
			return a.finalError(e)
		}
		ticketText, err := c.sign(agent, ticket.Token{Purpose: ticket.PurposeTicket, Request: a.call.ID, Account: a.call.Account.ID, Service: request.Service.Name})
		if err != nil {
			return a.finalError(verdict.Refuse(http.StatusInternalServerError, verdict.ReasonInternal, "%v", err))
		}
		x, e := a.open(ctx, agent, true)
		if e == nil {
			e = c.submitTicketed(ctx, a, x, request, ticketText, 1, sink)
			a.recordResult(agent, e)
		}
		if e == nil || e.Verdict != verdict.NotRun || !a.prepareRetry(ctx, agent.Hello.Process, e) {
			return e
		}
	}
}

func (c *Commands) submit(a *attempts, x *exchange, request ServiceCall, ticketText string, attempt uint32) error {
	return x.stream.Send(&wire.Submit{
		Request: a.call.ID, Attempt: attempt, Account: a.call.Account.ID, Rank: a.call.Rank, Ticket: ticketText,
		RemainingMS: a.call.remainingMS(), DeadlineUptime: x.deadlineUptime, Fingerprint: a.call.Fingerprint, Service: &request.Service,
	})
}

func (c *Commands) submitService(ctx context.Context, a *attempts, x *exchange, request ServiceCall, ticketText string, attempt uint32, sink ResponseSink) *verdict.Error {
	defer x.close()
	if err := c.submit(a, x, request, ticketText, attempt); err != nil {
		return a.attemptError(ctx, x, errStreamLost)
	}
	if err := relayService(x, sink); err != nil {
		return a.attemptError(ctx, x, err)
	}
	a.clearSuspicion()
	return nil
}

// submitTicketed sends a ticketed call. If the link is lost, it asks the agent for
// the result.
func (c *Commands) submitTicketed(ctx context.Context, a *attempts, x *exchange, request ServiceCall, ticketText string, attempt uint32, sink ResponseSink) *verdict.Error {
	defer x.close()
	err := c.submit(a, x, request, ticketText, attempt)
	if err == nil {
		err = relayService(x, sink)
	} else {
		// The agent may have received the frame, so it has to be asked.
		err = errStreamLost
	}
	if err == nil {
		a.clearSuspicion()
		return nil
	}
	if err != errStreamLost {
		return verdict.From(err)
	}
	e := a.attemptError(ctx, x, err)
	if ctx.Err() != nil {
		return e
	}
	return c.resolve(ctx, a, x, ticketText, sink)
}

func relayService(x *exchange, sink ResponseSink) error {
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
			return errStreamLost
		}
		if err != nil {
			return verdict.Uncertain(verdict.ReasonCanceled, "the answer could not be relayed: %v", err)
		}
	}
}
