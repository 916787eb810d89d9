package command

import (
	"context"
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// relinkTimeout is how long an interrupted stream waits for the link to its agent
// before another agent continues it. It is well below the agent's resume grace of
// 10 s.
const relinkTimeout = 500 * time.Millisecond

// verifyResume verifies the stream token and restores the state of the stream
// from the caller's request.
func (s *completion) verifyResume() (ticket.Token, *verdict.Error) {
	r := s.request.Resume
	t, err := s.commands.Tickets.Keyring().Verify(r.StreamToken, ticket.PurposeStream)
	var e *verdict.Error
	switch {
	case err != nil:
		e = verdict.Refuse(http.StatusBadRequest, verdict.ReasonTicketInvalid, "stream_token: %v", err)
	case t.Account != s.call.Account.ID:
		e = verdict.Refuse(http.StatusForbidden, verdict.ReasonTicketInvalid, "the stream belongs to another account")
	case t.Service != s.request.Model:
		e = verdict.Refuse(http.StatusBadRequest, verdict.ReasonTicketInvalid, "the stream is of another model")
	default:
		s.restoreState(t)
		return t, nil
	}
	// The stream that the caller refers to may have run before.
	e.Verdict = verdict.MayHaveRun
	s.commands.Recorder.Record("ticket.refused", s.call.ID, events.F("reason", e.Reason), events.F("account", s.call.Account.ID))
	return ticket.Token{}, e
}

func (s *completion) restoreState(t ticket.Token) {
	r := s.request.Resume
	s.commands.Recorder.Record("request.resumed", s.call.ID, events.F("stream", t.Request), events.F("next_part", r.NextPart), events.F("agent", t.Agent))
	call := *s.call
	call.ID = t.Request
	s.call = &call
	s.mayHaveRun = true
	s.sequence.next = r.NextPart
	// Engines send one part per token.
	s.sequence.tokens = int(min(r.NextPart, uint64(s.request.MaxTokens)))
	s.sequence.text.WriteString(r.Generated)
	s.textKnown = r.NextPart == 0 || r.Generated != ""
}

// attach continues a stream at the agent that buffers its parts.
func (s *completion) attach(ctx context.Context, agent fleet.ProcessID, start fleet.StartID) (*StreamEnd, *verdict.Error) {
	stream, linked, err := s.commands.Links.Open(ctx, agent)
	if err != nil {
		return nil, verdict.Uncertain(verdict.ReasonLinkLost, "agent %s cannot be reached", agent)
	}
	if linked != start {
		stream.Abort()
		return nil, verdict.Uncertain(verdict.ReasonOtherStart, "agent %s restarted", agent)
	}
	x := newExchange(ctx, stream, agent, start, true)
	x.server = s.commands.serverStart(agent)
	s.token = s.streamToken(agent, start)
	s.sequence.startAttempt(0)
	return s.attachOver(ctx, x)
}

func (s *completion) attachOver(ctx context.Context, x *exchange) (*StreamEnd, *verdict.Error) {
	defer x.close()
	m := &wire.Attach{Request: s.call.ID, Account: s.call.Account.ID, Start: x.start, NextPart: s.sequence.next, RemainingMS: s.call.remainingMS()}
	if err := x.stream.Send(m); err != nil {
		return nil, verdict.Uncertain(verdict.ReasonLinkLost, "the link to agent %s was lost", x.agent)
	}
	end, err := s.relay(x)
	if err != nil {
		return nil, s.attemptError(ctx, x, err)
	}
	return end, nil
}
