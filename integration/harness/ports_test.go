package harness

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	"github.com/matryer/is"
)

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
