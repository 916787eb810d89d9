package peers

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

const (
	// HelloInterval is the time between two messages to the same gateway.
	HelloInterval = 400 * time.Millisecond
	// aliveFor is the time without a message after which a gateway counts as
	// lost: three messages and a little more.
	aliveFor = 1300 * time.Millisecond
	// forgetAfter is when a lost gateway is no longer called.
	forgetAfter = 30 * time.Second
	// controllerSilent is the time without a message about a group after which a
	// controller that sent some counts as lost: it sends one every 100 ms, and a
	// group that it holds stands still.
	controllerSilent = 400 * time.Millisecond
	// settleTime is the time after the start in which other gateways may be
	// unknown.
	settleTime = 4 * time.Second
	// knownPerHello bounds the addresses of others in a Hello.
	knownPerHello = 10
)

// Members is a gateway's view of all gateways. It is safe for concurrent use.
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
	// heard is zero for an address that never answered.
	heard time.Time
	// told is when it last sent a message about a group, as their controller.
	told  time.Time
	added time.Time
	alive bool
}

// NewMembers returns a view that knows only the seeds. self describes this
// gateway.
func NewMembers(self func() Peer, seeds []string, recorder *events.Recorder) *Members {
	return &Members{self: self, seeds: seeds, recorder: recorder, now: time.Now, started: time.Now(), peers: map[string]*member{}}
}

// SetSeeds replaces the seeds.
func (m *Members) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// HandleHello takes a gateway's message.
func (m *Members) HandleHello(h *Hello) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	me := m.self().ControlAddress
	if h.From.ControlAddress == me {
		return
	}
	x := m.peers[h.From.ControlAddress]
	if x == nil {
		x = &member{added: now}
		m.peers[h.From.ControlAddress] = x
	}
	if !x.alive || x.Start != h.From.Start || x.Serving != h.From.Serving {
		m.recorder.Record("gateway_seen", "", events.F("gateway", h.From.Name), events.F("address", h.From.ControlAddress), events.F("serving", h.From.Serving))
	}
	x.Peer, x.heard, x.alive = h.From, now, true
	for _, address := range h.Known {
		if address != me && m.peers[address] == nil {
			m.peers[address] = &member{Peer: Peer{ControlAddress: address}, added: now}
		}
	}
}

// Tick drops lost gateways and returns the addresses to greet and the greeting.
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
		silent := now.Sub(x.heard)
		if x.heard.IsZero() {
			silent = now.Sub(x.added)
		}
		if x.alive && silent > aliveFor {
			x.alive = false
			m.recorder.Record("gateway_lost", "", events.F("gateway", x.Name), events.F("silent_ms", silent.Milliseconds()))
		}
		if silent > forgetAfter {
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
	return out, &Hello{From: self, Known: known[:min(len(known), knownPerHello)]}
}

// Alive returns all gateways that were heard lately and this one, by start.
func (m *Members) Alive() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	out := []Peer{m.self()}
	for _, x := range m.peers {
		if x.alive && now.Sub(x.heard) <= aliveFor {
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

// Count returns the number of gateways. It is not settled shortly after the
// start, when most of them are not known yet.
func (m *Members) Count() (n int, settled bool) {
	return len(m.Alive()), m.now().Sub(m.started) >= settleTime
}

// LongestStoreConnection returns the longest time for which the store has answered one of the
// other gateways without a break, as they told lately; 0 if it answers none.
func (m *Members) LongestStoreConnection() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	longest := time.Duration(0)
	for _, x := range m.peers {
		if x.alive && now.Sub(x.heard) <= aliveFor {
			longest = max(longest, time.Duration(x.StoreConnectedMS)*time.Millisecond)
		}
	}
	return longest
}

// RecordController notes that a gateway sent a message about a group, as their controller.
func (m *Members) RecordController(control string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if x := m.peers[control]; x != nil {
		x.told = m.now()
	}
}

// silentController reports whether a gateway has controlled groups and does not any
// more.
func (m *Members) silentController(control string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.peers[control]
	return x != nil && !x.told.IsZero() && m.now().Sub(x.told) > controllerSilent
}

// Controller returns the gateway that controls the groups: of those with the
// largest processor the one that has run longest, so that a restart does not move
// the control. One that controlled them and fell silent is left out. Two gateways
// that don't hear each other may both be controllers; the protocol of a switch
// keeps that safe.
func (m *Members) Controller() Peer {
	self := m.self()
	alive := m.Alive()
	var best Peer
	for _, p := range alive {
		if p.ControlAddress != self.ControlAddress && m.silentController(p.ControlAddress) {
			continue
		}
		if best.ControlAddress == "" || (p.Serving && !best.Serving) || (p.Serving == best.Serving && p.Processor > best.Processor) {
			best = p
		}
	}
	return best
}
