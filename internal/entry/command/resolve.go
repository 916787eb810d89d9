package command

import (
	"context"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// resolvePause separates the attempts to reach an agent.
const resolvePause = 50 * time.Millisecond

// resolve asks the agent over a new connection what became of a ticket that
// was sent, until the deadline. Without an answer the call may have run.
func (c *Commands) resolve(ctx context.Context, a *attempts, lost *exchange, text string, sink ServiceSink) *verdict.Error {
	for {
		s, start, err := c.Links.WaitOpen(ctx, lost.agent)
		if err == nil && start != lost.start {
			s.Abort()
			return verdict.Uncertain(verdict.ReasonOtherStart, "agent %s restarted and lost the record of the ticket", lost.agent)
		}
		if err == nil {
			x := newExchange(ctx, s, lost.agent, start, false)
			if err = c.resolveOver(a, x, text, sink); err == nil {
				return nil
			}
			if err != errLost {
				return verdict.From(err)
			}
		}
		if ctx.Err() != nil || !wait(ctx, resolvePause) {
			return deadlineOrCanceled(ctx)
		}
	}
}

// waitOpen opens a stream to an agent, over the next link if the present one
// fails, until ctx is done.
func (c *Commands) waitOpen(ctx context.Context, agent fleet.ProcessID) (Stream, fleet.StartID, error) {
	for {
		s, start, err := c.Links.WaitOpen(ctx, agent)
		if err == nil {
			return s, start, nil
		}
		if !wait(ctx, resolvePause) {
			return nil, 0, ctx.Err()
		}
	}
}

func (c *Commands) resolveOver(a *attempts, x *exchange, text string, sink ServiceSink) error {
	defer x.close()
	c.Recorder.Record("ticket.resolving", a.call.ID, events.F("agent", x.agent))
	q := &wire.Resolve{Ticket: text, Account: a.call.Account.ID, RemainingMS: a.call.remaining()}
	if err := x.stream.Send(q); err != nil {
		return errLost
	}
	return relayService(x, sink)
}
