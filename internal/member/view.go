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

// EntryVM is the state of an entry VM in the view of this process.
type EntryVM struct {
	Hello   wire.Hello
	Alive   bool
	Leaving bool
	// Suspect is true if the entry VM is linked and alive but has sent no
	// heartbeat or report for more than 3 s.
	Suspect bool
	// Linked is true if this process has a link to the entry VM.
	Linked bool
}

// Agent is the state of an agent in the view of this process.
type Agent struct {
	Hello  wire.Hello
	Report wire.Report
	// ReportAge is the time since the report arrived or was last confirmed by a
	// heartbeat.
	ReportAge time.Duration
	// Leaving is true if the agent or the VM list reports it as leaving.
	Leaving bool
	// Linked is true if a link to this start of the agent is up.
	Linked bool
}

// Uptime returns the agent's estimated current uptime in milliseconds.
func (a Agent) Uptime() int64 { return a.Report.Uptime + a.ReportAge.Milliseconds() }

// Target is an address that a process should have a link to.
type Target struct {
	// Process is the name of the process, or empty for a seed whose process is not
	// known yet.
	Process fleet.ProcessID
	Role    fleet.Role
	Address string
}

// View is a process's view of the fleet. It is safe for concurrent use.
type View struct {
	config  Config
	now     func() time.Time
	started time.Time

	mu           sync.Mutex
	leaving      bool
	records      map[fleet.ProcessID]*record
	vms          map[fleet.ProcessID]config.VM
	changed      chan struct{}
	gossipCursor int
	// rankTargets are the targets of an agent that coordinates a group.
	rankTargets []Target
}

// Config holds the parameters of a View.
type Config struct {
	Self wire.Hello
	// Seeds are the addresses of entry VMs to link to before others are known.
	Seeds []string
	// AgentSubset is the largest number of agents of one model or service to which
	// this process links to all; see groupLinks for larger groups.
	AgentSubset int
}

// NewView returns a view that contains only this process.
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

// Self returns the Hello message of this process.
func (v *View) Self() wire.Hello { return v.config.Self }

// SetLeaving marks this process as leaving.
func (v *View) SetLeaving() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = true
	v.notifyChanged()
}

// Leaving reports whether this process is leaving.
func (v *View) Leaving() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaving
}

// Changed returns a channel that is closed at the next change of the processes
// or of their starts, links, groups, leaving states or death declarations.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *View) notifyChanged() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Entries returns the known entry VMs. If this process is one, it comes first.
func (v *View) Entries() []EntryVM {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := []EntryVM{}
	if v.config.Self.Role == fleet.RoleEntry {
		list = append(list, EntryVM{Hello: v.config.Self, Alive: true, Leaving: v.leaving, Linked: true})
	}
	for _, r := range v.sortedRecords(fleet.RoleEntry) {
		list = append(list, EntryVM{
			Hello:   r.hello,
			Alive:   v.alive(r),
			Leaving: v.isLeaving(r),
			Suspect: v.alive(r) && r.linked && v.silence(r) > suspectAfter,
			Linked:  r.linked,
		})
	}
	return list
}

// Agents returns the agents whose report is at most 3 s old.
func (v *View) Agents() []Agent {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := []Agent{}
	for _, r := range v.sortedRecords(fleet.RoleAgent) {
		if a := v.agent(r); r.hasReport && a.ReportAge <= reportLifetime {
			list = append(list, a)
		}
	}
	return list
}

// Agent returns one agent regardless of the age of its report, or false if the
// process is unknown or not an agent.
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
		ReportAge: v.since(r.reportedAt),
		Leaving:   v.isLeaving(r),
		Linked:    r.linked,
	}
}
