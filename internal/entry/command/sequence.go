package command

import (
	"strings"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// partSequence sorts the parts of a stream by their numbers.
type partSequence struct {
	// attempt is the current attempt; 0 means that the first part sets it.
	attempt   uint32
	next      uint64
	text      strings.Builder
	tokens    int
	held      map[uint64]wire.Part
	heldBytes int
	limit     int
}

// startAttempt starts a new attempt. Parts of earlier attempts are dropped from
// then on.
func (o *partSequence) startAttempt(attempt uint32) {
	o.attempt, o.held, o.heldBytes = attempt, map[uint64]wire.Part{}, 0
}

// add stores p and returns the parts that can now be delivered in order. It
// returns false if too much text is waiting for a missing part.
func (o *partSequence) add(p wire.Part) ([]wire.Part, bool) {
	if o.attempt == 0 {
		o.attempt = p.Attempt
	}
	if p.Attempt != o.attempt || p.Number < o.next {
		return nil, true
	}
	if _, duplicate := o.held[p.Number]; duplicate {
		return nil, true
	}
	if p.Number > o.next && (o.heldBytes+len(p.Text) > o.limit || len(o.held) >= o.limit) {
		return nil, false
	}
	o.held[p.Number] = p
	o.heldBytes += len(p.Text)
	return o.popReady(), true
}

func (o *partSequence) popReady() []wire.Part {
	var out []wire.Part
	for {
		p, ok := o.held[o.next]
		if !ok {
			return out
		}
		delete(o.held, o.next)
		o.heldBytes -= len(p.Text)
		o.text.WriteString(p.Text)
		o.tokens += p.Tokens
		o.next++
		out = append(out, p)
	}
}
