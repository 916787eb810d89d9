package admission

import "time"

const (
	// spareSpan is the time for which places that stay free are saved, and
	// firstSpareSpan what a process that starts assumes: nobody was served before.
	spareSpan      = 4 * time.Second
	firstSpareSpan = 2 * time.Second
	// spareShare is the part of the places that a load may take before nothing counts
	// as spare: it differs by a fifth from one second to the next by chance alone.
	spareShare = 0.8
	// longestNote bounds the time that one note stands for.
	longestNote = 500 * time.Millisecond
)

// spare counts the places that stayed free lately, which callers that came back may
// use later. Load pattern: waves, and callers that come back after a loss of power,
// beside a load that is always near what the group can do. In a wave everybody can be
// served, if not on time. Under a load that never ends, a place for one who is late
// makes another one late, until all are: on dalatech-almaty that took 0.05 of the
// worth.
type spare struct {
	places float64
	at     time.Time
}

// note takes the rate of places, the rate at which they are taken, and whether
// nothing waits.
func (s *spare) note(places, taken float64, idle bool, now time.Time) {
	if s.at.IsZero() && places > 0 {
		s.places, s.at = places*firstSpareSpan.Seconds(), now
	}
	if idle {
		s.places += max(spareShare*places-taken, 0) * min(now.Sub(s.at), longestNote).Seconds()
	}
	s.places = min(s.places, places*spareSpan.Seconds())
	s.at = now
}

// take takes a spare place if there is one.
func (s *spare) take() bool {
	if s.places < 1 {
		return false
	}
	s.places--
	return true
}
