// Package transport connects coltsfootbay processes over QUIC with mutual TLS
// 1.3 authentication, and carries the messages of package wire on its streams.
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
	// idleTimeout closes a connection on which nothing is received. Heartbeats
	// on the control stream keep connections open; QUIC keep-alive would add a
	// packet to each of them.
	idleTimeout      = 4 * time.Second
	handshakeTimeout = 2 * time.Second
	// openTimeout limits the wait for the first message of a new stream.
	openTimeout = 5 * time.Second
	// maxIncomingStreams limits the number of streams that one peer can open at
	// a time.
	maxIncomingStreams = 4096
	// streamWindow and connectionWindow limit the unread bytes of a stream and
	// of a connection, and so the memory that a slow reader takes.
	streamWindow     = 256 << 10
	connectionWindow = 8 << 20
	readBufferBytes  = 4 << 10
)

// Error codes that are sent to the peer when a stream or connection is closed.
const (
	codeClosed   = 0
	codeCanceled = 1
)

// ErrUnexpectedMessage is returned when a peer sends a message that is not
// allowed in the state of the stream.
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

// Endpoint is a UDP socket that can dial and, if it listens, accept
// connections.
type Endpoint struct {
	identity  *Identity
	clock     *events.Clock
	transport *quic.Transport
	listener  *quic.Listener
}

// NewEndpoint binds address, an IP address and port. The endpoint can dial and,
// if listen is set, accept connections.
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

// Accept waits for the next connection. The peer's certificate has been
// verified against the fleet's authority.
func (e *Endpoint) Accept(ctx context.Context) (*Conn, error) {
	c, err := e.listener.Accept(ctx)
	if err != nil {
		return nil, err
	}
	return &Conn{quic: c, clock: e.clock}, nil
}

// Dial connects to address, an IP address and port. It returns an error if the
// fleet's authority has not signed the peer's certificate.
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

// Close closes all connections of the endpoint and its socket.
func (e *Endpoint) Close() error {
	err := e.transport.Close()
	return errors.Join(err, e.transport.Conn.Close())
}

// Conn is a connection to another process.
type Conn struct {
	quic        *quic.Conn
	clock       *events.Clock
	openStreams atomic.Int64
}

// OpenStreams returns the number of streams whose sending side is open in this
// process.
func (c *Conn) OpenStreams() int { return int(c.openStreams.Load()) }

// Traffic returns the number of QUIC bytes and packets sent so far, without UDP
// and IP headers.
func (c *Conn) Traffic() (bytes, packets uint64) {
	stats := c.quic.ConnectionStats()
	return stats.BytesSent, stats.PacketsSent
}

func (c *Conn) trackOpen(q *quic.Stream) {
	c.openStreams.Add(1)
	context.AfterFunc(q.Context(), func() { c.openStreams.Add(-1) })
}

// Context returns a context that is canceled when the connection is closed.
func (c *Conn) Context() context.Context { return c.quic.Context() }

// RemoteAddress returns the IP address and port of the peer.
func (c *Conn) RemoteAddress() string { return c.quic.RemoteAddr().String() }

// Close closes the connection and all its streams.
func (c *Conn) Close() { _ = c.quic.CloseWithError(codeClosed, "") }

// OpenStream opens a stream of the given kind. It blocks while the number of
// open streams is at the peer's limit.
func (c *Conn) OpenStream(ctx context.Context, kind wire.StreamKind) (*Stream, error) {
	q, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	c.trackOpen(q)
	s := newStream(q, c.clock)
	if err := s.Send(&wire.Open{Stream: kind}); err != nil {
		s.Abort()
		return nil, err
	}
	return s, nil
}

// AcceptStream waits for the peer to open a stream. Call Kind before Receive.
func (c *Conn) AcceptStream(ctx context.Context) (*Stream, error) {
	q, err := c.quic.AcceptStream(ctx)
	if err != nil {
		return nil, err
	}
	c.trackOpen(q)
	return newStream(q, c.clock), nil
}

// Stream carries messages in order in both directions. Send is safe for
// concurrent use. Receive must be called from one goroutine at a time, which
// may run in parallel with Send.
type Stream struct {
	quic   *quic.Stream
	reader *bufio.Reader
	clock  *events.Clock
	sendMu sync.Mutex
}

func newStream(q *quic.Stream, clock *events.Clock) *Stream {
	return &Stream{quic: q, reader: bufio.NewReaderSize(q, readBufferBytes), clock: clock}
}

// Kind reads the first message of an accepted stream and returns the stream's
// kind. It returns ErrUnexpectedMessage if the message is not Open.
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

// Send writes one message. It blocks while the peer's receive window is full.
func (s *Stream) Send(m wire.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return wire.Write(s.quic, s.clock.Now(), m)
}

// Receive reads the next message. It returns io.EOF after the peer has closed
// its side of the stream.
func (s *Stream) Receive() (wire.Message, error) {
	m, stamp, err := wire.Read(s.reader)
	if err != nil {
		return nil, err
	}
	s.clock.Observe(stamp)
	return m, nil
}

// SetReadDeadline sets the deadline for Receive. The zero time removes it.
func (s *Stream) SetReadDeadline(t time.Time) { _ = s.quic.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline for Send. The zero time removes it.
func (s *Stream) SetWriteDeadline(t time.Time) { _ = s.quic.SetWriteDeadline(t) }

// CloseSend closes the sending side. The peer reads io.EOF after the messages
// that were sent before.
func (s *Stream) CloseSend() { _ = s.quic.Close() }

// Abort resets both directions of the stream. Messages that have not been
// delivered are lost.
func (s *Stream) Abort() {
	s.quic.CancelRead(codeCanceled)
	s.quic.CancelWrite(codeCanceled)
}

// Context returns a context that is canceled when the sending side is closed or
// the connection is lost.
func (s *Stream) Context() context.Context { return s.quic.Context() }
