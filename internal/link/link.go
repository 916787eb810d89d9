// Package link maintains the links between processes: connections with a
// long-lived control stream. Entry VMs dial other entry VMs and agents. Agents
// accept links; only the coordinator of a group dials other agents.
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

// Config holds the dependencies and limits of a Manager.
type Config struct {
	// Endpoint must be listening.
	Endpoint   *transport.Endpoint
	View       *member.View
	Store      *config.Store
	Quarantine *quarantine.Registry
	Recorder   *events.Recorder
	// Report returns the agent's current state; it is nil for entry VMs.
	Report func() wire.Report
	// HandleRequest serves a request stream and closes it; it is nil for entry
	// VMs. Each call runs in its own goroutine, for which Run waits. The context
	// is canceled with that of Run, not when the connection ends.
	HandleRequest func(context.Context, *transport.Stream)
	// MaxAccepted bounds the number of open accepted connections; further ones are
	// closed immediately. Zero means defaultMaxAccepted.
	MaxAccepted int
}

// defaultMaxAccepted is several times the number of links per process in the
// largest planned fleet: an agent has links from up to 21 entry VMs, and an entry
// VM has links to about 10 peers.
const defaultMaxAccepted = 512

// store is the subset of config.Store that links use.
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

// Manager maintains the links of a process. It is safe for concurrent use.
type Manager struct {
	Config
	store             store
	heartbeatCount    atomic.Uint64
	accepted          atomic.Int64
	suspicionSequence atomic.Uint64

	mu sync.Mutex
	// links holds all links on which Hello messages have been exchanged.
	links map[*peer]struct{}
	// dialing holds the targets that have a dialing goroutine.
	dialing map[member.Target]struct{}
	// changed is closed when a link becomes ready or ends.
	changed chan struct{}

	fetchMu sync.Mutex
	// fetches holds the documents that were requested from peers, by name.
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

// Run accepts connections and dials the targets of the view until ctx is done.
// It then returns nil. If accepting fails, it returns the endpoint's error.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.accept(ctx, group) })
	group.Go(func() error { return m.dialTargets(ctx, group) })
	group.Go(func() error { return m.gossip(ctx) })
	return group.Wait()
}

// Agent returns the connection to an agent and the agent's start, or false if
// there is no link that is ready for requests.
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

// WaitAgent waits for a link to the agent and returns it like Agent. If ctx is
// done before, it returns the context's error.
func (m *Manager) WaitAgent(ctx context.Context, process fleet.ProcessID) (*transport.Conn, fleet.StartID, error) {
	for {
		changed := m.linkChange()
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

// Push sends a heartbeat, and the report of an agent, over every link without
// waiting for the next heartbeat. It is used after a change that other processes
// must learn immediately. Pushes within 50 ms are combined into one. On an idle
// link a push is skipped if only the load of the agent changed.
func (m *Manager) Push() {
	for _, p := range m.peers(nil) {
		p.push()
	}
}

func (m *Manager) linkChange() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// notifyChanged wakes WaitAgent. The caller must hold m.mu.
func (m *Manager) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// peers returns all links except the given one, which may be nil.
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
		Count:          m.heartbeatCount.Add(1),
		Leaving:        m.View.Leaving(),
		ConfigHash:     m.store.Hash(),
		ConfigRevision: m.store.Revision(),
		PlatformAge:    m.store.PlatformAge().Milliseconds(),
	}
}
