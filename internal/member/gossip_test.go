package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// gossipFleet runs heartbeats over the targets and one Members message per
// process and second, and returns the share of false deaths at the end.
func gossipFleet(c *clock, views []*View, seconds int, down int) (dead float64, stale int) {
	byName := map[fleet.ProcessID]*View{}
	links := map[*View][]*View{}
	for _, v := range views {
		byName[v.Self().Process] = v
	}
	for _, v := range views {
		for _, t := range v.Targets() {
			links[v] = append(links[v], byName[t.Process])
			links[byName[t.Process]] = append(links[byName[t.Process]], v)
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range seconds {
		c.advance(time.Second)
		for i, v := range views {
			if i == down {
				continue
			}
			for _, peer := range links[v] {
				peer.Heard(v.Self(), wire.Heartbeat{Count: uint64(c.at.Unix())})
			}
			links[v][random.IntN(len(links[v]))].Gossip(v.Members())
		}
	}
	total := 0
	for i, v := range views {
		if i == down {
			continue
		}
		for _, e := range v.Entries() {
			isDown := down >= 0 && e.Hello.Process == views[down].Self().Process
			switch {
			case isDown && e.Alive:
				stale++
			case !isDown && !e.Alive:
				dead++
			}
			total++
		}
	}
	return dead / float64(total), stale
}

// Guards against gossip so slow that live processes without a link count as
// dead, and against a dead one that stays alive for 20 s.
func TestGossipKeepsLargeFleetAlive(t *testing.T) {
	for _, n := range []int{40, 380} {
		is := is.New(t)
		c := newClock()
		views := largeFleet(c, n)
		falsely, _ := gossipFleet(c, views, 150, -1)
		t.Logf("%d entry VMs: %.4f of the pairs falsely dead", n, falsely)
		is.True(falsely < 0.001)
		dead, stale := gossipFleet(c, views, 20, 1)
		t.Logf("%d entry VMs: %d still believe in a dead one after 20 s", n, stale)
		is.Equal(stale, 0)
		is.True(dead < 0.001)
	}
}
