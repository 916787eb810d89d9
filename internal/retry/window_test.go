package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against more retries than the budget in any window; deployments check this
// over 10 s.
func TestWindowBoundsRepeats(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := NewWindowBudget(0.2, 10, 10*time.Second)
	w.now = func() time.Time { return now }
	taken := []time.Time{}
	for range 600 { // 60 s with 10 requests a second
		now = now.Add(100 * time.Millisecond)
		w.Request()
		for w.Take() {
			taken = append(taken, now)
		}
	}
	for _, from := range taken {
		n := 0
		for _, at := range taken {
			if !at.Before(from) && at.Before(from.Add(9*time.Second)) {
				n++
			}
		}
		is.True(n <= 30) // 0.2 of 100 requests and 10
	}
	is.True(len(taken) > 60)
	w.SetMinRetries(0)
	now = now.Add(time.Minute)
	is.True(!w.Take())
}
