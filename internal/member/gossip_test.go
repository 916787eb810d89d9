package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// simulateGossip sends heartbeats over the targets' links and one Members
// message per process and second. The process with the index down, if not
// negative, is stopped. It returns the fraction of pairs in which a live
// process counts as dead at the end, and the number of processes that consider
// the stopped one alive.
func simulateGossip(c *clock, views []*View, seconds int, down int) (dead float64, stale int) {
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
				peer.RecordHeartbeat(v.Self(), wire.Heartbeat{Count: uint64(c.at.Unix())})
			}
			links[v][random.IntN(len(links[v]))].MergeGossip(v.GossipMembers())
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

// Guards against gossip that is too slow, which makes live processes without a
// link count as dead, and against a dead process that still counts as alive after
// 20 s.
func TestGossipKeepsLargeFleetAlive(t *testing.T) {
	for _, n := range []int{40, 380} {
		is := is.New(t)
		c := newClock()
		views := largeFleet(c, n)
		falselyDead, _ := simulateGossip(c, views, 150, -1)
		t.Logf("%d entry VMs: a fraction of %.4f of the pairs falsely dead", n, falselyDead)
		is.True(falselyDead < 0.001)
		dead, stale := simulateGossip(c, views, 20, 1)
		t.Logf("%d entry VMs: %d of them consider a dead entry VM alive after 20 s", n, stale)
		is.Equal(stale, 0)
		is.True(dead < 0.001)
	}
}
