package standin

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// StallSettings is the body of POST /control/stall. All stalls everything,
// including health checks. Ranks is the number of stalled ranks of an engine's
// group: a single one stops the steps, while health and load are still served.
type StallSettings struct {
	All   bool `json:"all"`
	Ranks int  `json:"ranks"`
}

// stall holds the current stall settings and blocks calls while the whole server
// is stalled.
type stall struct {
	mu       sync.Mutex
	settings StallSettings
	changed  chan struct{}
}

func newStall() *stall { return &stall{changed: make(chan struct{})} }

func (s *stall) set(settings StallSettings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stall) get() (StallSettings, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings, s.changed
}

// stepsAllowed reports whether neither the whole server nor a rank is stalled.
func (s *stall) stepsAllowed() bool {
	settings, _ := s.get()
	return !settings.All && settings.Ranks == 0
}

// wait blocks while the whole server is stalled and returns true, or returns
// false if ctx is done first.
func (s *stall) wait(ctx context.Context) bool {
	for {
		settings, changed := s.get()
		if !settings.All {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func controlStall(s *stall) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var settings StallSettings
		if readJSON(w, r, &settings) {
			s.set(settings)
		}
	}
}

// stallPoll is the interval at which a stalled engine checks whether the stall
// has ended.
const stallPoll = 5 * time.Millisecond
