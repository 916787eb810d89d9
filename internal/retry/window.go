package retry

import (
	"sync"
	"time"
)

// Window bounds repeated sends to a share of the requests plus a fixed number,
// over a sliding window of time that is kept in slices. It is safe for
// concurrent use.
type Window struct {
	ratio, slack float64
	slice        time.Duration
	now          func() time.Time

	mu       sync.Mutex
	at       int64
	requests [windowSlices]float64
	repeats  [windowSlices]float64
}

// windowSlices is the number of slices of a Window.
const windowSlices = 10

// NewWindow returns a budget of ratio repeated sends per request and slack more
// in each window.
func NewWindow(ratio, slack float64, window time.Duration) *Window {
	return &Window{ratio: ratio, slack: slack, slice: max(window/windowSlices, time.Millisecond), now: time.Now}
}

// SetSlack changes the fixed number, for a fleet whose size changed.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// Request notes a new request.
func (w *Window) Request() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance()]++
}

// Take takes one repeated send out of the budget, or returns false if there is
// none.
func (w *Window) Take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance()
	var requests, repeats float64
	for k := range w.requests {
		requests += w.requests[k]
		repeats += w.repeats[k]
	}
	if repeats+1 > w.ratio*requests+w.slack {
		return false
	}
	w.repeats[i]++
	return true
}

// advance clears the slices that have left the window and returns the present
// one.
func (w *Window) advance() int {
	n := w.now().UnixNano() / int64(w.slice)
	steps := min(max(n-w.at, 0), windowSlices)
	for k := int64(1); k <= steps; k++ {
		i := (w.at + k) % windowSlices
		w.requests[i], w.repeats[i] = 0, 0
	}
	if n > w.at {
		if steps == windowSlices {
			w.requests, w.repeats = [windowSlices]float64{}, [windowSlices]float64{}
		}
		w.at = n
	}
	return int(w.at % windowSlices)
}
