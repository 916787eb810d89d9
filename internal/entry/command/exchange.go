package command

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// deadlineGrace is how long the entry waits beyond the deadline for the
	// agent's refusal, whose verdict is more precise than the entry's.
	deadlineGrace = 200 * time.Millisecond
	// cancelTimeout bounds the sending of a Cancel message.
	cancelTimeout = time.Second
	// drainTimeout bounds the wait for the agent to end a canceled stream. An
	// immediate reset could drop the Cancel message.
	drainTimeout = 2 * time.Second
)

// errStreamLost is returned if a stream ended before the agent's final message.
var errStreamLost = errors.New("the stream to the agent was lost")

// exchange is one request stream with its agent.
type exchange struct {
	stream Stream
	agent  fleet.ProcessID
	start  fleet.StartID
	// server is the start of the backend server when the request was sent.
	server string
	// tried holds the fingerprints of the request that were under suspicion then.
	tried []uint64
	// deadlineUptime is the deadline as the agent's uptime in milliseconds, or 0
	// if it is not known.
	deadlineUptime int64
	release        func()
	stopCancel     func() bool
	// cancelRun is true if an abandoned run is to be canceled. finished is true if
	// the agent sends no more messages.
	cancelRun bool
	finished  bool
}

// newExchange binds a stream to ctx. When ctx is done, it sends a Cancel to the
// agent if cancelRun is set, and receive returns.
func newExchange(ctx context.Context, s Stream, agent fleet.ProcessID, start fleet.StartID, cancelRun bool) *exchange {
	x := &exchange{stream: s, agent: agent, start: start, release: func() {}, cancelRun: cancelRun}
	x.stopCancel = context.AfterFunc(ctx, func() {
		x.sendCancel()
		s.SetReadDeadline(time.Now())
	})
	return x
}

// sendCancel sends a Cancel if cancelRun is set. It also bounds the time of a
// Submit that is still being written.
func (x *exchange) sendCancel() {
	x.stream.SetWriteDeadline(time.Now().Add(cancelTimeout))
	if x.cancelRun {
		_ = x.stream.Send(&wire.Cancel{})
	}
}

// receive returns the next message, or errStreamLost.
func (x *exchange) receive() (wire.Message, error) {
	m, err := x.stream.Receive()
	if err != nil {
		x.finished = true
		return nil, errStreamLost
	}
	switch m.(type) {
	case *wire.Done, *wire.Refused:
		x.finished = true
	}
	return m, nil
}

// close ends the stream. A Cancel that is being sent still reaches the agent.
func (x *exchange) close() {
	x.release()
	if x.stopCancel() {
		if x.finished {
			x.stream.Abort()
			return
		}
		x.sendCancel()
	}
	go func() {
		x.stream.SetReadDeadline(time.Now().Add(drainTimeout))
		for {
			if _, err := x.stream.Receive(); err != nil {
				break
			}
		}
		x.stream.Abort()
	}()
}
