package config

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// staleListAge is how long after a start the VM list may still describe an
// earlier start of the same VM name. Lists were seen to lag by 30 s.
const staleListAge = time.Minute

// LeaveNotice tells when the VM list's leaving state concerns this start of a
// process. A list that lags can still name the VM that this one replaced.
type LeaveNotice struct {
	process  fleet.ProcessID
	started  time.Time
	seenLive bool
}

// NewLeaveNotice returns a notice for a process that starts now.
func NewLeaveNotice(process fleet.ProcessID, now time.Time) *LeaveNotice {
	return &LeaveNotice{process: process, started: now}
}

// Leaving reports whether the process has to leave. Call it with every new list
// and from time to time, because the answer changes staleListAge after the start.
func (n *LeaveNotice) Leaving(vms []VM, now time.Time) bool {
	for _, vm := range vms {
		if vm.Name != n.process {
			continue
		}
		if vm.State == VMLive {
			n.seenLive = true
		}
		return vm.State == VMLeaving && (n.seenLive || now.Sub(n.started) >= staleListAge)
	}
	return false
}
