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
	// idleHeartbeatInterval replaces heartbeatInterval for an agent on a link that
	// carries no requests. At this interval, a 1 s pause of the agent neither ends
	// the link nor makes its report older than 3 s.
	idleHeartbeatInterval = 1500 * time.Millisecond
	// replyGap is the shortest time between heartbeats with which an entry VM
	// replies to those of an agent. The packet of such a heartbeat also carries the
	// transport's acknowledgement, which saves a packet.
	replyGap = time.Second
	// replyMargin is added to the agent's longest heartbeat interval before an
	// entry VM sends a heartbeat that is not a reply.
	replyMargin = 500 * time.Millisecond
	// idleAfter is the time since the last request after which a link counts as
	// idle.
	idleAfter = 3 * time.Second
	// reportInterval is the longest time between full reports. In between,
	// heartbeats confirm an unchanged report.
	reportInterval = 15 * time.Second
	// controlTimeout is the time without a message, and the time for a write, after
	// which a control stream is closed.
	controlTimeout = 3 * time.Second
	// pushGap is the shortest time between pushes; it limits them to 20 per second.
	pushGap = 50 * time.Millisecond
	// outboxMessages bounds the messages queued for a slow peer. If the queue is
	// full, the link is closed; a new link starts with a full comparison.
	outboxMessages = 256
	// unwantedGrace is how long an unwanted link is kept, which covers short changes
	// of the targets.
	unwantedGrace = 2 * time.Second
)

// errProtocol is the error for messages that are not allowed in the state of a
// control stream, and for streams that are not allowed on a link.
var errProtocol = errors.New("message not allowed in this state of the control stream")

// peer is one link: a connection with its control stream.
type peer struct {
	manager *Manager
	conn    *transport.Conn
	stream  *transport.Stream
	hello   wire.Hello
	dialed  bool
	// address is the dialed address, or empty for an accepted connection.
	address       string
	outbox        chan wire.Message
	pushRequested chan struct{}
	// retired is true for a duplicate link that is closed when its requests have
	// ended.
	retired atomic.Bool
	// unwantedSince is when the link was first found unwanted, or the zero time. It
	// is accessed only by the goroutine of dialTargets.
	unwantedSince time.Time
	// mismatches counts consecutive heartbeats with a different configuration hash,
	// and heartbeats all those received. Both are accessed only by the reading
	// goroutine.
	mismatches int
	heartbeats int
	// repliedAt is when this process last replied to a heartbeat. It is accessed
	// only by the reading goroutine.
	repliedAt time.Time
	// requestedAt is when the peer last opened a request stream, in Unix
	// nanoseconds.
	requestedAt atomic.Int64
	// lastReport is the last report sent, at lastReportAt. Both are accessed only by
	// the writing goroutine.
	lastReport   *wire.Report
	lastReportAt time.Time

	mu sync.Mutex
	// pending holds a channel for each sequence number of suspicions that are not
	// acknowledged yet; the channel is closed by the acknowledgement. It is nil after
	// the link ended.
	pending map[uint64]chan struct{}
	// listAcked and heartbeatReceived are both true once the full lists of
	// suspicions have arrived in both directions: each side sends its first heartbeat
	// after its list.
	listAcked, heartbeatReceived bool
}

// serve runs a connection until it ends. The address is the dialed one, or empty
// for an accepted connection.
func (m *Manager) serve(ctx context.Context, group *errgroup.Group, conn *transport.Conn, address string) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	p := &peer{
		manager: m, conn: conn, dialed: address != "", address: address,
		outbox:        make(chan wire.Message, outboxMessages),
		pushRequested: make(chan struct{}, 1),
		pending:       map[uint64]chan struct{}{},
	}
	if err := p.handshake(ctx); err != nil {
		p.reportError(err)
		return
	}
	m.add(p)
	err := p.run(ctx, group)
	m.remove(p)
	p.reportError(err)
}

