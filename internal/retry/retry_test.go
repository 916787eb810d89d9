package retry

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against retries beyond the ratio of the budget, which would multiply the load
// in a partial outage.
func TestRetriesStayWithinShareOfRequests(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.1)
	taken := 0
	for range 1000 {
		b.Request()
		if b.Take() {
			taken++
		}
	}
	is.True(taken >= 102 && taken <= 103) // 3 at the start and 0.1 per request

	for range 1000 {
		b.Request()
	}
	saved := 0
	for b.Take() {
		saved++
	}
	is.True(saved >= 9 && saved <= 10) // at most 10 tokens accumulate without retries
}

// Guards against a backoff that overflows for a high attempt number.
func TestBackoffIsBounded(t *testing.T) {
	is := is.New(t)
	for n := range 100 {
		d := Backoff(n)
		is.True(d >= 0 && d < maxBackoff)
	}
}
