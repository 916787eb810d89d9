// Package retry bounds how much load an entry adds by retries.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of the budget, in retries.
const (
	maxTokens   = 10
	startTokens = 3
)

// Bounds of the pause before a retry.
const (
	baseBackoff = 5 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// Budget is a token bucket: each request adds a part of a token and each retry
// takes one, so retries stay a fixed share of the requests. It is safe for
// concurrent use.
type Budget struct {
	ratio float64

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that gains ratio tokens per request.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, tokens: startTokens}
}

// Request notes a new request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, maxTokens)
}

// Take takes one retry out of the budget, or returns false if there is none.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the pause before retry n, counted from 1: random between
// zero and a bound that doubles, so that retries of many requests spread out.
func Backoff(n int) time.Duration {
	bound := maxBackoff
	if n < 7 {
		bound = baseBackoff << max(n-1, 0)
	}
	return rand.N(bound)
}
