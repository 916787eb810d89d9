package link

import (
	"flag"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/transport"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

var (
	measure       = flag.Int("measure", 0, "number of entry VMs to measure over loopback; 0 skips")
	measureAgents = flag.Int("agents", 0, "number of agents that every measured entry VM may link to")
	measurePushes = flag.Duration("pushes", 0, "time between the changes of each agent's report; 0 leaves the agents idle")
)

const (
	settleTime  = 12 * time.Second
	measureTime = 10 * time.Second
	// headerBytes is the size of the UDP and IP headers of a packet.
	headerBytes = 28
)

// Guards against control traffic and CPU time that grow with the fleet. Prints the
// figures that docs/CAPACITY.md uses; it fails only if links or documents do not
// arrive.
func TestMeasureControlCost(t *testing.T) {
	if *measure == 0 {
		t.Skip("run with -args -measure N")
	}
	id := newIdentity(t)
	heapBefore := heap()
	first := start(t, id, fleet.RoleEntry, 0, nil)
	all := []*process{first}
	for i := 1; i < *measure; i++ {
		all = append(all, start(t, id, fleet.RoleEntry, i, nil, first.View.Self().Address))
	}
	agents := startAgents(t, id, all)
	time.Sleep(settleTime)
	bytesBefore, agentBytesBefore, cpuBefore, links := traffic(all), traffic(agents), cpu(), 0
	time.Sleep(measureTime)
	bytes, agentBytes, used := traffic(all)-bytesBefore, traffic(agents)-agentBytesBefore, cpu()-cpuBefore
	if ends := linkEnds(agents); ends > 0 {
		t.Logf("agents %d, link ends per agent %.1f", len(agents), float64(ends)/float64(len(agents)))
		t.Logf("sent per agent %.0f B/s, per link end %.0f B/s", float64(agentBytes)/float64(len(agents))/measureTime.Seconds(),
			float64(agentBytes)/float64(ends)/measureTime.Seconds())
	}
	links = linkEnds(all)
	n := float64(len(all))
	seconds := measureTime.Seconds()
	t.Logf("entries %d, link ends per process %.1f, known %.1f", len(all), float64(links)/n, meanKnownEntries(all))
	t.Logf("sent per process %.0f B/s with UDP and IP headers", float64(bytes)/n/seconds)
	t.Logf("CPU of all %.2f%% of a core, per entry VM %.2f%%", 100*used.Seconds()/seconds, 100*used.Seconds()/n/seconds)
	ends := links + linkEnds(agents)
	t.Logf("heap per link end %.0f KiB of %d", float64(heap()-heapBefore)/float64(ends)/1024, ends)
	t.Logf("document to all: %v", documentDelay(t, all))
}

// startAgents starts the agents and gossips them to every entry VM. Each agent
// reports the state of a model's agent and changes it at the interval given by the
// pushes flag.
func startAgents(t *testing.T, id *transport.Identity, entries []*process) []*process {
	var agents []*process
	var members []wire.Member
	for i := range *measureAgents {
		var sequence, changes atomic.Uint64
		agent := start(t, id, fleet.RoleAgent, i, func(c *Config) {
			c.Report = func() wire.Report {
				return wire.Report{
					Sequence: sequence.Add(1), Uptime: time.Now().UnixMilli(), Model: "small", ServerUp: true,
					ServerStart: "1234567890", Slots: 16, Running: int(changes.Load() % 16), CachedPrefixes: make([]uint64, 16),
				}
			}
		})
		agents = append(agents, agent)
		members = append(members, wire.Member{Hello: agent.View.Self(), Count: 1})
		if *measurePushes > 0 {
			stop := make(chan struct{})
			t.Cleanup(func() { close(stop) })
			go pushEvery(agent, &changes, stop)
		}
	}
	for _, e := range entries {
		e.View.MergeGossip(members)
	}
	return agents
}

func pushEvery(agent *process, changes *atomic.Uint64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(*measurePushes):
			changes.Add(1)
			agent.Push()
		}
	}
}

func linkEnds(all []*process) (sum int) {
	for _, p := range all {
		sum += len(p.peers(nil))
	}
	return sum
}

func documentDelay(t *testing.T, all []*process) time.Duration {
	document := []wire.Document{{Name: "models/m", Revision: 5, Body: "x"}}
	began := time.Now()
	all[0].PublishDocuments(all[0].docs.Merge(document, 5), 5)
	eventually(t, "document everywhere", 10*time.Second, func() bool {
		for _, p := range all {
			if p.docs.Hash() != all[0].docs.Hash() {
				return false
			}
		}
		return true
	})
	return time.Since(began)
}

func meanKnownEntries(all []*process) float64 {
	sum := 0
	for _, p := range all {
		for _, e := range p.View.Entries() {
			if e.Alive {
				sum++
			}
		}
	}
	return float64(sum) / float64(len(all))
}

func traffic(all []*process) (sum uint64) {
	for _, p := range all {
		for _, l := range p.peers(nil) {
			bytes, packets := l.conn.Traffic()
			sum += bytes + packets*headerBytes
		}
	}
	return sum
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
