package command

import (
	"sync"

	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// partOverhead is the memory in bytes that a buffered part takes in addition to
// its text. It dominates for parts of one token, which have about 5 bytes of text.
const partOverhead = 64

// Part is one numbered piece of a stream on its way to the caller.
type Part struct {
	Number uint64
	Text   string
	// Token is the stream token. It is set on the first part of each attempt and
	// of a resumed stream.
	Token string
}

// StreamEnd is the end of a stream. Refusal is nil if the answer is complete.
type StreamEnd struct {
	Refusal          *verdict.Error
	FinishReason     string
	PromptTokens     int
	CompletionTokens int
}

// Buffer holds the parts that the caller's connection has not taken yet. When
// it is full, the producer blocks, which in turn fills the agent's buffer. In
// addition, the connection can hold the same amount of parts that it has taken
// but not yet written.
type Buffer struct {
	limit int

	mu      sync.Mutex
	changed *sync.Cond
	parts   []Part
	bytes   int
	end     *StreamEnd
	closed  bool
}

func newBuffer(limit int) *Buffer {
	b := &Buffer{limit: limit}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// put adds a part and blocks while the buffer is full. It returns false if the
// buffer is closed. A part larger than the limit is accepted if the buffer is
// empty.
func (b *Buffer) put(p Part) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := len(p.Text) + partOverhead
	for !b.closed && b.bytes > 0 && b.bytes+size > b.limit {
		b.changed.Wait()
	}
	if b.closed {
		return false
	}
	b.parts = append(b.parts, p)
	b.bytes += size
	b.changed.Broadcast()
	return true
}

func (b *Buffer) finish(e StreamEnd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end = &e
	b.changed.Broadcast()
}

// Next waits for parts and takes all of them. After the last part it returns the
// end of the stream.
func (b *Buffer) Next() ([]Part, *StreamEnd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.parts) == 0 && b.end == nil {
		b.changed.Wait()
	}
	if len(b.parts) == 0 {
		return nil, b.end
	}
	parts := b.parts
	b.parts, b.bytes = nil, 0
	b.changed.Broadcast()
	return parts, nil
}

// Close makes put fail and releases a blocked producer.
func (b *Buffer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.changed.Broadcast()
}
