package config

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// staleListPeriod is how long after a start the VM list may still describe an
// earlier start of the same VM name. The platform's list can lag by 30 s.
const staleListPeriod = time.Minute

// LeaveNotice decides whether the leaving state in the VM list applies to the
// current start of a process. A lagging list may still describe the VM that this
// one replaced.
type LeaveNotice struct {
	process  fleet.ProcessID
	started  time.Time
	seenLive bool
}

// NewLeaveNotice returns a LeaveNotice for a process that started at now.
func NewLeaveNotice(process fleet.ProcessID, now time.Time) *LeaveNotice {
	return &LeaveNotice{process: process, started: now}
}

// Leaving reports whether the process must leave. Call it with every new list and
// also periodically, because the result can change staleListPeriod after the start.
func (n *LeaveNotice) Leaving(vms []VM, now time.Time) bool {
	for _, vm := range vms {
		if vm.Name != n.process {
			continue
		}
		if vm.State == VMLive {
			n.seenLive = true
		}
		return vm.State == VMLeaving && (n.seenLive || now.Sub(n.started) >= staleListPeriod)
	}
	return false
}
