package agent

import (
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/ledger"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// ownDeadlineSlack lets a run that is refused at its own deadline say so
// before its stream gives up with a less certain verdict.
const ownDeadlineSlack = 100 * time.Millisecond

// target is what a stream follows.
type target struct {
	// run is nil for a ticket of which only the ledger's record is needed.
	run   *run
	state *ledger.Run
	// next is the number of the next part to send.
	next     uint64
	deadline time.Time
	// accepted tells that the stream starts with Accepted.
	accepted bool
}

// outcome is why a stream stopped following.
type outcome int

const (
	following outcome = iota
	answered
	canceled
	lost
)

// follow sends the progress and the answer of a run until it is answered, the
// caller cancels or the link is lost.
func (a *agent) follow(c *call, t target) {
	if t.run == nil {
		a.send(c, &t)
		return
	}
	t.run.watch()
	if a.send(c, &t) == canceled {
		t.run.unwatch(0, canceledError())
		return
	}
	lostLink := verdict.Refuse(http.StatusGatewayTimeout, verdict.ReasonLinkLost, "no entry VM waited for the answer")
	t.run.unwatch(a.config.ResumeGrace.Std(), lostLink)
}

// send sends messages in order until there is nothing more to send.
func (a *agent) send(c *call, t *target) outcome {
	timer := time.NewTimer(time.Until(t.deadline) + ownDeadlineSlack)
	defer timer.Stop()
	if t.accepted && !t.refusedAlready() {
		if err := c.stream.Send(&wire.Accepted{Start: a.start}); err != nil {
			return c.failed()
		}
	}
	s := sender{call: c, target: t, begun: t.state.Begun(), deadline: timer.C}
	for {
		if o := a.step(&s); o != following {
			return o
		}
	}
}

// sender is the progress of one stream.
type sender struct {
	*call
	*target
	// begun is nil once Begun was sent.
	begun    <-chan struct{}
	deadline <-chan time.Time
}

// step sends the next message, or waits until there may be one.
func (a *agent) step(s *sender) outcome {
	// The parts are read after the end was seen, so none is left out.
	finished := isClosed(s.state.Finished())
	part, changed, err := s.read()
	switch {
	case err != nil:
		a.refuse(s.call, s.run.key.request, streamUnknown(verdict.ReasonStreamUnknown, "the part is no longer kept"))
		return answered
	case part != nil:
		return s.sendPart(part)
	case finished:
		return sendAnswer(s.call, s.state.Answer())
	}
	return s.wait(changed)
}

func (s *sender) sendPart(part *wire.Part) outcome {
	if s.begun != nil && s.sendBegun() != nil {
		return s.failed()
	}
	if s.stream.Send(part) != nil {
		return s.failed()
	}
	s.run.buffer.markSent(part.Number)
	s.next++
	if isClosed(s.canceled) {
		return canceled
	}
	return following
}

func (s *sender) sendBegun() error {
	s.begun = nil
	return s.stream.Send(&wire.Begun{})
}

func (s *sender) wait(changed <-chan struct{}) outcome {
	select {
	case <-changed:
	case <-s.begun:
		if s.sendBegun() != nil {
			return s.failed()
		}
	case <-s.state.Finished():
	case <-s.canceled:
		return canceled
	case <-s.stream.Context().Done():
		return lost
	case <-s.deadline:
		_ = s.stream.Send(wire.RefusedFrom(verdict.Uncertain(verdict.ReasonDeadline, "the deadline passed before the answer was known")))
		return answered
	}
	return following
}

// refusedAlready reports whether the run never was in the queue.
func (t *target) refusedAlready() bool { return t.state.State() == ledger.Spent }

// read returns the next part, if the target is a stream.
func (t *target) read() (*wire.Part, <-chan struct{}, error) {
	if t.run == nil || t.run.buffer == nil {
		return nil, nil, nil
	}
	return t.run.buffer.read(t.next)
}

// sendAnswer ends the stream with the run's answer.
func sendAnswer(c *call, answer ledger.Answer) outcome {
	if answer.Err != nil {
		return c.sendAll(wire.RefusedFrom(answer.Err))
	}
	var messages []wire.Message
	if answer.Response != nil {
		messages = append(messages, answer.Response)
	}
	for body := answer.Body; len(body) > 0; {
		n := min(len(body), chunkBytes)
		messages = append(messages, &wire.Chunk{Data: body[:n]})
		body = body[n:]
	}
	return c.sendAll(append(messages, &answer.Done)...)
}

func (c *call) sendAll(messages ...wire.Message) outcome {
	for _, m := range messages {
		if c.stream.Send(m) != nil {
			return c.failed()
		}
	}
	return answered
}

// failed says why a Send failed.
func (c *call) failed() outcome {
	if isClosed(c.canceled) {
		return canceled
	}
	return lost
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
