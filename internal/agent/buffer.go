package agent

import (
	"errors"
	"sync"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// partOverhead is the memory of a kept part beside its text, in bytes.
const partOverhead = 48

var (
	// errBufferFull is returned when parts that were not yet sent fill the
	// bound.
	errBufferFull = errors.New("stream buffer is full")
	// errPartDropped is returned for a part that is no longer kept.
	errPartDropped = errors.New("part is no longer kept")
)

// buffer keeps the parts of one stream for the streams that read it.
type buffer struct {
	limit int

	mu    sync.Mutex
	parts []*wire.Part
	// first is the number of parts[0].
	first uint64
	bytes int
	// sent is the number after the last part that any reader has sent.
	sent    uint64
	changed chan struct{}
}

func newBuffer(limit int, first uint64) *buffer {
	return &buffer{limit: limit, first: first, sent: first, changed: make(chan struct{})}
}

// append adds the next part. It drops the oldest parts that were sent when the
// bound is reached, and returns errBufferFull if that is not enough.
func (b *buffer) append(attempt uint32, text string, tokens int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := len(text) + partOverhead
	for b.bytes+size > b.limit {
		if len(b.parts) == 0 || b.first >= b.sent {
			return errBufferFull
		}
		b.bytes -= len(b.parts[0].Text) + partOverhead
		b.parts = b.parts[1:]
		b.first++
	}
	b.parts = append(b.parts, &wire.Part{Attempt: attempt, Number: b.first + uint64(len(b.parts)), Text: text, Tokens: tokens})
	b.bytes += size
	close(b.changed)
	b.changed = make(chan struct{})
	return nil
}

// read returns the part with a number, or nil and a channel that is closed at
// the next append.
func (b *buffer) read(number uint64) (*wire.Part, <-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if number < b.first {
		return nil, nil, errPartDropped
	}
	if number < b.first+uint64(len(b.parts)) {
		return b.parts[number-b.first], nil, nil
	}
	return nil, b.changed, nil
}

// markSent notes that the part with a number was sent.
func (b *buffer) markSent(number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent = max(b.sent, number+1)
}

// next returns the number that the next part will have.
func (b *buffer) next() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first + uint64(len(b.parts))
}
