// Package shutdown holds the end of a planned stop: until when open requests may run, and
// which requests can no longer end by then.
package shutdown

import (
	"context"
	"errors"
	"sync"
	"time"
)

// answerTime is the time before the end of a planned stop at which requests that still run
// are ended: it is enough to send an answer.
const answerTime = 100 * time.Millisecond

// errEnded is the cause of the end of requests that are open at the end of a planned stop.
var errEnded = errors.New("the process has stopped")

// Stop is a planned stop. It is safe for concurrent use.
type Stop struct {
	ended context.Context
	end   context.CancelCauseFunc

	mu    sync.Mutex
	began time.Time
	at    time.Time
}

// New returns a Stop that is not planned yet.
func New() *Stop {
	s := &Stop{}
	s.ended, s.end = context.WithCancelCause(context.Background())
	return s
}

// Plan sets when connections are closed. Only the first call has an effect.
func (s *Stop) Plan(close time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.at.IsZero() {
		return
	}
	s.began, s.at = time.Now(), close.Add(-answerTime)
	time.AfterFunc(time.Until(s.at), func() { s.end(errEnded) })
}

// At returns when open requests are ended; planned is false if no stop is planned.
func (s *Stop) At() (at time.Time, planned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at, !s.at.IsZero()
}

// Began returns when the stop was planned, the zero time if it was not.
func (s *Stop) Began() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.began
}

// Ended returns a context that is done when open requests are ended.
func (s *Stop) Ended() context.Context { return s.ended }

// Outlasts reports whether a request that ends at the given time would outlast the stop.
func (s *Stop) Outlasts(end time.Time) bool {
	at, planned := s.At()
	return planned && end.After(at)
}
