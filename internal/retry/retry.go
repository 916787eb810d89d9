// Package retry limits the load that a process adds by retries, and computes the
// backoff before a retry.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Limits of a Budget, in tokens of one retry each.
const (
	maxTokens     = 10
	initialTokens = 3
)

// Bounds of the backoff before a retry.
const (
	baseBackoff = 5 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// Budget is a token bucket that limits retries to a fixed ratio of the requests: each
// request adds a fraction of a token and each retry takes one token. It is safe for
// concurrent use.
type Budget struct {
	ratio float64

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that allows ratio retries per request, and a few more at
// the start.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, tokens: initialTokens}
}

// Request counts a new request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, maxTokens)
}

// Take takes one retry from the budget. It returns false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the pause before retry n, counted from 1. The pause is random between
// zero and a bound that grows with each retry up to maxBackoff, which spreads the retries
// of concurrent requests.
func Backoff(n int) time.Duration {
	bound := maxBackoff
	if n < 7 {
		bound = baseBackoff << max(n-1, 0)
	}
	return rand.N(bound)
}
