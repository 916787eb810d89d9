package command

import (
	"sync"

	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// partOverhead is the memory of a waiting part beside its text, in bytes. Parts
// of one token have about 5 bytes of text, so it is most of what they take.
const partOverhead = 64

// Part is one numbered piece of a stream on its way to the caller.
type Part struct {
	Number uint64
	Text   string
	// Token is set on the first part that comes from an agent.
	Token string
}

// End is the end of a stream. Refusal is nil after a whole answer.
type End struct {
	Refusal          *verdict.Error
	FinishReason     string
	PromptTokens     int
	CompletionTokens int
}

// Buffer holds the parts that the caller has not taken yet. When it is full the
// producer waits, which in turn fills the agent's buffer. The caller's
// connection can hold as much again, which it has taken and not yet written.
type Buffer struct {
	limit int

	mu     sync.Mutex
	change *sync.Cond
	parts  []Part
	bytes  int
	end    *End
	closed bool
}

func newBuffer(limit int) *Buffer {
	b := &Buffer{limit: limit}
	b.change = sync.NewCond(&b.mu)
	return b
}

// put adds a part; it returns false after the caller hung up. A part larger
// than the limit is taken when the buffer is empty.
func (b *Buffer) put(p Part) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := len(p.Text) + partOverhead
	for !b.closed && b.bytes > 0 && b.bytes+size > b.limit {
		b.change.Wait()
	}
	if b.closed {
		return false
	}
	b.parts = append(b.parts, p)
	b.bytes += size
	b.change.Broadcast()
	return true
}

func (b *Buffer) finish(e End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end = &e
	b.change.Broadcast()
}

// Next waits for parts. Without parts the end is set.
func (b *Buffer) Next() ([]Part, *End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.parts) == 0 && b.end == nil {
		b.change.Wait()
	}
	if len(b.parts) == 0 {
		return nil, b.end
	}
	parts := b.parts
	b.parts, b.bytes = nil, 0
	b.change.Broadcast()
	return parts, nil
}

// Close releases a waiting producer.
func (b *Buffer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.change.Broadcast()
}
