package peers

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

const (
	// HelloInterval is the time between two Hello messages to the same gateway.
	HelloInterval = 400 * time.Millisecond
	// lostAfter is the time without a message after which a gateway counts as lost:
	// slightly more than three Hello messages.
	lostAfter = 1300 * time.Millisecond
	// forgetAfter is the time without a message after which no more messages are sent
	// to a gateway.
	forgetAfter = 30 * time.Second
	// controllerLostAfter is the time without a message about a group after which a
	// controller that has sent such messages counts as lost. A controller sends one
	// every 100 ms, and a group that it holds does not run until the hold ends.
	controllerLostAfter = 400 * time.Millisecond
	// firstHelloTimeout is the time after the start within which another gateway that runs
	// has answered the first Hello, or has sent one of its own.
	firstHelloTimeout = HelloInterval + 100*time.Millisecond
	// settleTime is the time after the start in which some gateways may not have been
	// discovered yet.
	settleTime = 4 * time.Second
	// maxKnownPerHello limits the addresses of other gateways in a Hello.
	maxKnownPerHello = 10
)

// Members is a gateway's view of all gateways, itself included. It is safe for
// concurrent use.
type Members struct {
	self     func() Peer
	seeds    []string
	recorder *events.Recorder
	now      func() time.Time
	started  time.Time

	mu    sync.Mutex
	peers map[string]*member // by control address
}

type member struct {
	Peer
	// lastHello is when the gateway last sent a Hello; zero if it never did.
	lastHello time.Time
	// sequence is that of the latest Hello.
	sequence uint64
	// lastGroupMessage is when the gateway last sent a message about a group, as its
	// controller; zero if it never did.
	lastGroupMessage time.Time
	added            time.Time
	alive            bool
}

// NewMembers returns a view that contains only the seeds, which are control addresses.
// self describes this gateway.
func NewMembers(self func() Peer, seeds []string, recorder *events.Recorder) *Members {
	return &Members{self: self, seeds: seeds, recorder: recorder, now: time.Now, started: time.Now(), peers: map[string]*member{}}
}

// SetSeeds replaces the control addresses of the seeds.
func (m *Members) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// HandleHello updates the view with a message of another gateway. It reports whether this
// is the first one of the gateway's start, which is answered with a Hello at once. A message
// that a later one of the same start has overtaken is ignored.
func (m *Members) HandleHello(h *Hello) (first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	ownAddress := m.self().ControlAddress
	if h.From.ControlAddress == ownAddress {
		return false
	}
	x := m.peers[h.From.ControlAddress]
	if x == nil {
		x = &member{added: now}
		m.peers[h.From.ControlAddress] = x
	}
	if x.Start == h.From.Start && h.Sequence < x.sequence {
		return false
	}
	if !x.alive || x.Start != h.From.Start || x.Serving != h.From.Serving {
		m.recorder.Record("gateway_seen", "", events.F("gateway", h.From.Name), events.F("address", h.From.ControlAddress), events.F("serving", h.From.Serving))
	}
	first = x.lastHello.IsZero() || x.Start != h.From.Start
	x.Peer, x.lastHello, x.sequence, x.alive = h.From, now, h.Sequence, true
	for _, address := range h.Known {
		if address != ownAddress && m.peers[address] == nil {
			m.peers[address] = &member{Peer: Peer{ControlAddress: address}, added: now}
		}
	}
	return first
}

// Tick marks silent gateways as lost and returns the Hello to send and the control
// addresses to send it to.
func (m *Members) Tick() ([]string, *Hello) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	self := m.self()
	to := map[string]bool{}
	for _, seed := range m.seeds {
		to[seed] = true
	}
	var known []string
	for address, x := range m.peers {
		silentFor := now.Sub(x.lastHello)
		if x.lastHello.IsZero() {
			silentFor = now.Sub(x.added)
		}
		if x.alive && silentFor > lostAfter {
			x.alive = false
			m.recorder.Record("gateway_lost", "", events.F("gateway", x.Name), events.F("silent_ms", silentFor.Milliseconds()))
		}
		if silentFor > forgetAfter {
			delete(m.peers, address)
			continue
		}
		to[address] = true
		if x.alive {
			known = append(known, address)
		}
	}
	delete(to, self.ControlAddress)
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	out := make([]string, 0, len(to))
	for address := range to {
		out = append(out, address)
	}
	return out, &Hello{From: self, Known: known[:min(len(known), maxKnownPerHello)]}
}

