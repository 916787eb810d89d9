// Package link runs the long-lived control streams between processes: entry VMs
// dial their peers and agents, agents only accept.
package link

import (
	"context"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/transport"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Config holds what a Manager works on.
type Config struct {
	Endpoint   *transport.Endpoint
	View       *member.View
	Store      *config.Store
	Quarantine *quarantine.Registry
	Recorder   *events.Recorder
	// Report returns the agent's present state; it is nil for entry VMs.
	Report func() wire.Report
	// HandleRequest serves a request stream; it is nil for entry VMs. It runs
	// in its own goroutine and closes the stream.
	HandleRequest func(context.Context, *transport.Stream)
}

// Manager keeps the links of a process. It is safe for concurrent use.
type Manager struct{}

// NewManager returns a manager; Run starts it.
func NewManager(c Config) *Manager { return &Manager{} }

// Run accepts connections, and dials the targets of the view, until ctx is
// done.
func (m *Manager) Run(ctx context.Context) error { return nil }

// Agent returns the connection to an agent and the agent's start, or false if
// there is no link now.
func (m *Manager) Agent(process fleet.ProcessID) (*transport.Conn, fleet.StartID, bool) {
	return nil, 0, false
}

// WaitAgent waits until there is a link to the agent or ctx is done.
func (m *Manager) WaitAgent(ctx context.Context, process fleet.ProcessID) (*transport.Conn, fleet.StartID, error) {
	return nil, 0, context.Canceled
}

// PublishSuspicions sends suspicions over every link and waits for the
// acknowledgements, at most 300 ms.
func (m *Manager) PublishSuspicions(ctx context.Context, suspicions []wire.Suspicion) {}

// Push sends the own heartbeat, and report if any, over every link now. Use it
// after a change that others should know at once.
func (m *Manager) Push() {}
