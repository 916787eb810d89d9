package link

import (
	"context"
	"errors"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// ErrNoLink is returned by Call if there is no link to the agent.
var ErrNoLink = errors.New("no link to the agent")

// Call sends one message to an agent on a new request stream and returns the
// answer. If it returns an error other than ErrNoLink, the agent may have received
// the message.
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
