// Package logsink writes log lines in the background. Logging never blocks the
// process, and the log volume is limited.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueLines is the maximum number of lines queued for the writer.
	queueLines = 2048
	// linesPerSecond and burstLines limit the log volume: the refill rate and
	// the size of a token bucket.
	linesPerSecond = 400
	burstLines     = 1200
)

// Sink is an io.Writer whose Write never blocks. Each Write is one line.
type Sink struct {
	lines chan []byte
	done  chan struct{}

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	dropped    int
	closed     bool
}

// New returns a sink that writes to w until Close.
func New(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queueLines), done: make(chan struct{}), tokens: burstLines, refilledAt: time.Now()}
	go s.run(w)
	return s
}

// Write queues a line, or drops it if the rate limit is exceeded, the queue is
// full or the sink is closed. A separate line reports how many lines were
// dropped. Write never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tokens = min(s.tokens+now.Sub(s.refilledAt).Seconds()*linesPerSecond, burstLines)
	s.refilledAt = now
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

// run writes the queued lines. A line whose write fails is lost without a
// report, because there is nowhere else to report it.
func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	for line := range s.lines {
		_, _ = w.Write(line)
	}
}

// Close closes the sink and waits until the queued lines are written, at most
// for the timeout.
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
