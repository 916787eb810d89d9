package retry

import (
	"sync"
	"time"
)

// WindowBudget limits retries, over a sliding time window, to a ratio of the requests plus a
// fixed number. The window is divided into slices that expire one at a time. It is safe
// for concurrent use.
type WindowBudget struct {
	ratio, slack float64
	slice        time.Duration
	now          func() time.Time

	mu sync.Mutex
	// newest is the number of the current slice, counted from the Unix epoch.
	newest   int64
	requests [windowSlices]float64
	retries  [windowSlices]float64
}

// windowSlices is the number of slices of a WindowBudget.
const windowSlices = 10

// NewWindowBudget returns a budget that allows ratio retries per request and slack more in
// each window.
func NewWindowBudget(ratio, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, slice: max(window/windowSlices, time.Millisecond), now: time.Now}
}

// SetMinRetries sets the fixed number of retries per window, which depends on the size of
// the fleet.
func (w *WindowBudget) SetMinRetries(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// Request counts a new request.
func (w *WindowBudget) Request() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance()]++
}

// Take takes one retry from the budget. It returns false if none is left.
func (w *WindowBudget) Take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance()
	var requests, retries float64
	for k := range w.requests {
		requests += w.requests[k]
		retries += w.retries[k]
	}
	if retries+1 > w.ratio*requests+w.slack {
		return false
	}
	w.retries[i]++
	return true
}

// Usage is the state of a budget: the requests and retries counted in the window, and the
// fixed number of retries.
type Usage struct{ Requests, Retries, Fixed float64 }

// Usage returns the current state, for logs.
func (w *WindowBudget) Usage() Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	u := Usage{Fixed: w.slack}
	for k := range w.requests {
		u.Requests += w.requests[k]
		u.Retries += w.retries[k]
	}
	return u
}

// advance clears the slices that have left the window and returns the index of the
// current slice.
func (w *WindowBudget) advance() int {
	n := w.now().UnixNano() / int64(w.slice)
	steps := min(max(n-w.newest, 0), windowSlices)
	for k := int64(1); k <= steps; k++ {
		i := (w.newest + k) % windowSlices
		w.requests[i], w.retries[i] = 0, 0
	}
	if n > w.newest {
		if steps == windowSlices {
			w.requests, w.retries = [windowSlices]float64{}, [windowSlices]float64{}
		}
		w.newest = n
	}
	return int(w.newest % windowSlices)
}
