package member

import "github.com/coltsfootbay/coltsfootbay/internal/fleet"

// RendezvousPosition returns how many usable entry VMs come before the own process in
// the rendezvous order of key. Views differ for a while after a change, so two
// processes can have the same value. An entry VM that is silent for over 3 s
// does not count.
func (v *View) RendezvousPosition(key string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	own, before := rendezvous(key, v.config.Self.Process), 0
	for _, r := range v.records {
		usable := r.hello.Role == fleet.RoleEntry && v.alive(r) && !v.isLeaving(r) && !(r.direct && v.silence(r) > suspectAfter)
		if usable && rendezvous(key, r.hello.Process) > own {
			before++
		}
	}
	return before
}
