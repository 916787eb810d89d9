package link

import (
	"context"
	"errors"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// ErrNoLink is returned for a call to an agent without a link.
var ErrNoLink = errors.New("there is no link to the agent")

// Call sends one message to an agent on a new request stream and returns the
// answer. After an error the agent may have received the message, except after
// ErrNoLink.
func (m *Manager) Call(ctx context.Context, agent fleet.ProcessID, message wire.Message) (wire.Message, error) {
	conn, _, ok := m.Agent(agent)
	if !ok {
		return nil, ErrNoLink
	}
	s, err := conn.OpenStream(ctx, wire.StreamRequest)
	if err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, s.Abort)()
	if err := s.Send(message); err != nil {
		s.Abort()
		return nil, err
	}
	s.CloseSend()
	answer, err := s.Receive()
	if err != nil {
		s.Abort()
	}
	return answer, err
}
