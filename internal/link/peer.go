package link

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/transport"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	heartbeatInterval = time.Second
	// quietInterval is heartbeatInterval on a link to an agent that carries no
	// requests. A pause of 1 s then neither ends the link nor makes a report
	// older than 3 s.
	quietInterval = 1500 * time.Millisecond
	// answerGap is the least time between heartbeats that answer an agent's.
	// One that answers carries the acknowledgement, which saves a packet.
	answerGap = time.Second
	// answerSlack is how much longer than the agent an entry VM waits before a
	// heartbeat of its own.
	answerSlack = 500 * time.Millisecond
	// quietAfter is how long after its last request a link counts as quiet.
	quietAfter = 3 * time.Second
	// reportInterval is the longest time between full reports.
	reportInterval = 15 * time.Second
	// silenceLimit is the silence after which a control stream is closed.
	silenceLimit = 3 * time.Second
	// pushGap bounds pushes to 20 a second.
	pushGap = 50 * time.Millisecond
	// outboxMessages bounds what waits for a slow peer; beyond it the link is
	// closed, and a new link starts with a full comparison.
	outboxMessages = 256
	// unwantedGrace keeps a link through short changes of the targets.
	unwantedGrace = 2 * time.Second
)

// errProtocol marks messages that do not fit the state of a control stream.
var errProtocol = errors.New("message does not fit the state of the control stream")

// peer is one link: a connection with its control stream.
type peer struct {
	manager *Manager
	conn    *transport.Conn
	stream  *transport.Stream
	hello   wire.Hello
	dialed  bool
	// address is the dialed address, or empty.
	address string
	outbox  chan wire.Message
	wake    chan struct{}
	// retired marks a duplicate that closes when its requests end.
	retired atomic.Bool
	// unwantedSince belongs to the goroutine of dialTargets.
	unwantedSince time.Time
	// mismatches counts heartbeats in a row with another configuration hash. It
	// belongs to the reading goroutine.
	mismatches int
	heartbeats int
	// answered is when a heartbeat last answered one. It belongs to the reading
	// goroutine.
	answered time.Time
	// requested is when the peer last opened a request stream, in Unix
	// nanoseconds.
	requested atomic.Int64
	// reported is the last report sent, at reportedAt. Both belong to the
	// writing goroutine.
	reported   *wire.Report
	reportedAt time.Time

	mu sync.Mutex
	// pending holds the sequence numbers that wait for an acknowledgement.
	pending map[uint64]chan struct{}
	// listAcked and heard tell that both full lists of suspicions arrived: a
	// side sends its first heartbeat after its list.
	listAcked, heard bool
}

// serve runs a connection until it ends.
func (m *Manager) serve(ctx context.Context, group *errgroup.Group, conn *transport.Conn, address string) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	p := &peer{
		manager: m, conn: conn, dialed: address != "", address: address,
		outbox:  make(chan wire.Message, outboxMessages),
		wake:    make(chan struct{}, 1),
		pending: map[uint64]chan struct{}{},
	}
	if err := p.greet(ctx); err != nil {
		p.reportError(err)
		return
	}
	m.add(p)
	err := p.run(ctx, group)
	m.remove(p)
	p.reportError(err)
}

// greet opens or accepts the control stream and exchanges Hello messages.
func (p *peer) greet(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	if err := p.openControl(ctx); err != nil {
		return err
	}
	self := p.manager.View.Self()
	p.stream.SetWriteDeadline(time.Now().Add(silenceLimit))
	if err := p.stream.Send(&self); err != nil {
		return err
	}
	p.stream.SetReadDeadline(time.Now().Add(silenceLimit))
	message, err := p.stream.Receive()
	if err != nil {
		return err
	}
	hello, ok := message.(*wire.Hello)
	if !ok || hello.Process == "" || hello.Process == self.Process {
		return errProtocol
	}
	// Agents dial only agents: rank 0 of a group dials the other ranks.
	if p.dialed || hello.Role == fleet.RoleEntry || self.Role == fleet.RoleAgent {
		p.hello = *hello
		return nil
	}
	return errProtocol
}

func (p *peer) openControl(ctx context.Context) (err error) {
	if p.dialed {
		p.stream, err = p.conn.OpenStream(ctx, wire.StreamControl)
		return err
	}
	if p.stream, err = p.conn.AcceptStream(ctx); err != nil {
		return err
	}
	kind, err := p.stream.Kind()
	if err == nil && kind != wire.StreamControl {
		err = errProtocol
	}
	return err
}

// run reads, writes and accepts request streams until one of them fails.
func (p *peer) run(ctx context.Context, handlers *errgroup.Group) error {
	parent := ctx
	group, ctx := errgroup.WithContext(ctx)
	context.AfterFunc(ctx, p.conn.Close)
	group.Go(func() error { return p.read() })
	group.Go(func() error { return p.write(ctx) })
	group.Go(func() error { return p.acceptRequests(parent, handlers) })
	return group.Wait()
}

