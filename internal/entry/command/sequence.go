package command

import (
	"strings"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// partSequence puts the parts of a stream into the order of their numbers and
// drops duplicates.
type partSequence struct {
	// attempt is the current attempt; 0 means that the first part sets it.
	attempt uint32
	// next is the number of the next part to deliver.
	next uint64
	// text and tokens are the text and the token count of the parts delivered so far.
	text   strings.Builder
	tokens int
	// held contains the parts that wait for a missing earlier part, by number.
	held map[uint64]wire.Part
	// heldBytes is the length of their texts in bytes.
	heldBytes int
	// limit bounds both heldBytes and the number of held parts.
	limit int
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
