package main

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Range of the ports of a case, below those that the system gives to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 32000
)

// ports hands out free ports of the loopback address.
type ports struct{ used map[int]bool }

// next returns an address with a free port that has as many free ports above it.
func (p *ports) next(above int) (string, error) {
	if p.used == nil {
		p.used = map[int]bool{}
	}
	const tries = 1000
	for range tries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		free := true
		for n := port; n <= port+above && free; n++ {
			free = !p.used[n] && isFree(n)
		}
		if !free {
			continue
		}
		for n := port; n <= port+above; n++ {
			p.used[n] = true
		}
		return fmt.Sprintf("127.0.0.1:%d", port), nil
	}
	return "", fmt.Errorf("no free port after %d tries", tries)
}

// isFree reports whether a port can be bound for TCP and UDP.
func isFree(port int) bool {
	address := fmt.Sprintf("127.0.0.1:%d", port)
	t, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = t.Close() }()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}