func (p *peer) acceptRequests(ctx context.Context, handlers *errgroup.Group) error {
	for {
		stream, err := p.conn.AcceptStream(ctx)
		if err != nil {
			return err
		}
		p.requested.Store(time.Now().UnixNano())
		handlers.Go(func() error {
			kind, err := stream.Kind()
			switch {
			case err == nil && kind == wire.StreamRequest && !p.dialed && p.manager.HandleRequest != nil:
				p.manager.HandleRequest(ctx, stream)
			case err == nil || errors.Is(err, transport.ErrUnexpectedMessage) || errors.Is(err, wire.ErrFrame):
				p.reportError(errProtocol)
				p.conn.Close()
			default:
				stream.Abort()
			}
			return nil
		})
	}
}

// write sends the full list of suspicions, then heartbeats and the outbox.
func (p *peer) write(ctx context.Context) error {
	p.sendList()
	p.sendMembers()
	if err := p.drain(); err != nil {
		return err
	}
	p.push()
	beat := time.NewTimer(rand.N(heartbeatInterval))
	defer beat.Stop()
	wake := p.wake
	var gap <-chan time.Time
	for {
		var err error
		select {
		case message := <-p.outbox:
			err = p.send(message)
		case <-gap:
			wake = p.wake
		case <-wake:
			wake, gap = nil, time.After(pushGap)
			if !p.urgent() {
				continue
			}
			err = p.sendState()
			beat.Reset(p.interval())
		case <-beat.C:
			err = p.sendState()
			beat.Reset(p.interval())
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// drain sends what the outbox holds now.
func (p *peer) drain() error {
	for range len(p.outbox) {
		if err := p.send(<-p.outbox); err != nil {
			return err
		}
	}
	return nil
}

// interval returns the time until the next heartbeat.
func (p *peer) interval() time.Duration {
	switch {
	case p.answers():
		return quietInterval + answerSlack
	case p.reports() && p.quiet():
		return quietInterval
	}
	return heartbeatInterval
}

// answers reports whether the own heartbeats follow the peer's: an entry VM
// answers an agent's.
func (p *peer) answers() bool {
	return p.hello.Role == fleet.RoleAgent && p.manager.Report == nil
}

// reports reports whether the peer gets the own reports. They are for routing,
// so agents send none to each other.
func (p *peer) reports() bool {
	return p.hello.Role == fleet.RoleEntry && p.manager.Report != nil
}

// quiet reports whether the link has carried no requests lately.
func (p *peer) quiet() bool {
	since := time.Since(time.Unix(0, p.requested.Load()))
	return since > quietAfter && p.conn.OpenStreams() <= 1
}

func (p *peer) send(message wire.Message) error {
	if a, ok := message.(answer); ok {
		return p.sendDocuments(a.names)
	}
	p.stream.SetWriteDeadline(time.Now().Add(silenceLimit))
	return p.stream.Send(message)
}

// post queues a message; a peer that is too slow to take it loses the link.
func (p *peer) post(message wire.Message) {
	select {
	case p.outbox <- message:
	default:
		p.conn.Close()
	}
}

func (p *peer) push() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *peer) sendMembers() {
	if p.hello.Role != fleet.RoleEntry || p.manager.View.Self().Role != fleet.RoleEntry {
		return
	}
	if members := p.manager.View.Members(); len(members) > 0 {
		p.post(&wire.Members{Members: members})
	}
}

// ready reports whether requests may be routed over the link.
func (p *peer) ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listAcked && p.heard
}

// add registers a link. Of two links between the same starts, both sides keep
// the one that the process with the lower name dialed.
func (m *Manager) add(p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other := range m.links {
		if other.hello.Process != p.hello.Process {
			continue
		}
		if other.hello.Start == p.hello.Start && p.loses(other) {
			p.retired.Store(true)
		} else {
			other.retired.Store(true)
		}
	}
	m.links[p] = struct{}{}
	m.Recorder.Record("link.up", "", events.F("peer", p.hello.Process), events.F("dialed", p.dialed))
}

func (p *peer) loses(other *peer) bool {
	lower := p.manager.View.Self().Process < p.hello.Process
	return p.dialed != other.dialed && p.dialed != lower
}

// remove drops a link. Other links to the same start keep the process linked.
func (m *Manager) remove(p *peer) {
	p.endPending()
	m.mu.Lock()
	delete(m.links, p)
	last := true
	for other := range m.links {
		if other.hello.Process == p.hello.Process && other.hello.Start == p.hello.Start {
			other.retired.Store(false)
			last = false
		}
	}
	m.signal()
	m.mu.Unlock()
	m.askElsewhere(p, nil)
	if last {
		m.View.Lost(p.hello.Process, p.hello.Start)
	}
	m.Recorder.Record("link.down", "", events.F("peer", p.hello.Process))
}

func (p *peer) reportError(err error) {
	if errors.Is(err, errProtocol) || errors.Is(err, wire.ErrFrame) || errors.Is(err, transport.ErrUnexpectedMessage) {
		p.manager.Recorder.Record("link.protocol_error", "",
			events.F("peer", p.hello.Process), events.F("address", p.conn.RemoteAddress()), events.F("error", err.Error()))
	}
}
