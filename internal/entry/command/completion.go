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

// Resume says what the caller has of a cut stream.
type Resume struct {
	StreamToken string
	NextPart    uint64
	Generated   string
}

// completion is a completion that runs.
type completion struct {
	*attempts
	request Completion
	buffer  *Buffer
	order   order
	// textKnown tells that order.text is the whole text so far, so that
	// another agent can continue it.
	textKnown bool
	token     string
	arrived   time.Time
	lastPart  time.Time
}

// StartCompletion runs a completion until ctx is done and returns the buffer
// from which the caller's connection takes the parts.
func (c *Commands) StartCompletion(ctx context.Context, call *Call, r Completion) (*Buffer, *verdict.Error) {
	s := c.newCompletion(call, r)
	var from *ticket.Token
	if r.Resume != nil {
		t, e := s.checkResume()
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
		order:     order{limit: c.StreamBufferBytes},
		textKnown: true,
		arrived:   time.Now(),
	}
	return s
}

func (s *completion) run(ctx context.Context, from *ticket.Token) {
	ctx, cancel := context.WithDeadline(ctx, s.call.Deadline.Add(deadlineGrace))
	defer cancel()
	// A full buffer must not outlive the request.
	defer context.AfterFunc(ctx, s.buffer.Close)()
	s.commands.Usage.Stream(1)
	defer s.commands.Usage.Stream(-1)
	resumed := s.order.tokens
	end := s.runAttempts(ctx, from)
	if end.Refusal == nil {
		s.succeeded()
	}
	// Another entry counted the tokens before a resume.
	s.commands.Usage.Used(s.call.Account.ID, end.PromptTokens, s.order.tokens-resumed)
	s.buffer.finish(end)
}

func (s *completion) runAttempts(ctx context.Context, from *ticket.Token) End {
	if from != nil {
		end, e := s.attach(ctx, from.Agent, from.Start)
		if e == nil {
			return *end
		}
		if !s.textKnown {
			return End{Refusal: s.final(e)}
		}
	}
	for {
		if s.exhausted() {
			return End{FinishReason: finishLength, CompletionTokens: s.order.tokens}
		}
		if e := s.confine(ctx); e != nil {
			return End{Refusal: s.final(e)}
		}
		agent, e := s.choose()
		if e != nil {
			return End{Refusal: s.final(e)}
		}
		end, e := s.attempt(ctx, agent)
		s.note(agent, e)
		if e == nil {
			return *end
		}
		if !s.textKnown || !s.again(ctx, agent.Hello.Process, e) {
			return End{Refusal: s.final(e)}
		}
	}
}

// exhausted reports whether every token was received and only the end of the
// stream was lost. Another attempt would generate a token too many.
func (s *completion) exhausted() bool {
	return s.order.tokens > 0 && s.order.tokens >= s.request.MaxTokens
}

func (s *completion) attempt(ctx context.Context, agent member.Agent) (*End, *verdict.Error) {
	x, e := s.open(ctx, agent, true)
	if e != nil {
		return nil, e
	}
	defer x.close()
	s.order.begin(max(s.order.attempt+1, s.count))
	s.token = s.streamToken(x.agent, x.start)
	if err := x.stream.Send(s.submitMessage(x)); err != nil {
		return nil, s.failed(ctx, x, errLost)
	}
	end, err := s.relay(x)
	if err == nil {
		return end, nil
	}
	return s.recover(ctx, x, err)
}

// recover attaches to the same run when the link was cut and is back soon;
// otherwise the attempt has failed.
func (s *completion) recover(ctx context.Context, x *exchange, err error) (*End, *verdict.Error) {
	if errors.Is(err, errLost) && ctx.Err() == nil && x.stream.LinkLost() {
		short, cancel := context.WithTimeout(ctx, relinkTimeout)
		defer cancel()
		stream, start, openErr := s.commands.waitOpen(short, x.agent)
		if openErr == nil && start == x.start {
			again := newExchange(ctx, stream, x.agent, start, true)
			again.server = x.server
			end, e := s.attachOver(ctx, again)
			if e == nil {
				return end, nil
			}
		} else if openErr == nil {
			stream.Abort()
		}
	}
	return nil, s.failed(ctx, x, err)
}

func (s *completion) submitMessage(x *exchange) *wire.Submit {
	return &wire.Submit{
		Request: s.call.ID, Attempt: s.order.attempt, Account: s.call.Account.ID, Rank: s.call.Rank,
		RemainingMS: s.call.remaining(), DeadlineUptime: x.deadlineUptime, Fingerprint: s.call.Fingerprint,
		Completion: &wire.Completion{
			Model: s.request.Model, Adapter: s.request.Adapter, Prompt: s.request.Prompt,
			// The engine counts only new tokens after the text so far.
			MaxTokens: s.request.MaxTokens - s.order.tokens,
			Generated: s.order.text.String(), NextPart: s.order.next,
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

// relay passes parts on until the whole answer has arrived.
func (s *completion) relay(x *exchange) (*End, error) {
	var done *wire.Done
	for done == nil || s.order.next < done.Parts {
		m, err := x.receive()
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *wire.Accepted, *wire.Begun:
		case *wire.Part:
			if err := s.pass(*m); err != nil {
				return nil, err
			}
		case *wire.Done:
			done = m
		case *wire.Refused:
			return nil, m.Error()
		default:
			return nil, errLost
		}
	}
	return &End{FinishReason: done.FinishReason, PromptTokens: done.PromptTokens, CompletionTokens: max(s.order.tokens, done.CompletionTokens)}, nil
}

func (s *completion) pass(p wire.Part) error {
	due, ok := s.order.take(p)
	if !ok {
		return errLost
	}
	for _, d := range due {
		s.measure()
		if !s.buffer.put(Part{Number: d.Number, Text: d.Text, Token: s.token}) {
			return verdict.Uncertain(verdict.ReasonCanceled, "the caller closed its connection or the deadline passed")
		}
		s.token = ""
	}
	return nil
}

func (s *completion) measure() {
	now := time.Now()
	if s.lastPart.IsZero() {
		s.commands.Usage.FirstToken(s.call.Rank, now.Sub(s.arrived))
	} else {
		s.commands.Usage.BetweenTokens(s.call.Rank, now.Sub(s.lastPart))
	}
	s.lastPart = now
}
