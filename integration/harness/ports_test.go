package harness

import (
	"net"
	"os/exec"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against a process whose metrics port belongs to another one: a fleet took ten ports
// one by one and supposed that they follow each other, also where one between them was bound and
// at the end of a block.
func TestPortsThatFollowAreFree(t *testing.T) {
	is := is.New(t)
	const above = 10
	var ports Ports
	defer ports.Release()
	for ports.next == ports.end {
		is.NoErr(ports.claim())
	}
	ports.bound[ports.next+above] = true // by another process
	seen := map[int]bool{}
	for range 100 {
		address, err := ports.NextWith(above)
		is.NoErr(err)
		_, text, err := net.SplitHostPort(address)
		is.NoErr(err)
		port, err := strconv.Atoi(text)
		is.NoErr(err)
		for n := port; n <= port+above; n++ {
			is.True(!ports.bound[n]) // a port is bound by another process
			is.True(!seen[n])        // a port is returned twice
			is.True(n < ports.end)   // a port is in a block of another fleet
			seen[n] = true
		}
	}
}

// Guards against an allocated port that is still bound by a child process which was forked
// while it was allocated: a fleet then failed to start with "address already in use".
func TestAllocatedPortIsFreeAtOnce(t *testing.T) {
	is := is.New(t)
	var ports Ports
	defer ports.Release()
	stop := make(chan struct{})
	var children sync.WaitGroup
	for range 2 {
		children.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					is.NoErr(exec.Command("true").Run())
				}
			}
		})
	}
	taken := 0
	for range 1500 {
		address, err := ports.Next()
		is.NoErr(err)
		c, err := net.ListenPacket("udp", address)
		if err != nil {
			taken++
			continue
		}
		is.NoErr(c.Close())
	}
	close(stop)
	children.Wait()
	is.Equal(taken, 0)
}
