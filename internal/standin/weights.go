package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// WeightsConfig holds the parameters of the stand-in weight store.
type WeightsConfig struct {
	// BytesPerSecond is the total rate over all readers.
	BytesPerSecond int
	// Queue is the maximum number of open reads; further reads are refused with
	// status 429.
	Queue int
	// ObjectBytes is the size of an object if the query does not set one.
	ObjectBytes int
}

const (
	// weightChunk is the number of bytes written at a time, and the burst of the
	// rate limiter.
	weightChunk    = 16 << 10
	maxObjectBytes = 1 << 30
	// weightRetryAfter is the Retry-After of a refused read, in seconds.
	weightRetryAfter = "1"
)

// Weights is the stand-in for the weight store. GET /v1/weights/{name}?bytes=N
// returns N bytes at the store's rate.
type Weights struct {
	config  WeightsConfig
	limiter *rate.Limiter
	open    atomic.Int64
	served  atomic.Int64
	refused atomic.Int64
}

// NewWeights returns a weight store.
func NewWeights(c WeightsConfig) *Weights {
	return &Weights{config: c, limiter: rate.NewLimiter(rate.Limit(c.BytesPerSecond), weightChunk)}
}

// WeightCounts is the response of GET /control/counts of the weight store.
type WeightCounts struct {
	Open        int64 `json:"open"`
	ServedBytes int64 `json:"served_bytes"`
	Refused     int64 `json:"refused"`
}

// Handler returns a handler for the store and its control path.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{name}", s.serve)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, WeightCounts{Open: s.open.Load(), ServedBytes: s.served.Load(), Refused: s.refused.Load()})
	})
	return mux
}

func (s *Weights) serve(w http.ResponseWriter, r *http.Request) {
	defer s.open.Add(-1)
	if s.open.Add(1) > int64(s.config.Queue) {
		s.refused.Add(1)
		w.Header().Set("Retry-After", weightRetryAfter)
		http.Error(w, "too many open reads", http.StatusTooManyRequests)
		return
	}
	size := s.config.ObjectBytes
	if text := r.FormValue("bytes"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxObjectBytes {
			http.Error(w, "bytes must be a number from 0 to 1073741824", http.StatusBadRequest)
			return
		}
		size = n
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	s.write(r.Context(), w, size)
}

func (s *Weights) write(ctx context.Context, w http.ResponseWriter, size int) {
	chunk := make([]byte, weightChunk)
	for size > 0 {
		n := min(size, weightChunk)
		if s.limiter.WaitN(ctx, n) != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		size -= n
		s.served.Add(int64(n))
	}
}
