package link

import (
	"flag"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

var measure = flag.Int("measure", 0, "number of entry VMs to measure over loopback; 0 skips")

const (
	settleTime  = 12 * time.Second
	measureTime = 10 * time.Second
	// headerBytes is the size of the UDP and IP headers of a packet.
	headerBytes = 28
)

// Guards against control cost that grows with the fleet: it prints the figures
// that docs/CAPACITY.md uses.
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
	time.Sleep(settleTime)
	bytesBefore, cpuBefore, links := traffic(all), cpu(), 0
	time.Sleep(measureTime)
	bytes, used := traffic(all)-bytesBefore, cpu()-cpuBefore
	for _, p := range all {
		links += len(p.peers(nil))
	}
	n := float64(len(all))
	seconds := measureTime.Seconds()
	t.Logf("entries %d, link ends per process %.1f, known %.1f", len(all), float64(links)/n, known(all))
	t.Logf("sent per process %.0f B/s with UDP and IP headers", float64(bytes)/n/seconds)
	t.Logf("CPU per process %.2f%% of a core", 100*used.Seconds()/n/seconds)
	t.Logf("heap per link end %.0f KiB", float64(heap()-heapBefore)/float64(links)/1024)
	t.Logf("document to all: %v", spread(t, all))
}

func spread(t *testing.T, all []*process) time.Duration {
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

func known(all []*process) float64 {
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
