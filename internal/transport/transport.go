// Package transport connects coltsfootbay processes over QUIC with TLS 1.3 on
// both sides and carries typed messages on framed streams.
package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Limits of a connection.
const (
	// idleTimeout closes a connection whose peer is silent. The heartbeats on
	// the control stream keep connections open; QUIC's own keep-alive would add
	// a packet to each.
	idleTimeout      = 4 * time.Second
	handshakeTimeout = 2 * time.Second
	// openTimeout bounds the wait for the first message of a new stream.
	openTimeout = 5 * time.Second
	// maxIncomingStreams bounds the streams that one peer may hold open.
	maxIncomingStreams = 4096
	// streamWindow and connectionWindow bound unread bytes, and so a slow
	// reader's memory.
	streamWindow     = 256 << 10
	connectionWindow = 8 << 20
	readBufferBytes  = 4 << 10
)

// Codes that a peer sees when a stream or connection is closed.
const (
	codeClosed   = 0
	codeCanceled = 1
)

// ErrUnexpectedMessage is returned when a peer sends a message that does not
// fit the state of the stream.
var ErrUnexpectedMessage = errors.New("unexpected message")

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxIncomingStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     64 << 10,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: 256 << 10,
		MaxConnectionReceiveWindow:     connectionWindow,
	}
}

// Endpoint is a UDP socket that accepts and dials connections.
type Endpoint struct {
	identity  *Identity
	clock     *events.Clock
	transport *quic.Transport
	listener  *quic.Listener
}

// NewEndpoint binds address, an IP address and port, for dialing and, if
// listen is set, for accepting connections.
func NewEndpoint(address string, identity *Identity, clock *events.Clock, listen bool) (*Endpoint, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve %s: %w", address, err)
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, fmt.Errorf("bind %s: %w", address, err)
	}
	e := &Endpoint{identity: identity, clock: clock, transport: &quic.Transport{Conn: socket}}
	if !listen {
		return e, nil
	}
	e.listener, err = e.transport.Listen(identity.serverConfig(), quicConfig())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen on %s: %w", address, err), socket.Close())
	}
	return e, nil
}

// Address returns the bound address.
func (e *Endpoint) Address() string { return e.transport.Conn.LocalAddr().String() }

// Accept waits for the next connection whose peer the fleet's authority
// certifies.
func (e *Endpoint) Accept(ctx context.Context) (*Conn, error) {
	c, err := e.listener.Accept(ctx)
	if err != nil {
		return nil, err
	}
	return &Conn{quic: c, clock: e.clock}, nil
}

// Dial connects to address, an IP address and port.
func (e *Endpoint) Dial(ctx context.Context, address string) (*Conn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve %s: %w", address, err)
	}
	c, err := e.transport.Dial(ctx, udp, e.identity.clientConfig(), quicConfig())
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return &Conn{quic: c, clock: e.clock}, nil
}

// Close closes every connection of the endpoint and its socket.
func (e *Endpoint) Close() error {
	err := e.transport.Close()
	return errors.Join(err, e.transport.Conn.Close())
}

// Conn is a connection to another process.
type Conn struct {
	quic  *quic.Conn
	clock *events.Clock
	open  atomic.Int64
}

// OpenStreams returns the number of streams whose sending side is open here.
func (c *Conn) OpenStreams() int { return int(c.open.Load()) }

// Traffic returns the QUIC bytes and packets sent so far, without UDP and IP
// headers.
func (c *Conn) Traffic() (bytes, packets uint64) {
	stats := c.quic.ConnectionStats()
	return stats.BytesSent, stats.PacketsSent
}

func (c *Conn) count(q *quic.Stream) {
	c.open.Add(1)
	context.AfterFunc(q.Context(), func() { c.open.Add(-1) })
}

// Context is done when the connection is closed.
func (c *Conn) Context() context.Context { return c.quic.Context() }

// RemoteAddress returns the peer's address.
func (c *Conn) RemoteAddress() string { return c.quic.RemoteAddr().String() }

// Close closes the connection and its streams.
func (c *Conn) Close() { _ = c.quic.CloseWithError(codeClosed, "") }

// OpenStream opens a stream of the given kind. It blocks while the peer's
// stream limit is reached.
func (c *Conn) OpenStream(ctx context.Context, kind wire.StreamKind) (*Stream, error) {
	q, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	c.count(q)
	s := newStream(q, c.clock)
	if err := s.Send(&wire.Open{Stream: kind}); err != nil {
		s.Abort()
		return nil, err
	}
	return s, nil
}

// AcceptStream waits for a stream that the peer opens. Call Kind before
// Receive.
func (c *Conn) AcceptStream(ctx context.Context) (*Stream, error) {
	q, err := c.quic.AcceptStream(ctx)
	if err != nil {
		return nil, err
	}
	c.count(q)
	return newStream(q, c.clock), nil
}

// Stream carries messages in order in both directions. One goroutine may send
// while another receives; Send itself is safe for concurrent use.
type Stream struct {
	quic   *quic.Stream
	reader *bufio.Reader
	clock  *events.Clock
	sendMu sync.Mutex
}

func newStream(q *quic.Stream, clock *events.Clock) *Stream {
	return &Stream{quic: q, reader: bufio.NewReaderSize(q, readBufferBytes), clock: clock}
}

// Kind reads the first message of an accepted stream.
func (s *Stream) Kind() (wire.StreamKind, error) {
	_ = s.quic.SetReadDeadline(time.Now().Add(openTimeout))
	m, err := s.Receive()
	_ = s.quic.SetReadDeadline(time.Time{})
	if err != nil {
		return 0, err
	}
	open, ok := m.(*wire.Open)
	if !ok {
		return 0, fmt.Errorf("%w: %T instead of Open", ErrUnexpectedMessage, m)
	}
	return open.Stream, nil
}

// Send writes one message. It blocks while the peer's window is full.
func (s *Stream) Send(m wire.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return wire.Write(s.quic, s.clock.Now(), m)
}

// Receive reads the next message. It returns io.EOF after the peer closed its
// side of the stream.
func (s *Stream) Receive() (wire.Message, error) {
	m, stamp, err := wire.Read(s.reader)
	if err != nil {
		return nil, err
	}
	s.clock.Observe(stamp)
	return m, nil
}

// SetReadDeadline bounds the wait in Receive; the zero time removes the bound.
func (s *Stream) SetReadDeadline(t time.Time) { _ = s.quic.SetReadDeadline(t) }

// SetWriteDeadline bounds the wait in Send; the zero time removes the bound.
func (s *Stream) SetWriteDeadline(t time.Time) { _ = s.quic.SetWriteDeadline(t) }

// CloseSend ends the sending side; the peer reads io.EOF after the messages
// sent so far.
func (s *Stream) CloseSend() { _ = s.quic.Close() }

// Abort resets both directions of the stream. Messages that were not yet
// delivered are lost.
func (s *Stream) Abort() {
	s.quic.CancelRead(codeCanceled)
	s.quic.CancelWrite(codeCanceled)
}

// Context is done when the sending side is closed or the connection is lost.
func (s *Stream) Context() context.Context { return s.quic.Context() }
