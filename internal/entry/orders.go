package entry

import (
	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/orders"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// newController returns the controller that sends orders to engines.
func (p *process) newController() *orders.Controller {
	return orders.NewController(orders.ControllerConfig{
		Process:    p.self.Process,
		Start:      p.self.Start,
		Desired:    func() map[fleet.ProcessID]dynamic.Engine { return p.store.Effective().Engines },
		Reported:   p.reportedEngine,
		Preference: p.view.RendezvousPosition,
		Call:       p.links.Call,
	})
}

// reportedEngine returns the engine state that a reachable agent reported. It
// returns false while this process is leaving.
func (p *process) reportedEngine(agent fleet.ProcessID) (wire.EngineState, bool) {
	a, ok := p.view.Agent(agent)
	if p.isLeaving() || !ok || !a.Linked || a.Leaving || !a.Report.ServerUp {
		return wire.EngineState{}, false
	}
	r := a.Report
	return wire.EngineState{Model: r.Model, Version: r.Version, Role: r.Role, Adapters: r.Adapters}, true
}
