package command

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/link"
	"github.com/coltsfootbay/coltsfootbay/internal/transport"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

var errNoLink = errors.New("no link to the agent")

// managedLinks opens streams over the links of a link.Manager.
type managedLinks struct{ *link.Manager }

// ManagedLinks returns Links that use the links of m.
func ManagedLinks(m *link.Manager) Links { return managedLinks{m} }

type managedStream struct {
	*transport.Stream
	conn *transport.Conn
}

// connectionCloseDelay is how long the end of a connection's context may lag
// behind the errors of its streams: quic-go ends the streams first.
const connectionCloseDelay = 20 * time.Millisecond

// LinkLost reports whether the connection is closed. It waits up to
// connectionCloseDelay for the close.
func (s managedStream) LinkLost() bool {
	select {
	case <-s.conn.Context().Done():
		return true
	case <-time.After(connectionCloseDelay):
		return false
	}
}

// Open opens a stream over the current link and returns the agent's start.
func (l managedLinks) Open(ctx context.Context, agent fleet.ProcessID) (Stream, fleet.StartID, error) {
	conn, start, ok := l.Agent(agent)
	if !ok {
		return nil, 0, errNoLink
	}
	return openStream(ctx, conn, start)
}

// WaitOpen waits for a link until ctx is done and opens a stream over it.
func (l managedLinks) WaitOpen(ctx context.Context, agent fleet.ProcessID) (Stream, fleet.StartID, error) {
	conn, start, err := l.WaitAgent(ctx, agent)
	if err != nil {
		return nil, 0, err
	}
	return openStream(ctx, conn, start)
}

func openStream(ctx context.Context, conn *transport.Conn, start fleet.StartID) (Stream, fleet.StartID, error) {
	s, err := conn.OpenStream(ctx, wire.StreamRequest)
	if err != nil {
		return nil, start, err
	}
	return managedStream{s, conn}, start, nil
}
