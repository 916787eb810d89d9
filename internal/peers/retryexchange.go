package peers

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/retry"
)

const (
	// maxSilence is how long before the start of a process its predecessor may have been
	// heard last. A predecessor that was cut off for longer may have sent retries that
	// nobody knows.
	maxSilence = 4 * time.Second
	// recallTime is how long after the first record from a keeper others are waited for.
	recallTime = 300 * time.Millisecond
	// recallLimit is how long records are asked for. A gateway that has none by then keeps its
	// hold and tells it to its own successor, which would else begin a hold of its own.
	recallLimit = 2 * time.Second
	// keeperPeers and keeperAgents are the numbers of gateways and agents that keep the
	// records of a gateway.
	keeperPeers  = 2
	keeperAgents = 2
	// agentLifetime is how long an agent is known after it was last heard or named.
	agentLifetime = 5 * time.Second
	// maxAgents bounds the agents that a gateway knows, and maxAgentsPerHello those in a
	// Hello.
	maxAgents         = 1024
	maxAgentsPerHello = 4
)

// RetryExchange tells other processes what this gateway has counted for its retry budgets,
// and asks them at the start what its predecessor had. It is safe for concurrent use.
//
// The record of a retry is sent before the retry, to two gateways and two rank agents: all
// gateways may be killed together. A gateway whose predecessor nobody remembers, or that
// reaches nobody that kept its counts, sends no retries for one window.
type RetryExchange struct {
	self    func() Peer
	members *Members
	budgets *retry.ServiceBudgets
	ledger  *RetryLedger
	send    func(address string, m Message)
	now     func() time.Time
	started time.Time

	mu       sync.Mutex
	sequence uint64
	// heardAgents holds when an agent was last heard, and namedAgents when another gateway last
	// named it, by address.
	heardAgents, namedAgents map[string]time.Time
	// recalled holds the predecessor's records by service until recallDone. recalledAt is
	// when the first one from a keeper arrived.
	recalled   map[string]keptRecord
	recalledAt time.Time
	recallDone bool
	// retried holds the services that got retries since AnnounceRetries.
	retried map[string]bool
	// formerGateways is the number of gateways that the predecessor knew.
	formerGateways int
}

// NewRetryExchange returns an exchange for this gateway's budgets, which it holds until the
// predecessor's counts are known. The caller must call Recall and Announce repeatedly.
func NewRetryExchange(self func() Peer, members *Members, budgets *retry.ServiceBudgets, send func(address string, m Message)) *RetryExchange {
	ledger := NewRetryLedger()
	budgets.Hold()
	budgets.SetOthers(func(service string, to *retry.Counts) { ledger.Add(to, service, budgets) })
	return &RetryExchange{
		self: self, members: members, budgets: budgets, ledger: ledger, send: send, now: time.Now, started: time.Now(),
		heardAgents: map[string]time.Time{}, namedAgents: map[string]time.Time{}, recalled: map[string]keptRecord{}, retried: map[string]bool{},
	}
}

// HearAgent records that an agent has sent a message.
func (x *RetryExchange) HearAgent(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.addAgent(x.heardAgents, address)
}

// HandleHello records the agents that another gateway has heard.
func (x *RetryExchange) HandleHello(h *Hello) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range h.Agents {
		x.addAgent(x.namedAgents, a)
	}
}

func (x *RetryExchange) addAgent(to map[string]time.Time, address string) {
	if _, known := to[address]; known || len(to) < maxAgents {
		to[address] = x.now()
	}
}

// HeardAgents returns agents for the next Hello: those that keep the records of all gateways,
// and some that take their place. Agents that were only named are left out: gateways would
// name one that has ended to each other forever.
func (x *RetryExchange) HeardAgents() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return highestHashes("", x.recent(x.heardAgents), maxAgentsPerHello)
}

// chosenAgents returns up to n agents, the same at all gateways that know the same agents.
func (x *RetryExchange) chosenAgents(n int) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := append(x.recent(x.heardAgents), x.recent(x.namedAgents)...)
	slices.Sort(all)
	return highestHashes("", slices.Compact(all), n)
}

// recent returns the addresses of the agents known within agentLifetime, and removes others.
func (x *RetryExchange) recent(agents map[string]time.Time) []string {
	var out []string
	for a, at := range agents {
		if x.now().Sub(at) > agentLifetime {
			delete(agents, a)
			continue
		}
		out = append(out, a)
	}
	return out
}

// highestHashes returns the n addresses with the highest hashes under a key.
func highestHashes(key string, addresses []string, n int) []string {
	sort.Slice(addresses, func(i, j int) bool {
		return xxhash.Sum64String(key+"\x00"+addresses[i]) > xxhash.Sum64String(key+"\x00"+addresses[j])
	})
	return addresses[:min(n, len(addresses))]
}

// Recall asks for the records of the predecessor and applies them once the first ones have
// arrived. It returns true when nothing remains to be asked.
func (x *RetryExchange) Recall() (done bool) {
	self := x.self().ControlAddress
	x.mu.Lock()
	restored := !x.recallDone && !x.recalledAt.IsZero() && x.now().Sub(x.recalledAt) >= recallTime
	if restored {
		x.restore()
	}
	x.recallDone = x.recallDone || x.recalledAt.IsZero() && x.now().Sub(x.started) >= recallLimit || x.budgets.HeldFor() == 0
	done = x.recallDone
	x.mu.Unlock()
	if restored {
		// This process may be killed before its next announcement.
		x.Announce()
	}
	if done {
		return true
	}
	for _, address := range append(x.members.Known(), x.chosenAgents(maxAgents)...) {
		x.send(address, &RetryQuery{Owner: self, From: self})
	}
	return false
}

