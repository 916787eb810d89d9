// Package link runs the long-lived control streams between processes: entry VMs
// dial their peers and agents, agents only accept.
package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

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
	// Endpoint must listen.
	Endpoint   *transport.Endpoint
	View       *member.View
	Store      *config.Store
	Quarantine *quarantine.Registry
	Recorder   *events.Recorder
	// Report returns the agent's present state; it is nil for entry VMs.
	Report func() wire.Report
	// HandleRequest serves a request stream; it is nil for entry VMs. It runs
	// in its own goroutine and closes the stream. Its context ends with Run and
	// not with the connection. Run waits for it.
	HandleRequest func(context.Context, *transport.Stream)
	// MaxAccepted bounds the open connections that others dialed; a further one
	// is closed at once. Zero means defaultMaxAccepted.
	MaxAccepted int
}

// defaultMaxAccepted is several times the links of the largest planned fleet:
// an agent has up to 21 entry VMs, an entry VM about 10 peers.
const defaultMaxAccepted = 512

// store is the part of config.Store that links use.
type store interface {
	Merge(documents []wire.Document, storeRevision uint64) []wire.Document
	Hash() uint64
	Revision() uint64
	Digest() wire.ConfigDigest
	Missing(digest wire.ConfigDigest, limit int) ([]wire.Document, []wire.DocumentOffer)
	Holds(wire.DocumentOffer) bool
	Documents(name string) []wire.Document
	PlatformAge() time.Duration
	RecordPlatformContact(time.Duration)
}

// Manager keeps the links of a process. It is safe for concurrent use.
type Manager struct {
	Config
	store    store
	count    atomic.Uint64
	accepted atomic.Int64
	sequence atomic.Uint64

	mu sync.Mutex
	// links holds every link whose Hello messages were exchanged.
	links map[*peer]struct{}
	// dialing holds the targets that have a dialing goroutine.
	dialing map[member.Target]struct{}
	// changed is closed when a link becomes ready or ends.
	changed chan struct{}

	fetchMu sync.Mutex
	// fetches holds the documents that were asked for, by name.
	fetches map[string]*fetch
}

// NewManager returns a manager; Run starts it.
func NewManager(c Config) *Manager {
	if c.MaxAccepted == 0 {
		c.MaxAccepted = defaultMaxAccepted
	}
	return &Manager{
		Config:  c,
		store:   c.Store,
		links:   map[*peer]struct{}{},
		dialing: map[member.Target]struct{}{},
		changed: make(chan struct{}),
		fetches: map[string]*fetch{},
	}
}

// Run accepts connections, and dials the targets of the view, until ctx is
// done. It returns nil then, and the endpoint's error if accepting fails.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.accept(ctx, group) })
	group.Go(func() error { return m.dialTargets(ctx, group) })
	group.Go(func() error { return m.gossip(ctx) })
	return group.Wait()
}

// Agent returns the connection to an agent and the agent's start, or false if
// there is no link now.
func (m *Manager) Agent(process fleet.ProcessID) (*transport.Conn, fleet.StartID, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best *peer
	for p := range m.links {
		if p.hello.Process == process && p.ready() && (best == nil || p.hello.Start > best.hello.Start) {
			best = p
		}
	}
	if best == nil {
		return nil, 0, false
	}
	return best.conn, best.hello.Start, true
}

// WaitAgent waits until there is a link to the agent or ctx is done, and then
// returns the context's error.
func (m *Manager) WaitAgent(ctx context.Context, process fleet.ProcessID) (*transport.Conn, fleet.StartID, error) {
	for {
		changed := m.change()
		if conn, start, ok := m.Agent(process); ok {
			return conn, start, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// Push sends the own heartbeat, and report if any, over every link now. Use it
// after a change that others should know at once. Pushes within 50 ms are sent
// as one.
func (m *Manager) Push() {
	for _, p := range m.peers(nil) {
		p.push()
	}
}

func (m *Manager) change() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// signal wakes WaitAgent. The caller holds m.mu.
func (m *Manager) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// peers returns the links without one of them.
func (m *Manager) peers(without *peer) []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]*peer, 0, len(m.links))
	for p := range m.links {
		if p != without {
			list = append(list, p)
		}
	}
	return list
}

func (m *Manager) heartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{
		Count:          m.count.Add(1),
		Leaving:        m.View.Leaving(),
		ConfigHash:     m.store.Hash(),
		ConfigRevision: m.store.Revision(),
		PlatformAge:    m.store.PlatformAge().Milliseconds(),
	}
}
