package agent

import (
	"strings"
	"testing"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// BenchmarkRelay measures the time per token from the engine's event to the
// buffered part.
func BenchmarkRelay(b *testing.B) {
	const tokens = 1000
	body := strings.Repeat(`data: {"choices":[{"text":" token","index":0,"finish_reason":null}],"usage":null}`+"\n\n", tokens) + "data: [DONE]\n\n"
	a := &agent{}
	b.ReportAllocs()
	for b.Loop() {
		r := &run{submit: &wire.Submit{Attempt: 1}, buffer: newBuffer(256<<10, 0)}
		if _, err := a.readCompletion(strings.NewReader(body), r); err != nil {
			b.Fatal(err)
		}
		for i := range uint64(tokens) {
			if part, _, err := r.buffer.read(i); part == nil || err != nil {
				b.Fatalf("part %d: %v", i, err)
			}
			r.buffer.markSent(i)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}
