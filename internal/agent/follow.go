package agent

import (
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/ledger"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// deadlineSlack is how long a stream waits after its deadline. A run that is
// refused at the same deadline can then send its own verdict, which is more
// precise than the one of the stream.
const deadlineSlack = 100 * time.Millisecond

// target is the run whose answer a stream sends.
type target struct {
	// run is nil if the answer comes from the ledger alone.
	run   *run
	state *ledger.Run
	// next is the number of the next part to send.
	next     uint64
	deadline time.Time
	// accepted reports whether the stream begins with an Accepted message.
	accepted bool
}

// followResult is the state of a stream: still following its run, or the reason
// why it ended.
type followResult int

const (
	following followResult = iota
	answered
	canceled
	lost
)

// follow sends the progress and the answer of a run until the answer is sent,
// the caller cancels or the link is lost.
func (a *agent) follow(c *call, t target) {
	if t.run == nil {
		a.send(c, &t)
		return
	}
	t.run.addWatcher()
	if a.send(c, &t) == canceled {
		t.run.removeWatcher(0, canceledError())
		return
	}
	lostLink := verdict.Refuse(http.StatusGatewayTimeout, verdict.ReasonLinkLost, "no entry VM waited for the answer")
	t.run.removeWatcher(a.config.ResumeGrace.Std(), lostLink)
}

// send sends the messages of a run in order until the stream ends.
func (a *agent) send(c *call, t *target) followResult {
	timer := time.NewTimer(time.Until(t.deadline) + deadlineSlack)
	defer timer.Stop()
	if t.accepted && !t.alreadyRefused() {
		if err := c.stream.Send(&wire.Accepted{Start: a.start}); err != nil {
			return c.sendFailure()
		}
	}
	s := sender{call: c, target: t, begun: t.state.Begun(), deadline: timer.C}
	for {
		if o := a.sendNext(&s); o != following {
			return o
		}
	}
}

// sender is the progress of one stream in sending its target's messages.
type sender struct {
	*call
	*target
	// begun is nil after Begun has been sent.
	begun    <-chan struct{}
	deadline <-chan time.Time
}

// sendNext sends the next message, or waits until there may be one.
func (a *agent) sendNext(s *sender) followResult {
	// Check for the end before reading the parts; otherwise a part that is
	// appended between the two would be left out.
	finished := isClosed(s.state.Finished())
	part, changed, err := s.read()
	switch {
	case err != nil:
		a.refuse(s.call, s.run.key.request, streamUnknownError(verdict.ReasonStreamUnknown, "the part is no longer kept"))
		return answered
	case part != nil:
		return s.sendPart(part)
	case finished:
		return sendAnswer(s.call, s.state.Answer())
	}
	return s.wait(changed)
}

func (s *sender) sendPart(part *wire.Part) followResult {
	if s.begun != nil && s.sendBegun() != nil {
		return s.sendFailure()
	}
	if s.stream.Send(part) != nil {
		return s.sendFailure()
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

func (s *sender) wait(changed <-chan struct{}) followResult {
	select {
	case <-changed:
	case <-s.begun:
		if s.sendBegun() != nil {
			return s.sendFailure()
		}
	case <-s.state.Finished():
	case <-s.canceled:
		return canceled
	case <-s.stream.Context().Done():
		return lost
	case <-s.deadline:
		s.sendDeadlinePassed()
		return answered
	}
	return following
}

// sendDeadlinePassed ends the stream at its deadline. A run that has reached its own
// deadline and has not begun is refused, because the queue may be late. Other callers may
// still wait for a run with a later deadline.
func (s *sender) sendDeadlinePassed() {
	if s.run != nil && !time.Now().Before(s.run.deadline) &&
		s.run.refuse(verdict.Refuse(http.StatusGatewayTimeout, verdict.ReasonDeadline, "the deadline passed before the request began")) {
		sendAnswer(s.call, s.state.Answer())
		return
	}
	_ = s.stream.Send(wire.RefusedFrom(verdict.Uncertain(verdict.ReasonDeadline, "the deadline passed before the answer was known")))
}

// alreadyRefused reports whether the run was refused before it began.
func (t *target) alreadyRefused() bool { return t.state.State() == ledger.Spent }

// read returns the target's next part, or nil if there is none. It always
// returns nil for plain services and for answers from the ledger.
func (t *target) read() (*wire.Part, <-chan struct{}, error) {
	if t.run == nil || t.run.buffer == nil {
		return nil, nil, nil
	}
	return t.run.buffer.read(t.next)
}

// sendAnswer sends the run's answer, which is the last message of a stream.
func sendAnswer(c *call, answer ledger.Answer) followResult {
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

func (c *call) sendAll(messages ...wire.Message) followResult {
	for _, m := range messages {
		if c.stream.Send(m) != nil {
			return c.sendFailure()
		}
	}
	return answered
}

// sendFailure returns the reason why a Send failed.
func (c *call) sendFailure() followResult {
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
