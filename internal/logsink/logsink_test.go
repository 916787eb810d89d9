package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) { <-b.release; return len(p), nil }

// Guards against a process that waits for whoever reads its log.
func TestWriteNeverBlocks(t *testing.T) {
	is := is.New(t)
	b := blocked{make(chan struct{})}
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

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// Guards against a log without bound, and against lines that vanish without a
// trace.
func TestVolumeIsBoundedAndLossIsSaid(t *testing.T) {
	is := is.New(t)
	b := &buffer{}
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
