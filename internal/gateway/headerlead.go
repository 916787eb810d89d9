package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// leadSmoothing is the weight of a new measurement in the moving average.
	leadSmoothing = 1.0 / 16
	// minLeadSamples is the number of measurements from which on the average counts.
	minLeadSamples = 3
	// maxHeaderLead is the longest average up to which a request that has only the
	// headers of its response counts as rare: a small part of a forward pass.
	maxHeaderLead = 10 * time.Millisecond
)

// headerLead measures the time from the headers of a stream's response to its first event.
// It is safe for concurrent use.
type headerLead struct {
	average atomic.Int64
	samples atomic.Int64
}

func (l *headerLead) record(d time.Duration) {
	old := l.average.Load()
	if l.samples.Add(1) == 1 {
		old = int64(d)
	}
	// One of two concurrent updates may be lost.
	l.average.Store(old + int64(leadSmoothing*float64(int64(d)-old)))
}

// isShort reports whether the servers send the headers together with the first event. A
// request that has only the headers when its server crashes is then the likely cause.
func (l *headerLead) isShort() bool {
	return l.samples.Load() >= minLeadSamples && time.Duration(l.average.Load()) <= maxHeaderLead
}
