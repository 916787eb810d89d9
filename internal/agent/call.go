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
	// firstMessageTimeout bounds the wait for the message after Open.
	firstMessageTimeout = 5 * time.Second
	// closeTimeout bounds the wait for the peer to close its side. It is long
	// because an abort also drops data that a slow receiver has not read.
	closeTimeout = time.Minute
	// flushTimeout is how long an ended call keeps a leaving process waiting
	// for a peer that does not confirm the answer by closing its side.
	flushTimeout = time.Second
	// chunkBytes is the size of one Chunk message's data.
	chunkBytes = 128 << 10
)

// stream is the part of transport.Stream that a call uses.
type stream interface {
	Send(wire.Message) error
	Receive() (wire.Message, error)
	SetReadDeadline(time.Time)
	SetWriteDeadline(time.Time)
	CloseSend()
	Abort()
	Context() context.Context
}

// call is one request stream from an entry VM.
type call struct {
	stream stream
	// ended is closed when the answer was sent, peerClosed when the peer will
	// send nothing more.
	ended      chan struct{}
	peerClosed chan struct{}
	canceled   chan struct{}
	cancel     sync.Once
}

// handle serves a request stream and closes it.
func (a *agent) handle(ctx context.Context, s stream) {
	a.calls.Add(1)
	defer a.calls.Add(-1)
	s.SetReadDeadline(time.Now().Add(firstMessageTimeout))
	m, err := s.Receive()
	if err != nil {
		s.Abort()
		return
	}
	s.SetReadDeadline(time.Time{})
	c := &call{stream: s, ended: make(chan struct{}), peerClosed: make(chan struct{}), canceled: make(chan struct{})}
	go c.listen()
	a.serveCall(c, m)
	close(c.ended)
	s.CloseSend()
	s.SetReadDeadline(time.Now().Add(closeTimeout))
	select {
	case <-c.peerClosed:
	case <-time.After(flushTimeout):
	}
}

func (a *agent) serveCall(c *call, m wire.Message) {
	switch m := m.(type) {
	case *wire.Submit:
		m.Deadline = a.remaining(m)
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
		_ = c.stream.Send(a.mapCall(c.stream.Context(), m))
	default:
		a.refuse(c, "", verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "unexpected message %T", m))
	}
}

// listen waits for Cancel until the peer closes its side.
func (c *call) listen() {
	defer close(c.peerClosed)
	for {
		m, err := c.stream.Receive()
		if err != nil {
			c.closeAfter(err)
			return
		}
		if _, ok := m.(*wire.Cancel); ok {
			c.cancel.Do(func() { close(c.canceled) })
			// A Send that waits for a slow receiver must not delay the cancel.
			c.stream.SetWriteDeadline(time.Now())
		}
	}
}

// closeAfter releases the stream of an ended call whose peer did not close it.
func (c *call) closeAfter(err error) {
	if errors.Is(err, io.EOF) {
		return
	}
	select {
	case <-c.ended:
		c.stream.Abort()
	case <-c.stream.Context().Done():
	}
}

// attach serves the parts of a stream from a number on.
func (a *agent) attach(c *call, m *wire.Attach) {
	if m.Start != a.start {
		a.refuse(c, m.Request, streamUnknown(verdict.ReasonOtherStart, "the stream belongs to another start of the agent"))
		return
	}
	r := a.runs.find(runKey{request: m.Request, account: m.Account})
	if r == nil {
		a.refuse(c, m.Request, streamUnknown(verdict.ReasonStreamUnknown, "the agent does not keep the stream"))
		return
	}
	a.recorder.Record("request.attached", m.Request)
	a.follow(c, target{run: r, state: r.state, next: m.NextPart, deadline: deadlineFrom(m.Deadline), accepted: true})
}

// resolve answers what became of a ticket.
func (a *agent) resolve(c *call, m *wire.Resolve) {
	t, e := a.verifyTicket(m.Ticket, m.Account, false)
	if e != nil {
		a.refuse(c, "", e)
		return
	}
	state := a.resolveTicket(t)
	a.follow(c, target{state: state, deadline: deadlineFrom(m.Deadline)})
}

func (a *agent) resolveTicket(t ticket.Token) *ledger.Run {
	state := a.ledger.Resolve(t)
	a.recorder.Record("ticket.resolved", t.Request)
	return state
}

func streamUnknown(reason verdict.Reason, detail string) *verdict.Error {
	e := verdict.Uncertain(reason, "%s", detail)
	e.Status = http.StatusGone
	return e
}
