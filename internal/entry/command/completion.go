package command

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/routing"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Completion is a caller's request to a model.
type Completion struct {
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Resume    *Resume
}

// Resume describes what the caller received of an interrupted stream.
type Resume struct {
	StreamToken string
	NextPart    uint64
	Generated   string
}

// completion is a running completion.
type completion struct {
	*attempts
	request  Completion
	buffer   *Buffer
	sequence partSequence
	// textKnown is true if sequence.text is the whole text so far, which another
	// agent needs to continue it.
	textKnown bool
	token     string
	arrived   time.Time
	lastPart  time.Time
}

// StartCompletion runs a completion in the background until ctx is done and
// returns the buffer from which the caller's connection reads the parts. It
// returns an error if the stream token to resume from is refused.
func (c *Commands) StartCompletion(ctx context.Context, call *Call, r Completion) (*Buffer, *verdict.Error) {
	s := c.newCompletion(call, r)
	var from *ticket.Token
	if r.Resume != nil {
		t, e := s.verifyResume()
		if e != nil {
			return nil, e
		}
		from = &t
	}
	go s.run(ctx, from)
	return s.buffer, nil
}

// finishLength is the finish reason of an answer that reached max_tokens.
const finishLength = "length"

func (c *Commands) newCompletion(call *Call, r Completion) *completion {
	s := &completion{
		attempts: &attempts{commands: c, call: call, query: routing.Request{
			Model: r.Model, Adapter: r.Adapter, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Fingerprint: call.Fingerprint,
		}},
		request:   r,
		buffer:    newBuffer(c.StreamBufferBytes),
		sequence:  partSequence{limit: c.StreamBufferBytes},
		textKnown: true,
		arrived:   time.Now(),
	}
	return s
}

func (s *completion) run(ctx context.Context, from *ticket.Token) {
	ctx, cancel := context.WithDeadline(ctx, s.call.Deadline.Add(deadlineGrace))
	defer cancel()
	// A producer that waits for space in the buffer must not outlive the request.
	defer context.AfterFunc(ctx, s.buffer.Close)()
	s.commands.Usage.AddStreams(1)
	defer s.commands.Usage.AddStreams(-1)
	resumed := s.sequence.tokens
	end := s.runAttempts(ctx, from)
	if end.Refusal == nil {
		s.clearSuspicion()
	}
	// The entry that served the stream before a resume counted the earlier tokens.
	s.commands.Usage.AddTokens(s.call.Account.ID, end.PromptTokens, s.sequence.tokens-resumed)
	s.buffer.finish(end)
}

func (s *completion) runAttempts(ctx context.Context, from *ticket.Token) StreamEnd {
	if from != nil {
		end, e := s.attach(ctx, from.Agent, from.Start)
		if e == nil {
			return *end
		}
		if !s.textKnown {
			return StreamEnd{Refusal: s.finalError(e)}
		}
	}
	for {
		if s.allTokensReceived() {
			return StreamEnd{FinishReason: finishLength, CompletionTokens: s.sequence.tokens}
		}
		if e := s.confine(ctx); e != nil {
			return StreamEnd{Refusal: s.finalError(e)}
		}
		agent, e := s.choose()
		if e != nil {
			return StreamEnd{Refusal: s.finalError(e)}
		}
		end, e := s.attempt(ctx, agent)
		s.recordResult(agent, e)
		if e == nil {
			return *end
		}
		if !s.textKnown || !s.prepareRetry(ctx, agent.Hello.Process, e) {
			return StreamEnd{Refusal: s.finalError(e)}
		}
	}
}

// allTokensReceived reports whether all tokens arrived and only the end of the
// stream was lost. Another attempt would generate one token too many.
func (s *completion) allTokensReceived() bool {
	return s.sequence.tokens > 0 && s.sequence.tokens >= s.request.MaxTokens
}

