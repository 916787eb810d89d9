// Package logsink writes log lines without ever blocking the process that logs,
// and bounds their volume.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueLines is the number of lines that wait for the writer.
	queueLines = 2048
	// linesPerSecond and burstLines bound the volume.
	linesPerSecond = 400
	burstLines     = 1200
)

// Sink is an io.Writer whose Write never blocks. Each Write is one line.
type Sink struct {
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	tokens  float64
	at      time.Time
	dropped int
	closed  bool
}

// New returns a sink that writes to w until Close.
func New(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queueLines), done: make(chan struct{}), tokens: burstLines, at: time.Now()}
	go s.run(w)
	return s
}

// Write queues a line, or drops it when there are too many. Dropped lines are
// counted in a line of their own.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tokens = min(s.tokens+now.Sub(s.at).Seconds()*linesPerSecond, burstLines)
	s.at = now
	if s.closed || s.tokens < 1 {
		s.dropped++
		return len(line), nil
	}
	if s.dropped > 0 && s.queue(fmt.Appendf(nil, "level=warn msg=log_lines_dropped count=%d\n", s.dropped)) {
		s.dropped = 0
	}
	if !s.queue(append([]byte(nil), line...)) {
		s.dropped++
		return len(line), nil
	}
	s.tokens--
	return len(line), nil
}

func (s *Sink) queue(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

// run writes lines. A failed write loses that line only: there is no other
// place to report it.
func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	for line := range s.lines {
		_, _ = w.Write(line)
	}
}

// Close writes what is queued and ends the sink, or gives up after the timeout.
func (s *Sink) Close(timeout time.Duration) {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}
