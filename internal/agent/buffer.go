package agent

import (
	"errors"
	"sync"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// partOverhead is the memory that a buffered part takes in addition to its
// text, in bytes.
const partOverhead = 48

var (
	// errBufferFull is returned when unsent parts fill the buffer.
	errBufferFull = errors.New("stream buffer is full")
	// errPartDropped is returned for a part that was dropped from the buffer.
	errPartDropped = errors.New("part is no longer kept")
)

// buffer holds the most recent parts of one stream. Several readers may read it
// at the same time, for example after an attach.
type buffer struct {
	limit int

	mu    sync.Mutex
	parts []*wire.Part
	// first is the part number of parts[0].
	first uint64
	bytes int
	// sent is one more than the highest part number that any reader has sent.
	sent    uint64
	changed chan struct{}
}

func newBuffer(limit int, first uint64) *buffer {
	return &buffer{limit: limit, first: first, sent: first, changed: make(chan struct{})}
}

// append adds the next part. If the buffer would exceed its limit, it drops the
// oldest parts that were already sent; it returns errBufferFull if that does
// not free enough memory.
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

// read returns the part with the given number. If the part does not exist yet,
// it returns nil and a channel that is closed by the next append. It returns
// errPartDropped if the part was dropped.
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

// markSent records that a reader has sent the part with the given number.
func (b *buffer) markSent(number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent = max(b.sent, number+1)
}

// next returns the number of the next part to be appended.
func (b *buffer) next() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first + uint64(len(b.parts))
}