// Alive returns this gateway and those that have recently sent a Hello, ordered by
// start and name.
func (m *Members) Alive() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	out := []Peer{m.self()}
	for _, x := range m.peers {
		if x.alive && now.Sub(x.lastHello) <= lostAfter {
			out = append(out, x.Peer)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Start != out[j].Start {
			return out[i].Start < out[j].Start
		}
		return out[i].Name < out[j].Name
	})
	return out
}

// Known returns the control addresses of the seeds and of all other gateways that are known,
// also of silent ones.
func (m *Members) Known() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.Clone(m.seeds)
	for address := range m.peers {
		out = append(out, address)
	}
	slices.Sort(out)
	own := m.self().ControlAddress
	return slices.DeleteFunc(slices.Compact(out), func(address string) bool { return address == own })
}

// heard returns the number of gateways that were heard within forgetAfter, this one
// included, and whether there are seeds other than this gateway.
func (m *Members) heard() (n int, otherSeeds bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n = 1
	for _, x := range m.peers {
		if !x.lastHello.IsZero() {
			n++
		}
	}
	own := m.self().ControlAddress
	return n, slices.ContainsFunc(m.seeds, func(seed string) bool { return seed != own })
}

// Coordinator returns the serving gateway that coordinates the trials of a service, by
// rendezvous hashing. Gateways with different views of the others may briefly choose
// different coordinators.
func (m *Members) Coordinator(service string) Peer {
	var best Peer
	var highest uint64
	for _, p := range m.Alive() {
		h := xxhash.Sum64String(service + "\x00" + p.ControlAddress)
		if best.ControlAddress == "" || p.Serving && !best.Serving || p.Serving == best.Serving && h > highest {
			best, highest = p, h
		}
	}
	return best
}

// Count returns the number of gateways. It is not settled shortly after the start, when
// most gateways have not been discovered yet.
func (m *Members) Count() (n int, settled bool) {
	return len(m.Alive()), m.now().Sub(m.started) >= settleTime
}

// LongestStoreConnection returns the longest time for which one of the other gateways
// has been connected to a history of the store without interruption, as they recently
// reported; 0 if none is connected to it.
func (m *Members) LongestStoreConnection(history string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	longest := time.Duration(0)
	for _, x := range m.peers {
		if x.alive && now.Sub(x.lastHello) <= lostAfter && x.StoreHistory == history {
			longest = max(longest, time.Duration(x.StoreConnectedMS)*time.Millisecond)
		}
	}
	return longest
}

// HighestConfiguration returns the highest version of the configuration that one of the
// other gateways has in force, 0 if there is none. known is false shortly after the start
// while none of them has been heard.
func (m *Members) HighestConfiguration() (version int64, known bool) {
	n, otherSeeds := m.heard()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	for _, x := range m.peers {
		if x.alive && now.Sub(x.lastHello) <= lostAfter {
			version = max(version, x.ConfigurationVersion)
		}
	}
	return version, n > 1 || !otherSeeds || now.Sub(m.started) >= firstHelloTimeout
}

// RecordController records that the gateway at a control address sent a message about a
// group, as its controller.
func (m *Members) RecordController(control string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if x := m.peers[control]; x != nil {
		x.lastGroupMessage = m.now()
	}
}

// controllerLost reports whether a gateway has controlled groups and has stopped
// sending messages about them.
func (m *Members) controllerLost(control string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.peers[control]
	return x != nil && !x.lastGroupMessage.IsZero() && m.now().Sub(x.lastGroupMessage) > controllerLostAfter
}

// Controller returns the gateway that controls the groups. Gateways that accept
// requests are preferred, then those with the largest processor share, then the one
// that has run longest, because a restarted gateway then does not take over control. A
// gateway that has stopped sending messages about its groups is excluded. Two
// gateways that do not receive each other's messages may both act as controller, and so
// may one that was frozen; the agents of the ranks let one of them change the map at a
// time.
func (m *Members) Controller() Peer {
	self := m.self()
	alive := m.Alive()
	var best Peer
	for _, p := range alive {
		if p.ControlAddress != self.ControlAddress && m.controllerLost(p.ControlAddress) {
			continue
		}
		if best.ControlAddress == "" || (p.Serving && !best.Serving) || (p.Serving == best.Serving && p.Processor > best.Processor) {
			best = p
		}
	}
	return best
}
