package member

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// fullMeshEntries is the largest number of entry VMs that all link to each
	// other.
	fullMeshEntries = 12
	// ringSuccessors is the number of links in the own zone beyond that.
	ringSuccessors = 3
	// minGroupLinks leaves a choice for routing when there are many models.
	minGroupLinks = 4
	// minExplored is the number of links to agents that have not reported yet.
	// They are in addition to the others, so that every group gets known.
	minExplored = 4
	// readersPerZone is the number of entry VMs that watch the platform.
	readersPerZone = 2
	// demotion is how long a lost agent ranks behind the others of its group.
	demotion = 30 * time.Second
)

// Targets returns the links that the own process should have. Agents only
// accept, but for the agent of a group's rank 0.
func (v *View) Targets() []Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config.Self.Role != fleet.RoleEntry {
		return slices.Clone(v.ranks)
	}
	targets := v.seeds()
	for _, r := range v.peers() {
		targets = append(targets, target(r))
	}
	for _, r := range v.agentSubsets() {
		targets = append(targets, target(r))
	}
	return slices.DeleteFunc(targets, func(t Target) bool { return t.Address == "" })
}

// SetRanks sets the agents that an agent dials as the coordinator of a group.
func (v *View) SetRanks(ranks []Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Equal(v.ranks, ranks) {
		v.ranks = ranks
		v.signal()
	}
}

func target(r *record) Target {
	return Target{Process: r.hello.Process, Role: r.hello.Role, Address: r.hello.Address}
}

// seeds returns the seeds at whose address no process is known.
func (v *View) seeds() []Target {
	known := map[string]bool{v.config.Self.Address: true}
	for _, r := range v.records {
		known[r.hello.Address] = true
	}
	var targets []Target
	for _, address := range v.config.Seeds {
		if !known[address] {
			targets = append(targets, Target{Role: fleet.RoleEntry, Address: address})
		}
	}
	return targets
}

func (v *View) peers() []*record {
	all := v.sorted(fleet.RoleEntry)
	if len(all)+1 <= fullMeshEntries {
		return all
	}
	var own []*record
	best := map[fleet.AvailabilityZone]*record{}
	for _, r := range all {
		if !v.alive(r) {
			continue
		}
		if r.hello.Zone == v.config.Self.Zone {
			own = append(own, r)
			continue
		}
		if b := best[r.hello.Zone]; b == nil || v.weight(r, "peer") > v.weight(b, "peer") {
			best[r.hello.Zone] = r
		}
	}
	chosen := v.successors(own)
	for _, r := range all {
		if best[r.hello.Zone] == r {
			chosen = append(chosen, r)
		}
	}
	return chosen
}

// successors returns the next processes by name in a ring of one zone.
func (v *View) successors(zone []*record) []*record {
	first := slices.IndexFunc(zone, func(r *record) bool { return r.hello.Process > v.config.Self.Process })
	if first < 0 {
		first = 0
	}
	var next []*record
	for i := range min(ringSuccessors, len(zone)) {
		next = append(next, zone[(first+i)%len(zone)])
	}
	return next
}

// agentSubsets chooses agents per model or service. An agent that has not
// reported yet has no group; such agents form a group of their own whose choice
// changes every 30 s, so that unreachable ones do not hide the rest.
func (v *View) agentSubsets() []*record {
	groups := map[string][]*record{}
	for _, r := range v.sorted(fleet.RoleAgent) {
		key := group(&r.report)
		groups[key] = append(groups[key], r)
	}
	unknown := groups[""]
	delete(groups, "")
	var chosen []*record
	for key, members := range groups {
		slices.SortFunc(members, func(a, b *record) int { return v.compareAgents(a, b, key) })
		chosen = append(chosen, members[:v.groupLinks(len(members), len(groups))]...)
	}
	salt := strconv.FormatInt(int64(v.now().Sub(v.started)/demotion), 10)
	slices.SortFunc(unknown, func(a, b *record) int { return v.compareAgents(a, b, salt) })
	explored := max(minExplored, v.config.AgentSubset-len(chosen))
	return append(chosen, unknown[:min(len(unknown), explored)]...)
}

// groupLinks returns to how many agents of a group to link: all of a group of
// at most agent_subset agents, and of a larger one its part of agent_subset.
// Rendezvous weights are independent for each entry VM, so each agent of a
// group in a zone is chosen by about the same number of entry VMs.
func (v *View) groupLinks(size, groups int) int {
	if size <= v.config.AgentSubset {
		return size
	}
	return min(size, max(minGroupLinks, v.config.AgentSubset/groups))
}

// group names the model or service of an agent, or is empty before it is known.
func group(r *wire.Report) string {
	switch {
	case r.Model != "":
		return "model/" + r.Model
	case r.Service != "":
		return "service/" + r.Service
	}
	return ""
}

// compareAgents puts usable agents first, then those of the own zone, then
// those of higher rendezvous weight.
func (v *View) compareAgents(a, b *record, salt string) int {
	return cmp.Or(
		cmp.Compare(v.demoted(a), v.demoted(b)),
		cmp.Compare(v.distance(a), v.distance(b)),
		cmp.Compare(v.weight(b, salt), v.weight(a, salt)),
		cmp.Compare(a.hello.Process, b.hello.Process),
	)
}

func (v *View) demoted(r *record) int {
	if v.isLeaving(r) || !r.direct && v.since(r.lost) < demotion {
		return 1
	}
	return 0
}

func (v *View) distance(r *record) int {
	if r.hello.Zone == v.config.Self.Zone {
		return 0
	}
	return 1
}

func (v *View) weight(r *record, salt string) uint64 {
	return rendezvous(string(v.config.Self.Process)+"\x00"+salt, r.hello.Process)
}

func rendezvous(key string, process fleet.ProcessID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(process))
}

// ReadsPlatform reports whether the own process is one of its zone's two readers of
// the platform.
func (v *View) ReadsPlatform() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config.Self.Role != fleet.RoleEntry || v.leaving {
		return false
	}
	key := "reader\x00" + string(v.config.Self.Zone)
	own, higher := rendezvous(key, v.config.Self.Process), 0
	for _, r := range v.records {
		usable := r.hello.Role == fleet.RoleEntry && r.hello.Zone == v.config.Self.Zone && v.alive(r) && !v.isLeaving(r)
		if usable && rendezvous(key, r.hello.Process) > own {
			higher++
		}
	}
	return higher < readersPerZone
}
