// Package member keeps a process's view of the entry VMs and agents of the
// fleet from direct evidence, gossip and the platform's VM list, in this order
// of precedence.
package member

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// EntryVM is an entry VM as this process sees it.
type EntryVM struct {
	Hello   wire.Hello
	Alive   bool
	Leaving bool
	// Direct tells that this process has a link to it.
	Direct bool
}

// Agent is an agent as this process sees it.
type Agent struct {
	Hello  wire.Hello
	Report wire.Report
	// ReportAge is the time since the report arrived.
	ReportAge time.Duration
	// Leaving is true if the agent or the VM list says so.
	Leaving bool
	// Linked tells that a link to this start of the agent is up.
	Linked bool
}

// Uptime returns the agent's estimated uptime in milliseconds now.
func (a Agent) Uptime() int64 { return a.Report.Uptime + a.ReportAge.Milliseconds() }

// Target is an address that a process should have a link to.
type Target struct {
	Process fleet.ProcessID
	Role    fleet.Role
	Address string
}

// View is a process's view of the fleet. It is safe for concurrent use.
type View struct{}

// Config holds the parameters of a View.
type Config struct {
	Self wire.Hello
	// Seeds are peer addresses to link to before anything else is known.
	Seeds []string
	// AgentSubset bounds the agents per model or service to link to.
	AgentSubset int
}

// NewView returns a view that knows only its own process.
func NewView(c Config) *View { return &View{} }

// Self returns the own process.
func (v *View) Self() wire.Hello { return wire.Hello{} }

// SetLeaving marks the own process as leaving.
func (v *View) SetLeaving() {}

// Heard notes a heartbeat received over a link.
func (v *View) Heard(h wire.Hello, b wire.Heartbeat) {}

// Reported notes an agent's report received over a link.
func (v *View) Reported(h wire.Hello, r wire.Report) {}

// Lost notes that a link to a start of a process is down.
func (v *View) Lost(process fleet.ProcessID, start fleet.StartID) {}

// Gossip merges what a peer says about other processes.
func (v *View) Gossip(members []wire.Member) {}

// Members returns what to tell peers.
func (v *View) Members() []wire.Member { return nil }

// SetVMs merges the platform's VM list.
func (v *View) SetVMs(vms []config.VM) {}

// Paused notes that the own process was stopped for a while: every report and
// heartbeat counts as expired until the next one arrives.
func (v *View) Paused() {}

// Entries returns the known entry VMs, with the own one.
func (v *View) Entries() []EntryVM { return nil }

// Agents returns the agents with a report of at most 3 s of age.
func (v *View) Agents() []Agent { return nil }

// Agent returns one agent, also when its report is old.
func (v *View) Agent(process fleet.ProcessID) (Agent, bool) { return Agent{}, false }

// Targets returns the links that the own process should have.
func (v *View) Targets() []Target { return nil }

// Reader reports whether the own process is one of its zone's two readers of
// the platform.
func (v *View) Reader() bool { return false }
