package member

import "github.com/coltsfootbay/coltsfootbay/internal/fleet"

// RendezvousPosition returns how many usable entry VMs precede this process in
// the rendezvous order of key; 0 is the first position. The views of processes
// differ for a while after a change, so two processes can have the same position.
// A linked entry VM that has sent no heartbeat for more than 3 s is not counted.
func (v *View) RendezvousPosition(key string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	ownWeight, before := rendezvous(key, v.config.Self.Process), 0
	for _, r := range v.records {
		usable := r.hello.Role == fleet.RoleEntry && v.alive(r) && !v.isLeaving(r) && !(r.linked && v.silence(r) > suspectAfter)
		if usable && rendezvous(key, r.hello.Process) > ownWeight {
			before++
		}
	}
	return before
}
