// Package member keeps a process's view of the entry VMs and agents of the
// fleet from direct evidence, gossip and the platform's VM list, in this order
// of precedence.
package member

import (
	"sync"
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
	// Suspect tells that the entry VM is alive but silent for over 3 s.
	Suspect bool
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
	// Process is empty for a seed whose process is not known yet.
	Process fleet.ProcessID
	Role    fleet.Role
	Address string
}

// View is a process's view of the fleet. It is safe for concurrent use.
type View struct {
	config  Config
	now     func() time.Time
	started time.Time

	mu      sync.Mutex
	leaving bool
	records map[fleet.ProcessID]*record
	vms     map[fleet.ProcessID]config.VM
	changed chan struct{}
	cursor  int
	// ranks are the targets of an agent that coordinates a group.
	ranks []Target
}

// Config holds the parameters of a View.
type Config struct {
	Self wire.Hello
	// Seeds are peer addresses to link to before anything else is known.
	Seeds []string
	// AgentSubset bounds the agents per model or service to link to.
	AgentSubset int
}

// NewView returns a view that knows only its own process.
func NewView(c Config) *View { return newView(c, time.Now) }

func newView(c Config, now func() time.Time) *View {
	return &View{
		config:  c,
		now:     now,
		started: now(),
		records: map[fleet.ProcessID]*record{},
		vms:     map[fleet.ProcessID]config.VM{},
		changed: make(chan struct{}),
	}
}

// Self returns the own process.
func (v *View) Self() wire.Hello { return v.config.Self }

// SetLeaving marks the own process as leaving.
func (v *View) SetLeaving() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = true
	v.signal()
}

// Leaving reports whether the own process is leaving.
func (v *View) Leaving() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaving
}

// Changed returns a channel that is closed when the set of processes, their
// starts, links or leaving states change next.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *View) signal() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Entries returns the known entry VMs, with the own one.
func (v *View) Entries() []EntryVM {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := []EntryVM{}
	if v.config.Self.Role == fleet.RoleEntry {
		list = append(list, EntryVM{Hello: v.config.Self, Alive: true, Leaving: v.leaving, Direct: true})
	}
	for _, r := range v.sorted(fleet.RoleEntry) {
		list = append(list, EntryVM{
			Hello:   r.hello,
			Alive:   v.alive(r),
			Leaving: v.isLeaving(r),
			Suspect: v.alive(r) && r.direct && v.silence(r) > suspectAfter,
			Direct:  r.direct,
		})
	}
	return list
}

// Agents returns the agents with a report of at most 3 s of age.
func (v *View) Agents() []Agent {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := []Agent{}
	for _, r := range v.sorted(fleet.RoleAgent) {
		if a := v.agent(r); r.reported && a.ReportAge <= reportLifetime {
			list = append(list, a)
		}
	}
	return list
}

// Agent returns one agent, also when its report is old.
func (v *View) Agent(process fleet.ProcessID) (Agent, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.records[process]
	if !ok || r.hello.Role != fleet.RoleAgent {
		return Agent{}, false
	}
	return v.agent(r), true
}

func (v *View) agent(r *record) Agent {
	return Agent{
		Hello:     r.hello,
		Report:    r.report,
		ReportAge: v.since(r.reportAt),
		Leaving:   v.isLeaving(r),
		Linked:    r.direct,
	}
}
