package standin

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// StallSettings is the body of POST /control/stall. All stalls everything,
// health answers included. Ranks is the number of stalled ranks of an engine's
// group: any of them stops the steps, while health and load still answer.
type StallSettings struct {
	All   bool `json:"all"`
	Ranks int  `json:"ranks"`
}

// stall is a switch that holds its waiters while it is on.
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

func (s *stall) steps() bool {
	settings, _ := s.get()
	return !settings.All && settings.Ranks == 0
}

// wait returns true once nothing stalls the whole server, or false when ctx is
// done first.
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

// stallPoll is how often a stalled engine checks whether it may go on.
const stallPoll = 5 * time.Millisecond
