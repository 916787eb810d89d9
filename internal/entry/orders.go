package entry

import (
	"context"
	"errors"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/orders"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

var errNoAgentLink = errors.New("no link to the agent")

// newController returns the sender of orders to engines.
func (p *process) newController() *orders.Controller {
	return orders.NewController(orders.ControllerConfig{
		Process:    p.self.Process,
		Start:      p.self.Start,
		Wanted:     func() map[fleet.ProcessID]dynamic.Engine { return p.store.Effective().Engines },
		Reported:   p.reportedEngine,
		Preference: p.view.Preference,
		Call:       p.callAgent,
	})
}

// reportedEngine returns what a reachable agent says that its engine holds.
func (p *process) reportedEngine(agent fleet.ProcessID) (wire.EngineState, bool) {
	a, ok := p.view.Agent(agent)
	if p.isLeaving() || !ok || !a.Linked || a.Leaving || !a.Report.ServerUp {
		return wire.EngineState{}, false
	}
	r := a.Report
	return wire.EngineState{Model: r.Model, Version: r.Version, Role: r.Role, Adapters: r.Adapters}, true
}

// callAgent sends one message on a new request stream and returns the answer.
func (p *process) callAgent(ctx context.Context, agent fleet.ProcessID, m wire.Message) (wire.Message, error) {
	conn, _, ok := p.links.Agent(agent)
	if !ok {
		return nil, errNoAgentLink
	}
	s, err := conn.OpenStream(ctx, wire.StreamRequest)
	if err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, s.Abort)()
	if err := s.Send(m); err != nil {
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
