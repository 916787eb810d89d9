package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/ledger"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// firstMessageTimeout limits the wait for the message that follows Open.
	firstMessageTimeout = 5 * time.Second
	// closeTimeout limits the wait for the peer to close its side. It is long
	// because an abort also discards data that a slow receiver has not read
	// yet.
	closeTimeout = time.Minute
	// flushTimeout is how long a finished call counts as open, and so delays
	// the shutdown, while the peer has not confirmed the answer by closing its
	// side.
	flushTimeout = time.Second
	// chunkBytes is the maximum data size of one Chunk message.
	chunkBytes = 128 << 10
)

// stream is the subset of transport.Stream that a call uses.
type stream interface {
	Send(wire.Message) error
	Receive() (wire.Message, error)
	SetReadDeadline(time.Time)
	SetWriteDeadline(time.Time)
	CloseSend()
	Abort()
	Context() context.Context
}

// call is the state of one request stream from an entry VM.
type call struct {
	stream stream
	// ended is closed when the answer has been sent, peerClosed when no more
	// messages can be received from the peer, and canceled on Cancel.
	ended      chan struct{}
	peerClosed chan struct{}
	canceled   chan struct{}
	cancel     sync.Once
}

// handle serves one request stream and closes it.
func (a *agent) handle(ctx context.Context, s stream) {
	a.openCalls.Add(1)
	defer a.openCalls.Add(-1)
	s.SetReadDeadline(time.Now().Add(firstMessageTimeout))
	m, err := s.Receive()
	if err != nil {
		s.Abort()
		return
	}
	s.SetReadDeadline(time.Time{})
	c := &call{stream: s, ended: make(chan struct{}), peerClosed: make(chan struct{}), canceled: make(chan struct{})}
	go c.listen()
	a.dispatch(c, m)
	close(c.ended)
	s.CloseSend()
	s.SetReadDeadline(time.Now().Add(closeTimeout))
	select {
	case <-c.peerClosed:
	case <-time.After(flushTimeout):
	}
}

func (a *agent) dispatch(c *call, m wire.Message) {
	switch m := m.(type) {
	case *wire.Submit:
		m.RemainingMS = a.remainingMS(m)
		a.submit(c, m)
	case *wire.Attach:
		a.attach(c, m)
	case *wire.Resolve:
		a.resolve(c, m)
	case *wire.LeaseClaim:
		a.claimLease(c, m)
	case *wire.OrderRequest:
		a.sendOrder(c, m)
	case *wire.MapCall:
		_ = c.stream.Send(a.forwardMapCall(c.stream.Context(), m))
	default:
		a.refuse(c, "", verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "unexpected message %T", m))
	}
}

// listen receives messages until the peer closes its side or the stream fails,
// and handles Cancel.
func (c *call) listen() {
	defer close(c.peerClosed)
	for {
		m, err := c.stream.Receive()
		if err != nil {
			c.abortUnclosed(err)
			return
		}
		if _, ok := m.(*wire.Cancel); ok {
			c.cancel.Do(func() { close(c.canceled) })
			// Unblock a Send that is waiting for a slow receiver.
			c.stream.SetWriteDeadline(time.Now())
		}
	}
}

// abortUnclosed aborts the stream after the call has ended if reading failed
// before the peer closed its side.
func (c *call) abortUnclosed(err error) {
	if errors.Is(err, io.EOF) {
		return
	}
	select {
	case <-c.ended:
		c.stream.Abort()
	case <-c.stream.Context().Done():
	}
}

// attach resumes a stream from the part number that the entry VM asks for.
func (a *agent) attach(c *call, m *wire.Attach) {
	if m.Start != a.start {
		a.refuse(c, m.Request, streamUnknownError(verdict.ReasonOtherStart, "the stream belongs to another start of the agent"))
		return
	}
	r := a.runs.find(runKey{request: m.Request, account: m.Account})
	if r == nil {
		a.refuse(c, m.Request, streamUnknownError(verdict.ReasonStreamUnknown, "the agent does not keep the stream"))
		return
	}
	a.recorder.Record("request.attached", m.Request)
	a.follow(c, target{run: r, state: r.state, next: m.NextPart, deadline: deadlineFrom(m.RemainingMS), accepted: true})
}

// resolve answers with the result of a ticket's request, or marks the ticket as
// spent if the request has not begun.
func (a *agent) resolve(c *call, m *wire.Resolve) {
	t, e := a.verifyTicket(m.Ticket, m.Account, false)
	if e != nil {
		a.refuse(c, "", e)
		return
	}
	state := a.resolveTicket(t)
	a.follow(c, target{state: state, deadline: deadlineFrom(m.RemainingMS)})
}

func (a *agent) resolveTicket(t ticket.Token) *ledger.Run {
	state := a.ledger.Resolve(t)
	a.recorder.Record("ticket.resolved", t.Request)
	return state
}

func streamUnknownError(reason verdict.Reason, detail string) *verdict.Error {
	e := verdict.Uncertain(reason, "%s", detail)
	e.Status = http.StatusGone
	return e
}
