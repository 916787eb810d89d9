package admission

import "time"

const (
	// spareRetention bounds the spare capacity. initialSpareTime is the spare capacity
	// that a process assumes at its start, since it has not served any callers before.
	// Both are given as the time in which this number of slots becomes free.
	spareRetention   = 4 * time.Second
	initialSpareTime = 2 * time.Second
	// maxSpareUtilization is the fraction of the rate of slots up to which unused
	// capacity counts as spare. Random variation alone changes the load by a fifth
	// from one second to the next.
	maxSpareUtilization = 0.8
	// maxUpdateInterval bounds the time that one update accounts for.
	maxUpdateInterval = 500 * time.Millisecond
)

// spareCapacity counts the slots that stayed free recently, which retrying callers may use
// later. Load pattern: waves of load, and retries after a power loss, as opposed to a load
// that is always near the capacity of the group. In a wave all callers can be served, if
// not on time. Under a sustained load, a slot for a late request makes another request
// late, until all are late: in the dalatech-almaty deployment this cost 0.05 of the total
// value of the responses.
type spareCapacity struct {
	slots float64
	at    time.Time
}

// update adds the capacity that was not used since the last update. slotRate is the rate
// of slots and grantRate the rate at which they are granted, both per second; idle is
// true if no request is queued.
func (s *spareCapacity) update(slotRate, grantRate float64, idle bool, now time.Time) {
	if s.at.IsZero() && slotRate > 0 {
		s.slots, s.at = slotRate*initialSpareTime.Seconds(), now
	}
	if idle {
		s.slots += max(maxSpareUtilization*slotRate-grantRate, 0) * min(now.Sub(s.at), maxUpdateInterval).Seconds()
	}
	s.slots = min(s.slots, slotRate*spareRetention.Seconds())
	s.at = now
}

// take takes one spare slot. It returns false if there is none.
func (s *spareCapacity) take() bool {
	if s.slots < 1 {
		return false
	}
	s.slots--
	return true
}