func (s *completion) attempt(ctx context.Context, agent member.Agent) (*StreamEnd, *verdict.Error) {
	x, e := s.open(ctx, agent, true)
	if e != nil {
		return nil, e
	}
	defer x.close()
	s.sequence.startAttempt(max(s.sequence.attempt+1, s.count))
	s.token = s.streamToken(x.agent, x.start)
	if err := x.stream.Send(s.submitMessage(x)); err != nil {
		return nil, s.attemptError(ctx, x, errStreamLost)
	}
	end, err := s.relay(x)
	if err == nil {
		return end, nil
	}
	return s.reattach(ctx, x, err)
}

// reattach continues the same run if the link was lost and is reestablished
// within relinkTimeout; otherwise it returns the attempt's error.
func (s *completion) reattach(ctx context.Context, x *exchange, err error) (*StreamEnd, *verdict.Error) {
	if errors.Is(err, errStreamLost) && ctx.Err() == nil && x.stream.LinkLost() {
		bounded, cancel := context.WithTimeout(ctx, relinkTimeout)
		defer cancel()
		stream, start, openErr := s.commands.waitOpen(bounded, x.agent)
		if openErr == nil && start == x.start {
			reattached := newExchange(ctx, stream, x.agent, start, true)
			reattached.server, reattached.tried = x.server, x.tried
			end, e := s.attachOver(ctx, reattached)
			if e == nil {
				return end, nil
			}
		} else if openErr == nil {
			stream.Abort()
		}
	}
	return nil, s.attemptError(ctx, x, err)
}

func (s *completion) submitMessage(x *exchange) *wire.Submit {
	return &wire.Submit{
		Request: s.call.ID, Attempt: s.sequence.attempt, Account: s.call.Account.ID, Rank: s.call.Rank,
		RemainingMS: s.call.remainingMS(), DeadlineUptime: x.deadlineUptime, Fingerprint: s.call.Fingerprint, Properties: s.call.Properties,
		Completion: &wire.Completion{
			Model: s.request.Model, Adapter: s.request.Adapter, Prompt: s.request.Prompt,
			// The engine counts only the tokens that it generates after this text.
			MaxTokens: s.request.MaxTokens - s.sequence.tokens,
			Generated: s.sequence.text.String(), NextPart: s.sequence.next,
		},
	}
}

func (s *completion) streamToken(agent fleet.ProcessID, start fleet.StartID) string {
	text, err := s.commands.Tickets.Keyring().Sign(ticket.Token{
		Purpose: ticket.PurposeStream, Request: s.call.ID, Account: s.call.Account.ID,
		Service: s.request.Model, Agent: agent, Start: start,
	})
	if err != nil {
		s.commands.Recorder.Record("stream.token_failed", s.call.ID, events.F("error", err.Error()))
	}
	return text
}

// relay passes parts on to the caller until the whole answer has arrived.
func (s *completion) relay(x *exchange) (*StreamEnd, error) {
	var done *wire.Done
	for done == nil || s.sequence.next < done.Parts {
		m, err := x.receive()
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *wire.Accepted, *wire.Begun:
		case *wire.Part:
			if err := s.forwardPart(*m); err != nil {
				return nil, err
			}
		case *wire.Done:
			done = m
		case *wire.Refused:
			return nil, m.Error()
		default:
			return nil, errStreamLost
		}
	}
	return &StreamEnd{FinishReason: done.FinishReason, PromptTokens: done.PromptTokens, CompletionTokens: max(s.sequence.tokens, done.CompletionTokens)}, nil
}

func (s *completion) forwardPart(p wire.Part) error {
	ready, ok := s.sequence.add(p)
	if !ok {
		return errStreamLost
	}
	for _, d := range ready {
		s.recordLatency()
		if !s.buffer.put(Part{Number: d.Number, Text: d.Text, Token: s.token}) {
			return verdict.Uncertain(verdict.ReasonCanceled, "the caller closed its connection or the deadline passed")
		}
		s.token = ""
	}
	return nil
}

func (s *completion) recordLatency() {
	now := time.Now()
	if s.lastPart.IsZero() {
		s.commands.Usage.RecordFirstToken(s.call.Rank, now.Sub(s.arrived))
	} else {
		s.commands.Usage.RecordTokenGap(s.call.Rank, now.Sub(s.lastPart))
	}
	s.lastPart = now
}
