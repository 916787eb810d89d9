package harness

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// LinkFault describes what a UDP relay does with the packets of one direction.
type LinkFault struct {
	// Cut drops every packet.
	Cut bool
	// Drop is the fraction of packets that is dropped, from 0 to 1.
	Drop float64
	// Delay is the time by which every packet is delayed.
	Delay time.Duration
}

// maxPacket is the size of the receive buffer in bytes, which holds any UDP
// packet.
const maxPacket = 64 << 10

// maxRelayPeers is the maximum number of senders of one relay, each of which
// uses a socket.
const maxRelayPeers = 256

// UDPRelay forwards packets between one target and the processes that send to the
// relay's address. Each sender has a separate socket towards the target, which
// lets the target distinguish the senders.
type UDPRelay struct {
	front  *net.UDPConn
	target netip.AddrPort
	bytes  atomic.Uint64

	mu    sync.Mutex
	peers map[netip.AddrPort]*net.UDPConn
	// toTarget and fromTarget hold the faults of each direction by sender; the
	// zero address holds the default.
	toTarget   map[netip.AddrPort]LinkFault
	fromTarget map[netip.AddrPort]LinkFault
	closed     bool
	dropped    int
}

// NewUDPRelay listens on a loopback address and forwards packets to target.
func NewUDPRelay(listen, target string) (*UDPRelay, error) {
	front, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, err
	}
	back, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(front))
	if err != nil {
		return nil, err
	}
	r := &UDPRelay{
		front:      conn,
		target:     back,
		peers:      map[netip.AddrPort]*net.UDPConn{},
		toTarget:   map[netip.AddrPort]LinkFault{},
		fromTarget: map[netip.AddrPort]LinkFault{},
	}
	go r.forwardToTarget()
	return r, nil
}

// Bytes returns the number of payload bytes of both directions so far, without
// packets that were dropped by faults.
func (r *UDPRelay) Bytes() uint64 { return r.bytes.Load() }

// Address returns the address that senders use instead of the target's.
func (r *UDPRelay) Address() string { return r.front.LocalAddr().String() }

// SetFaults sets the faults of both directions for every sender without faults
// of its own.
func (r *UDPRelay) SetFaults(toTarget, fromTarget LinkFault) {
	r.set(netip.AddrPort{}, toTarget, fromTarget)
}

// SetFaultsFor sets the faults of both directions for one sender, given by its
// peer address.
func (r *UDPRelay) SetFaultsFor(sender string, toTarget, fromTarget LinkFault) error {
	address, err := netip.ParseAddrPort(sender)
	if err != nil {
		return err
	}
	r.set(address, toTarget, fromTarget)
	return nil
}

// Dropped returns the number of packets dropped by faults. Tests use it to check
// that a fault took effect.
func (r *UDPRelay) Dropped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Heal removes all faults.
func (r *UDPRelay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.toTarget)
	clear(r.fromTarget)
}

func (r *UDPRelay) set(sender netip.AddrPort, toTarget, fromTarget LinkFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toTarget[sender] = toTarget
	r.fromTarget[sender] = fromTarget
}

// Close stops the relay.
func (r *UDPRelay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.front.Close()
	for _, c := range r.peers {
		_ = c.Close()
	}
}

// forwardToTarget forwards the packets of all senders to the target until the
// relay is closed.
func (r *UDPRelay) forwardToTarget() {
	buffer := make([]byte, maxPacket)
	for {
		n, sender, err := r.front.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		back := r.peer(sender)
		if back == nil {
			continue
		}
		r.forwardPacket(r.toTarget, sender, buffer[:n], func(packet []byte) { _, _ = back.Write(packet) })
	}
}

// peer returns the sender's socket towards the target, or nil if the relay is
// closed, has maxRelayPeers sockets or cannot open one.
func (r *UDPRelay) peer(sender netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.peers[sender]; ok {
		return c
	}
	if r.closed || len(r.peers) >= maxRelayPeers {
		return nil
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil
	}
	r.peers[sender] = c
	go r.forwardToSender(sender, c)
	return c
}

// forwardToSender forwards the packets of the target to one sender until the
// relay is closed.
func (r *UDPRelay) forwardToSender(sender netip.AddrPort, c *net.UDPConn) {
	buffer := make([]byte, maxPacket)
	for {
		n, err := c.Read(buffer)
		if err != nil {
			r.mu.Lock()
			closed := r.closed
			r.mu.Unlock()
			if closed {
				return
			}
			// The target does not listen at the moment: it was killed and may be
			// restarted on the same address.
			time.Sleep(pollInterval)
			continue
		}
		r.forwardPacket(r.fromTarget, sender, buffer[:n], func(packet []byte) { _, _ = r.front.WriteToUDPAddrPort(packet, sender) })
	}
}

// forwardPacket sends a packet with the faults of its sender applied.
func (r *UDPRelay) forwardPacket(faults map[netip.AddrPort]LinkFault, sender netip.AddrPort, packet []byte, send func([]byte)) {
	r.mu.Lock()
	fault, ok := faults[sender]
	if !ok {
		fault = faults[netip.AddrPort{}]
	}
	drop := fault.Cut || fault.Drop > 0 && rand.Float64() < fault.Drop
	if drop {
		r.dropped++
	}
	r.mu.Unlock()
	if !drop {
		r.bytes.Add(uint64(len(packet)))
	}
	switch {
	case drop:
	case fault.Delay > 0:
		held := append([]byte(nil), packet...)
		time.AfterFunc(fault.Delay, func() { send(held) })
	default:
		send(packet)
	}
}
