package placement

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// storeUtilization is the fraction of the store's rate that all groups use
	// together. The rest is for restarted servers, which load whole models.
	storeUtilization = 0.8
	// backoffFactor multiplies the rate at each refusal.
	backoffFactor = 0.5
	// minRateFactor is the smallest fraction of its share that a group keeps after
	// refusals.
	minRateFactor = 1.0 / 32
	// recoveryStep is the fraction of the share that a completed read restores. It
	// is small compared with backoffFactor, so the total rate of the groups
	// stabilizes below the store's limit.
	recoveryStep = 1.0 / 16
	// minRetryPause is the minimum pause after a refusal.
	minRetryPause = time.Second
)

// Share limits a group to its share of the weight store's read rate. Each group
// computes the share from the number of groups in the documents, without exchanging
// messages. It is safe for concurrent use.
type Share struct {
	fullRate float64

	mu         sync.Mutex
	rateFactor float64
	resumeAt   time.Time
	limiter    *rate.Limiter
}

// NewShare returns the share of each of the given number of groups in a store that
// serves bytesPerSecond. The burst is one read of readBytes. Errors wrap ErrInput.
func NewShare(bytesPerSecond float64, groups, readBytes int) (*Share, error) {
	if !finite(bytesPerSecond) || bytesPerSecond <= 0 || groups < 1 || readBytes < 1 {
		return nil, fmt.Errorf("%w: rate %v, %d groups, reads of %d bytes", ErrInput, bytesPerSecond, groups, readBytes)
	}
	full := storeUtilization * bytesPerSecond / float64(groups)
	return &Share{fullRate: full, rateFactor: 1, limiter: rate.NewLimiter(rate.Limit(full), readBytes)}, nil
}

// BytesPerSecond returns the rate that the group may currently use.
func (s *Share) BytesPerSecond() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fullRate * s.rateFactor
}

// Reserve returns how long to wait before a read of n bytes. The bytes count as
// used. If n exceeds the burst, Reserve returns an error that wraps ErrInput.
func (s *Share) Reserve(now time.Time, n int) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.limiter.ReserveN(now, n)
	if !r.OK() {
		return 0, fmt.Errorf("%w: read of %d bytes exceeds the burst of %d", ErrInput, n, s.limiter.Burst())
	}
	return max(r.DelayFrom(now), s.resumeAt.Sub(now)), nil
}

// Refused records a 429 response with its Retry-After, which is 0 when absent. The
// bytes that were reserved for the read still count as used.
func (s *Share) Refused(now time.Time, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumeAt = now.Add(max(retryAfter, minRetryPause))
	s.setFactor(now, max(minRateFactor, s.rateFactor*backoffFactor))
}

// Completed records a successful read.
func (s *Share) Completed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFactor(now, min(1, s.rateFactor+recoveryStep))
}

func (s *Share) setFactor(now time.Time, factor float64) {
	s.rateFactor = factor
	s.limiter.SetLimitAt(now, rate.Limit(s.fullRate*factor))
}
