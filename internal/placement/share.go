package placement

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// shareUse is the part of the store's rate that all groups use together. The
	// rest is for restarted servers, which load whole models.
	shareUse = 0.8
	// backoffFactor is applied to the rate at each refusal.
	backoffFactor = 0.5
	// minShare is the least part of a group's share after refusals.
	minShare = 1.0 / 32
	// recovery is the part of the share that a completed read gives back. It is
	// small against backoffFactor, so that groups settle below the store's limit.
	recovery = 1.0 / 16
	// minPause is the pause after a refusal that names none.
	minPause = time.Second
)

// Share is a group's part of the weight store's rate. Each group computes it
// from the number of groups in the documents; no messages are needed. It is safe
// for concurrent use.
type Share struct {
	full float64

	mu      sync.Mutex
	factor  float64
	resume  time.Time
	limiter *rate.Limiter
}

// NewShare returns the share of one of groups groups in a store of
// bytesPerSecond. The burst is one read of readBytes. An error wraps ErrInput.
func NewShare(bytesPerSecond float64, groups, readBytes int) (*Share, error) {
	if !finite(bytesPerSecond) || bytesPerSecond <= 0 || groups < 1 || readBytes < 1 {
		return nil, fmt.Errorf("%w: rate %v, %d groups, reads of %d bytes", ErrInput, bytesPerSecond, groups, readBytes)
	}
	full := shareUse * bytesPerSecond / float64(groups)
	return &Share{full: full, factor: 1, limiter: rate.NewLimiter(rate.Limit(full), readBytes)}, nil
}

// BytesPerSecond returns the rate that the group may use now.
func (s *Share) BytesPerSecond() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full * s.factor
}

// Reserve returns how long to wait before a read of n bytes. The bytes count as
// used. An error wraps ErrInput when n is beyond the burst.
func (s *Share) Reserve(now time.Time, n int) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.limiter.ReserveN(now, n)
	if !r.OK() {
		return 0, fmt.Errorf("%w: read of %d bytes is beyond the burst of %d", ErrInput, n, s.limiter.Burst())
	}
	return max(r.DelayFrom(now), s.resume.Sub(now)), nil
}

// Refused notes a 429 answer with its Retry-After, which is 0 when absent. The
// bytes that were reserved for the read stay used.
func (s *Share) Refused(now time.Time, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resume = now.Add(max(retryAfter, minPause))
	s.set(now, max(minShare, s.factor*backoffFactor))
}

// Completed notes a read that was served.
func (s *Share) Completed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(now, min(1, s.factor+recovery))
}

func (s *Share) set(now time.Time, factor float64) {
	s.factor = factor
	s.limiter.SetLimitAt(now, rate.Limit(s.full*factor))
}
