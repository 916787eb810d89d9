package command

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a limit that counts only the text: parts of one token have about
// 5 bytes of text, so a slow caller would hold many times the limit in memory.
func TestBufferBoundCoversMemory(t *testing.T) {
	is := is.New(t)
	const limit, tries = 256 << 10, 100_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b := newBuffer(limit)
	time.AfterFunc(time.Second, b.Close)
	parts := 0
	for range tries {
		if !b.put(Part{Number: uint64(parts), Text: string([]byte{'t', 'o', 'k', 'e', byte(parts)})}) {
			break
		}
		parts++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := int(after.HeapAlloc) - int(before.HeapAlloc)
	t.Logf("%d parts hold %d bytes", parts, held)
	is.True(parts < tries)
	// A slice that grew has up to twice the capacity that its parts need.
	is.True(held <= 2*limit)
	runtime.KeepAlive(b)
}
