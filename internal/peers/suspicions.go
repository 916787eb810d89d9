package peers

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
)

const (
	// trialReplyTimeout is how long a gateway waits for the coordinator's reply to a
	// TrialRequest.
	trialReplyTimeout = 100 * time.Millisecond
	// itemsPerMessage bounds the items of each kind in a message, which usually keeps it
	// below maxDatagram.
	itemsPerMessage = 12
	// repairSuspicions bounds the suspicions that are sent to a gateway which has others.
	repairSuspicions = 36
)

// SuspicionExchange keeps the suspicions of all gateways equal and coordinates trials.
// Changes are sent to all gateways at once. A gateway that misses some of them, because
// it is new, was cut off or lost a datagram, has another digest in its next Hello and
// receives the most restricted suspicions again. It is safe for concurrent use.
type SuspicionExchange struct {
	self     string
	registry *quarantine.Registry
	members  *Members
	trials   *quarantine.Trials
	send     func(address string, m Message) error
	// changed is called after suspicions from other gateways have changed the registry.
	changed func()

	mu sync.Mutex
	// remembersSince is the time since which this gateway, or one that has told it its
	// suspicions, knows of all crashes.
	remembersSince time.Time
	// pending holds the channels on which the replies to this gateway's TrialRequests
	// are expected, by ID.
	pending map[uint64]chan TrialReply
}

// NewSuspicionExchange returns an exchange for the gateway with the control address self. It
// knows of no crash before now.
func NewSuspicionExchange(self string, registry *quarantine.Registry, members *Members, send func(string, Message) error, changed func()) *SuspicionExchange {
	return &SuspicionExchange{
		self: self, registry: registry, members: members, trials: quarantine.NewTrials(), send: send, changed: changed,
		pending: map[uint64]chan TrialReply{}, remembersSince: time.Now(),
	}
}

// Memory returns for how long the gateways know of all crashes, at most
// quarantine.SuspicionLifetime. They forget them when all of them end together.
func (x *SuspicionExchange) Memory() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return min(time.Since(x.remembersSince), quarantine.SuspicionLifetime)
}

// Remembers implements gateway.Suspicions.
func (x *SuspicionExchange) Remembers() bool { return x.Memory() >= quarantine.SuspicionLifetime }

// ExtendMemory records that this gateway knows of all crashes within a time until now.
func (x *SuspicionExchange) ExtendMemory(memory time.Duration) {
	since := time.Now().Add(-min(max(memory, 0), quarantine.SuspicionLifetime))
	x.mu.Lock()
	defer x.mu.Unlock()
	if since.Before(x.remembersSince) {
		x.remembersSince = since
	}
}

// Publish sends an update to all other gateways.
func (x *SuspicionExchange) Publish(u quarantine.Update) {
	if u.Empty() {
		return
	}
	for _, p := range x.members.Alive() {
		if p.ControlAddress != x.self {
			x.sendTo(p.ControlAddress, u)
		}
	}
}

// sendTo sends an update in messages that fit into datagrams.
func (x *SuspicionExchange) sendTo(address string, u quarantine.Update) {
	for !u.Empty() {
		n, d, p := min(len(u.Suspicions), itemsPerMessage), min(len(u.Doubted), itemsPerMessage), min(len(u.Proven), itemsPerMessage)
		for {
			err := x.send(address, &Suspicions{Suspicions: u.Suspicions[:n], Doubted: u.Doubted[:d], Proven: u.Proven[:p]})
			if !errors.Is(err, ErrTooLong) || n <= 1 {
				break
			}
			n /= 2
		}
		u = quarantine.Update{Suspicions: u.Suspicions[n:], Doubted: u.Doubted[d:], Proven: u.Proven[p:]}
	}
}

// Digest returns the digest for the next Hello.
func (x *SuspicionExchange) Digest() uint64 { return x.registry.Digest() }

// HandleHello sends this gateway's suspicions to a gateway that has others. That gateway does
// the same, so this one soon knows what that one does.
func (x *SuspicionExchange) HandleHello(h *Hello) {
	if h.From.ControlAddress == x.self {
		return
	}
	x.ExtendMemory(time.Duration(h.RemembersMS) * time.Millisecond)
	if h.Suspicions == x.registry.Digest() {
		return
	}
	x.sendTo(h.From.ControlAddress, quarantine.Update{Suspicions: x.registry.MostRestricted(repairSuspicions)})
}

// HandleSuspicions merges the suspicions of another gateway.
func (x *SuspicionExchange) HandleSuspicions(m *Suspicions) {
	changed, cleared := x.registry.Receive(quarantine.Update{Suspicions: m.Suspicions, Doubted: m.Doubted, Proven: m.Proven})
	x.Publish(quarantine.Update{Suspicions: cleared})
	if len(changed) > 0 {
		x.changed()
	}
}

// BeginTrial asks the coordinator of a service whether a trial may begin now. decided is
// false if there is no reply within trialReplyTimeout.
func (x *SuspicionExchange) BeginTrial(ctx context.Context, service string, t quarantine.Trial) (granted, decided bool) {
	coordinator := x.members.Coordinator(service).ControlAddress
	if coordinator == x.self {
		return x.trials.Begin(t), true
	}
	reply := make(chan TrialReply, 1)
	x.mu.Lock()
	x.pending[t.ID] = reply
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.pending, t.ID)
		x.mu.Unlock()
	}()
	if err := x.send(coordinator, &TrialRequest{From: x.self, ID: t.ID, Server: t.Server, Fingerprints: t.Fingerprints}); err != nil {
		return false, false
	}
	timeout := time.NewTimer(trialReplyTimeout)
	defer timeout.Stop()
	select {
	case r := <-reply:
		return r.Granted && r.Server == t.Server, true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false, false
}

// EndTrial tells the coordinator of a service that a trial has ended.
func (x *SuspicionExchange) EndTrial(service string, id uint64) {
	coordinator := x.members.Coordinator(service).ControlAddress
	if coordinator == x.self {
		x.trials.End(id)
		return
	}
	// If the message is lost, the coordinator forgets the trial after a time.
	_ = x.send(coordinator, &TrialEnd{ID: id})
}

// HandleTrialRequest decides about the trial of another gateway.
func (x *SuspicionExchange) HandleTrialRequest(m *TrialRequest) {
	granted := x.trials.Begin(quarantine.Trial{ID: m.ID, Server: m.Server, Fingerprints: m.Fingerprints})
	// Without a reply, the gateway asks again.
	_ = x.send(m.From, &TrialReply{ID: m.ID, Server: m.Server, Granted: granted})
}

// HandleTrialReply passes a reply to the waiting BeginTrial.
func (x *SuspicionExchange) HandleTrialReply(m *TrialReply) {
	x.mu.Lock()
	reply := x.pending[m.ID]
	x.mu.Unlock()
	select {
	case reply <- *m:
	default:
		// Nobody waits for this reply any more, or it came twice.
	}
}

// HandleTrialEnd removes the trial of another gateway.
func (x *SuspicionExchange) HandleTrialEnd(m *TrialEnd) { x.trials.End(m.ID) }
