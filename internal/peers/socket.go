// Package peers implements the datagrams between processes: gateways discover and
// monitor each other, agents report the state of their ranks, and the controller sends
// its decisions. Messages are CBOR datagrams. Each is repeated or replaced by a later
// one, which makes the loss of a single message harmless.
package peers

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime/debug"

	"github.com/fxamacker/cbor/v2"
)

// maxDatagram is the largest datagram in bytes. Larger ones would be fragmented on
// typical links.
const maxDatagram = 1400

// ErrTooLong is returned for a message that does not fit into a datagram.
var ErrTooLong = errors.New("the message does not fit into a datagram")

// Socket sends and receives messages as UDP datagrams.
type Socket struct{ conn *net.UDPConn }

// Open listens for datagrams on an IP address and port.
func Open(address string) (*Socket, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	return &Socket{conn: conn}, nil
}

// Close closes the socket and ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }

// Send sends a message to an IP address and port. It returns ErrTooLong for a message
// that does not fit into a datagram. A nil error does not mean that the message
// arrives.
func (s *Socket) Send(address string, m Message) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	data, err := encode(m)
	if err != nil {
		return err
	}
	_, err = s.conn.WriteToUDPAddrPort(data, to)
	return err
}

func encode(m Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(body)+1 > maxDatagram {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, len(body))
	}
	return append([]byte{m.kind()}, body...), nil
}

// Receive calls handle with each message until the socket is closed. It calls malformed
// with the error of each datagram that is not a valid message or whose handling panics;
// these datagrams are dropped.
func (s *Socket) Receive(handle func(Message), malformed func(error)) error {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		m, err := decode(buffer[:n])
		if err == nil {
			err = handleMessage(handle, m)
		}
		if err != nil {
			malformed(fmt.Errorf("from %s: %w", from, err))
		}
	}
}

// handleMessage calls handle and converts a panic into an error: a message that the
// receiver cannot process must not terminate the process.
func handleMessage(handle func(Message), m Message) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("handling a datagram of kind %d: %v\n%s", m.kind(), cause, debug.Stack())
		}
	}()
	handle(m)
	return nil
}

func decode(data []byte) (Message, error) {
	if len(data) == 0 {
		return nil, errors.New("empty datagram")
	}
	m := newMessage(data[0])
	if m == nil {
		return nil, fmt.Errorf("unknown kind of datagram: %d", data[0])
	}
	if err := cbor.Unmarshal(data[1:], m); err != nil {
		return nil, err
	}
	if v, ok := m.(interface{ Valid() bool }); ok && !v.Valid() {
		return nil, fmt.Errorf("a datagram of kind %d has content beyond its bounds", data[0])
	}
	return m, nil
}
