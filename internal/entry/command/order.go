package command

import (
	"strings"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// order brings the parts of a stream into the order of their numbers.
type order struct {
	// attempt is the present attempt; zero takes the attempt of the first part.
	attempt uint32
	next    uint64
	text    strings.Builder
	tokens  int
	held    map[uint64]wire.Part
	heldLen int
	limit   int
}

// begin starts a new attempt, so parts of older ones are dropped.
func (o *order) begin(attempt uint32) {
	o.attempt, o.held, o.heldLen = attempt, map[uint64]wire.Part{}, 0
}

// take returns the parts that are due after p arrived. It returns false if too
// much text waits for a missing part.
func (o *order) take(p wire.Part) ([]wire.Part, bool) {
	if o.attempt == 0 {
		o.attempt = p.Attempt
	}
	if p.Attempt != o.attempt || p.Number < o.next {
		return nil, true
	}
	if _, duplicate := o.held[p.Number]; duplicate {
		return nil, true
	}
	if p.Number > o.next && (o.heldLen+len(p.Text) > o.limit || len(o.held) >= o.limit) {
		return nil, false
	}
	o.held[p.Number] = p
	o.heldLen += len(p.Text)
	return o.due(), true
}

func (o *order) due() []wire.Part {
	var out []wire.Part
	for {
		p, ok := o.held[o.next]
		if !ok {
			return out
		}
		delete(o.held, o.next)
		o.heldLen -= len(p.Text)
		o.text.WriteString(p.Text)
		o.tokens += p.Tokens
		o.next++
		out = append(out, p)
	}
}
