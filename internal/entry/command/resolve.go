package command

import (
	"context"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// reconnectInterval is the time between attempts to reach an agent.
const reconnectInterval = 50 * time.Millisecond

// resolve asks the agent over a new connection for the result of a ticketed
// call that was already sent. It retries until ctx is done and returns
// may_have_run if the agent does not answer.
func (c *Commands) resolve(ctx context.Context, a *attempts, lost *exchange, ticketText string, sink ResponseSink) *verdict.Error {
	for {
		s, start, err := c.Links.WaitOpen(ctx, lost.agent)
		if err == nil && start != lost.start {
			s.Abort()
			return verdict.Uncertain(verdict.ReasonOtherStart, "agent %s restarted and lost the record of the ticket", lost.agent)
		}
		if err == nil {
			x := newExchange(ctx, s, lost.agent, start, false)
			if err = c.resolveOver(a, x, ticketText, sink); err == nil {
				return nil
			}
			if err != errStreamLost {
				return verdict.From(err)
			}
		}
		if ctx.Err() != nil || !wait(ctx, reconnectInterval) {
			return deadlineOrCanceled(ctx)
		}
	}
}

// waitOpen opens a stream to an agent. It retries over the next link if the
// current one fails, until ctx is done.
func (c *Commands) waitOpen(ctx context.Context, agent fleet.ProcessID) (Stream, fleet.StartID, error) {
	for {
		s, start, err := c.Links.WaitOpen(ctx, agent)
		if err == nil {
			return s, start, nil
		}
		if !wait(ctx, reconnectInterval) {
			return nil, 0, ctx.Err()
		}
	}
}

func (c *Commands) resolveOver(a *attempts, x *exchange, ticketText string, sink ResponseSink) error {
	defer x.close()
	c.Recorder.Record("ticket.resolving", a.call.ID, events.F("agent", x.agent))
	q := &wire.Resolve{Ticket: ticketText, Account: a.call.Account.ID, RemainingMS: a.call.remainingMS()}
	if err := x.stream.Send(q); err != nil {
		return errStreamLost
	}
	return relayService(x, sink)
}
