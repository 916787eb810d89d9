package link

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/transport"
)

const (
	// targetInterval is the longest time between comparisons of the links with
	// the targets of the view.
	targetInterval = 500 * time.Millisecond
	// reconcileGap is the shortest time between these comparisons.
	reconcileGap = 50 * time.Millisecond
	// gossipInterval is the mean time between Members messages.
	gossipInterval = time.Second
	// minBackoff and maxBackoff bound the mean time between attempts to dial a
	// target.
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 2 * time.Second
	dialTimeout = 2 * time.Second
	// tieBreakDelay delays the dial of the process with the higher name. Two
	// processes that are targets of each other thus usually open one connection.
	tieBreakDelay = time.Second
)

func (m *Manager) accept(ctx context.Context, group *errgroup.Group) error {
	for {
		conn, err := m.Endpoint.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if m.accepted.Add(1) > int64(m.MaxAccepted) {
			m.accepted.Add(-1)
			conn.Close()
			m.Recorder.Record("link.refused", "", events.F("address", conn.RemoteAddress()))
			continue
		}
		group.Go(func() error {
			defer m.accepted.Add(-1)
			m.serve(ctx, group, conn, "")
			return nil
		})
	}
}

// dialTargets starts a dialing goroutine for each target without a link, and
// closes links to processes that are no longer targets.
func (m *Manager) dialTargets(ctx context.Context, group *errgroup.Group) error {
	for {
		changed := m.View.Changed()
		targets := m.View.Targets()
		for _, t := range targets {
			m.startDialing(ctx, group, t)
		}
		m.closeUnwanted(targets)
		if !sleep(ctx, reconcileGap) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-time.After(targetInterval):
		}
	}
}

func (m *Manager) startDialing(ctx context.Context, group *errgroup.Group, t member.Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, busy := m.dialing[t]; busy || m.linked(t) {
		return
	}
	m.dialing[t] = struct{}{}
	group.Go(func() error {
		m.dial(ctx, group, t)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.dialing, t)
		return nil
	})
}

// dial connects to a target until another link to it exists or it is no longer
// a target.
func (m *Manager) dial(ctx context.Context, group *errgroup.Group, t member.Target) {
	backoff := minBackoff
	if !sleep(ctx, m.initialDialDelay(t)) {
		return
	}
	for m.isUnlinkedTarget(t) {
		if conn, err := m.connect(ctx, t.Address); err == nil {
			started := time.Now()
			m.serve(ctx, group, conn, t.Address)
			if time.Since(started) > maxBackoff {
				backoff = minBackoff
			}
		}
		if !sleep(ctx, backoff/2+rand.N(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (m *Manager) connect(ctx context.Context, address string) (*transport.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return m.Endpoint.Dial(ctx, address)
}

// initialDialDelay returns a random delay, which spreads the dials after a start
// or the end of a network partition.
func (m *Manager) initialDialDelay(t member.Target) time.Duration {
	delay := rand.N(minBackoff)
	if t.Role == fleet.RoleEntry && t.Process != "" && m.View.Self().Process > t.Process {
		delay += tieBreakDelay
	}
	return delay
}

func (m *Manager) isUnlinkedTarget(t member.Target) bool {
	m.mu.Lock()
	linked := m.linked(t)
	m.mu.Unlock()
	if linked {
		return false
	}
	for _, other := range m.View.Targets() {
		if other == t {
			return true
		}
	}
	return false
}

// linked reports whether a link to the target is up. The caller must hold m.mu.
func (m *Manager) linked(t member.Target) bool {
	for p := range m.links {
		if !p.retired.Load() && p.matches(t) {
			return true
		}
	}
	return false
}

func (p *peer) matches(t member.Target) bool {
	if t.Process != "" {
		return p.hello.Process == t.Process
	}
	return p.hello.Address == t.Address || p.address == t.Address
}

// closeUnwanted closes duplicate links, and dialed links to processes that are
// no longer targets. It waits for unwantedGrace, and until only the control
// stream is open.
func (m *Manager) closeUnwanted(targets []member.Target) {
	for _, p := range m.peers(nil) {
		if !p.unwanted(targets) {
			p.unwantedSince = time.Time{}
			continue
		}
		if p.unwantedSince.IsZero() {
			p.unwantedSince = time.Now()
		}
		if time.Since(p.unwantedSince) > unwantedGrace && p.conn.OpenStreams() <= 1 {
			p.conn.Close()
		}
	}
}

func (p *peer) unwanted(targets []member.Target) bool {
	if p.retired.Load() {
		return true
	}
	if !p.dialed {
		return false
	}
	for _, t := range targets {
		if p.matches(t) {
			return false
		}
	}
	return true
}

// gossip sends Members to one linked entry VM per second on average, which keeps
// the cost independent of the number of links.
func (m *Manager) gossip(ctx context.Context) error {
	for sleep(ctx, gossipInterval/2+rand.N(gossipInterval)) {
		var entries []*peer
		for _, p := range m.peers(nil) {
			if p.hello.Role == fleet.RoleEntry {
				entries = append(entries, p)
			}
		}
		if len(entries) > 0 && m.View.Self().Role == fleet.RoleEntry {
			entries[rand.N(len(entries))].sendMembers()
		}
	}
	return nil
}

// sleep waits for d and returns true, or returns false as soon as ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
