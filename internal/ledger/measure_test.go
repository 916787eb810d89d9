package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
)

// BenchmarkTicketBytes reports the live heap per finished ticket without a
// stored body, in bytes. docs/CAPACITY.md uses the result.
func BenchmarkTicketBytes(b *testing.B) {
	const tickets = 100_000
	for b.Loop() {
		before := liveHeap()
		l := New(Options{Agent: "agent-1", Start: 1, Uptime: func() time.Duration { return time.Second }, Bytes: 16 << 20})
		for i := range tickets {
			id := fleet.RequestID(fmt.Sprintf("request-%020d", i))
			t := ticket.Token{Request: id, Account: "account-1", Service: "records", Agent: "agent-1", Start: 1, ExpiresUptime: 60_000, KeyHash: uint64(i + 1)}
			run, _, refused := l.Admit(t, 1)
			if refused != nil {
				b.Fatal(refused)
			}
			if err := run.Begin(); err != nil {
				b.Fatal(err)
			}
			l.Finish(id, Answer{})
		}
		b.ReportMetric(float64(liveHeap()-before)/tickets, "B/ticket")
		runtime.KeepAlive(l)
	}
}

func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