// handshake opens or accepts the control stream and exchanges Hello messages.
func (p *peer) handshake(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if err := p.openControl(ctx); err != nil {
		return err
	}
	self := p.manager.View.Self()
	p.stream.SetWriteDeadline(time.Now().Add(controlTimeout))
	if err := p.stream.Send(&self); err != nil {
		return err
	}
	p.stream.SetReadDeadline(time.Now().Add(controlTimeout))
	message, err := p.stream.Receive()
	if err != nil {
		return err
	}
	hello, ok := message.(*wire.Hello)
	if !ok || hello.Process == "" || hello.Process == self.Process {
		return errProtocol
	}
	// An agent accepts links from entry VMs and agents, an entry VM only from entry
	// VMs: agents dial only agents, as rank 0 of a group dials the other ranks.
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

// run reads and writes the control stream and accepts request streams until one
// of these fails.
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
		p.requestedAt.Store(time.Now().UnixNano())
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

// write sends the full list of suspicions, then the first heartbeat, and from then
// on the messages of the outbox and heartbeats.
func (p *peer) write(ctx context.Context) error {
	p.postSuspicionList()
	p.sendMembers()
	if err := p.sendQueued(); err != nil {
		return err
	}
	p.push()
	heartbeatTimer := time.NewTimer(rand.N(heartbeatInterval))
	defer heartbeatTimer.Stop()
	pushRequested := p.pushRequested
	var gapPassed <-chan time.Time
	for {
		var err error
		select {
		case message := <-p.outbox:
			err = p.send(message)
		case <-gapPassed:
			pushRequested = p.pushRequested
		case <-pushRequested:
			pushRequested, gapPassed = nil, time.After(pushGap)
			if !p.pushNeeded() {
				continue
			}
			err = p.sendState()
			heartbeatTimer.Reset(p.interval())
		case <-heartbeatTimer.C:
			err = p.sendState()
			heartbeatTimer.Reset(p.interval())
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// sendQueued sends the messages that are in the outbox now.
func (p *peer) sendQueued() error {
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
	case p.repliesToHeartbeats():
		return idleHeartbeatInterval + replyMargin
	case p.sendsReports() && p.idle():
		return idleHeartbeatInterval
	}
	return heartbeatInterval
}

// repliesToHeartbeats reports whether this process sends its heartbeats as replies
// to those of the peer: an entry VM does to those of an agent.
func (p *peer) repliesToHeartbeats() bool {
	return p.hello.Role == fleet.RoleAgent && p.manager.Report == nil
}

// sendsReports reports whether this process sends its reports to the peer. Reports
// are for routing, so agents send them only to entry VMs.
func (p *peer) sendsReports() bool {
	return p.hello.Role == fleet.RoleEntry && p.manager.Report != nil
}

// idle reports whether the link has carried no requests for idleAfter.
func (p *peer) idle() bool {
	since := time.Since(time.Unix(0, p.requestedAt.Load()))
	return since > idleAfter && p.conn.OpenStreams() <= 1
}

func (p *peer) send(message wire.Message) error {
	if a, ok := message.(documentReply); ok {
		return p.sendDocuments(a.names)
	}
	p.stream.SetWriteDeadline(time.Now().Add(controlTimeout))
	return p.stream.Send(message)
}

// post queues a message, or closes the connection if the outbox is full.
func (p *peer) post(message wire.Message) {
	select {
	case p.outbox <- message:
	default:
		p.conn.Close()
	}
}

func (p *peer) push() {
	select {
	case p.pushRequested <- struct{}{}:
	default:
	}
}

func (p *peer) sendMembers() {
	if p.hello.Role != fleet.RoleEntry || p.manager.View.Self().Role != fleet.RoleEntry {
		return
	}
	if members := p.manager.View.GossipMembers(); len(members) > 0 {
		p.post(&wire.Members{Members: members})
	}
}

// ready reports whether requests may be routed over the link.
func (p *peer) ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listAcked && p.heartbeatReceived
}

// add registers a link. Of two links between the same starts, both sides keep the
// one that the process with the lower name dialed. A link to another start of the
// peer replaces the existing ones.
func (m *Manager) add(p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other := range m.links {
		if other.hello.Process != p.hello.Process {
			continue
		}
		if other.hello.Start == p.hello.Start && p.losesTieBreak(other) {
			p.retired.Store(true)
		} else {
			other.retired.Store(true)
		}
	}
	m.links[p] = struct{}{}
	m.Recorder.Record("link.up", "", events.F("peer", p.hello.Process), events.F("dialed", p.dialed))
}

func (p *peer) losesTieBreak(other *peer) bool {
	lower := p.manager.View.Self().Process < p.hello.Process
	return p.dialed != other.dialed && p.dialed != lower
}

// remove removes a link. If another link to the same start exists, the process
// still counts as linked.
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
	m.notifyChanged()
	m.mu.Unlock()
	m.requestFromOthers(p, nil)
	if last {
		m.View.RecordLinkLoss(p.hello.Process, p.hello.Start)
	}
	m.Recorder.Record("link.down", "", events.F("peer", p.hello.Process))
}

func (p *peer) reportError(err error) {
	if errors.Is(err, errProtocol) || errors.Is(err, wire.ErrFrame) || errors.Is(err, transport.ErrUnexpectedMessage) {
		p.manager.Recorder.Record("link.protocol_error", "",
			events.F("peer", p.hello.Process), events.F("address", p.conn.RemoteAddress()), events.F("error", err.Error()))
	}
}