// restore applies the predecessor's records. The caller holds the lock.
func (x *RetryExchange) restore() {
	now := x.now()
	held := time.Duration(0)
	for _, k := range x.recalled {
		x.budgets.Restore(k.history(), k.age(now))
		held = max(held, time.Duration(k.HeldMS)*time.Millisecond-k.age(now))
		x.formerGateways = max(x.formerGateways, k.Gateways)
	}
	x.budgets.HoldFor(held)
	x.recallDone = true
}

// HandleRecord keeps a record of another gateway, or uses one of this gateway's predecessor.
func (x *RetryExchange) HandleRecord(m *RetryRecord) {
	self := x.self()
	if m.Owner != self.ControlAddress {
		x.ledger.Keep(m)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	silent := time.Duration(m.SilentMS)*time.Millisecond - now.Sub(x.started)
	if x.recallDone || m.Start == self.Start || silent > maxSilence {
		return
	}
	if m.Keeper && x.recalledAt.IsZero() {
		x.recalledAt = now
	}
	if old, known := x.recalled[m.Service]; known && !m.newer(&old.RetryRecord) {
		return
	}
	x.recalled[m.Service] = keptRecord{RetryRecord: *m, at: now}
}

// newer reports whether m was made after other. Starts are compared by the ages, because the
// time of day, from which they are made, may jump.
func (m *RetryRecord) newer(other *RetryRecord) bool {
	if m.Start != other.Start {
		return m.AgeMS < other.AgeMS
	}
	return m.Sequence > other.Sequence
}

// HandleQuery sends the records that another gateway asks for, and passes the query on to
// the agents that keep records: a gateway that has just started does not know them.
func (x *RetryExchange) HandleQuery(q *RetryQuery) {
	for _, m := range x.ledger.Answer(q) {
		x.send(q.From, m)
	}
	for _, address := range x.chosenAgents(maxAgentsPerHello) {
		x.send(address, q)
	}
}

// Announce sends this gateway's counts to their keepers, with an empty record, which shows
// that there are no others. Counts with retries are sent to all gateways, which take them
// into account. It does nothing before Recall is done.
func (x *RetryExchange) Announce() {
	for _, h := range append(x.budgets.History(), retry.History{}) {
		x.announce(h.Service, x.keepers(), true)
		if slices.Max(append(h.Retries, 0)) > 0 {
			x.announceToOthers(h.Service)
		}
	}
}

// AnnounceRetries sends the counts of the services that got retries since the last call to
// all gateways. The keepers have them.
func (x *RetryExchange) AnnounceRetries() {
	x.mu.Lock()
	retried := x.retried
	x.retried = map[string]bool{}
	x.mu.Unlock()
	for service := range retried {
		x.announceToOthers(service)
	}
}

// AnnounceService sends the counts of one service to their keepers, before a retry is sent
// there.
func (x *RetryExchange) AnnounceService(service string) {
	x.announce(service, x.keepers(), true)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.retried[service] = true
}

// announceToOthers sends the counts of one service to the gateways that do not keep them.
func (x *RetryExchange) announceToOthers(service string) {
	keepers := x.keepers()
	x.announce(service, slices.DeleteFunc(x.others(), func(address string) bool { return slices.Contains(keepers, address) }), false)
}

// keepers returns the processes that keep this gateway's counts.
func (x *RetryExchange) keepers() []string {
	return append(highestHashes(x.self().ControlAddress, x.others(), keeperPeers), x.chosenAgents(keeperAgents)...)
}

// others returns the control addresses of the other gateways that are alive.
func (x *RetryExchange) others() []string {
	own := x.self().ControlAddress
	var out []string
	for _, p := range x.members.Alive() {
		if p.ControlAddress != own {
			out = append(out, p.ControlAddress)
		}
	}
	return out
}

func (x *RetryExchange) announce(service string, to []string, keepers bool) {
	self := x.self()
	gateways, _ := x.Sharers()
	m := &RetryRecord{Owner: self.ControlAddress, Start: self.Start, Gateways: gateways, Service: service, Keeper: keepers}
	x.mu.Lock()
	done := x.recallDone
	x.sequence++
	// A later sequence number must not have earlier counts.
	m.Sequence = x.sequence
	m.HeldMS = x.budgets.HeldFor().Milliseconds()
	if service != "" {
		h := x.budgets.ServiceHistory(service)
		m.Requests, m.Retries = h.Requests, h.Retries
	}
	x.mu.Unlock()
	if !done {
		return
	}
	for _, address := range to {
		x.send(address, m)
	}
}

// Sharers returns the number of gateways that share the fixed number of retries: all that
// were heard within forgetAfter, because one that is silent may only be cut off. known is
// false while this gateway has heard no other although it should.
func (x *RetryExchange) Sharers() (n int, known bool) {
	n, otherSeeds := x.members.heard()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.now().Sub(x.started) < forgetAfter {
		n = max(n, x.formerGateways)
	}
	return n, n > 1 || !otherSeeds
}
