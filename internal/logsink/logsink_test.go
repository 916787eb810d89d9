package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) { <-b.release; return len(p), nil }

// Guards against a process that blocks because nothing reads its log.
func TestWriteNeverBlocks(t *testing.T) {
	is := is.New(t)
	b := blockedWriter{make(chan struct{})}
	s := New(b)
	began := time.Now()
	for range 3 * queueLines {
		_, err := s.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(began) < time.Second)
	s.Close(10 * time.Millisecond)
	close(b.release)
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// Guards against a log of unlimited volume, and against lines that are dropped
// without a report.
func TestVolumeIsBoundedAndLossIsReported(t *testing.T) {
	is := is.New(t)
	b := &lockedBuffer{}
	s := New(b)
	for range 3 * burstLines {
		_, _ = s.Write([]byte("line\n"))
	}
	time.Sleep(20 * time.Millisecond)
	_, _ = s.Write([]byte("after\n"))
	s.Close(time.Second)
	text := b.b.String()
	is.True(strings.Count(text, "line\n") <= burstLines+linesPerSecond)
	is.True(strings.Contains(text, "log_lines_dropped count="))
}
