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
	// maxFullMeshEntries is the largest number of entry VMs that form a full mesh.
	maxFullMeshEntries = 12
	// ringSuccessors is the number of entry VMs in the same zone that an entry VM
	// links to in a larger fleet.
	ringSuccessors = 3
	// minGroupLinks is the minimum number of agents per model or service to link
	// to. It leaves routing a choice when there are many models.
	minGroupLinks = 4
	// minUnreportedLinks is the minimum number of links to agents that have not
	// reported yet. They are in addition to the other links; without them the
	// models and services of new agents would not become known.
	minUnreportedLinks = 4
	// readersPerZone is the number of entry VMs per zone that watch the platform.
	readersPerZone = 2
	// demotionPeriod is how long an agent ranks behind the others of its group
	// after its link was lost.
	demotionPeriod = 30 * time.Second
)

// Targets returns the links that this process should have. Agents only accept
// links, except for the agent of a group's rank 0, which dials the other ranks.
func (v *View) Targets() []Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config.Self.Role != fleet.RoleEntry {
		return slices.Clone(v.rankTargets)
	}
	targets := v.seeds()
	for _, r := range v.entryPeers() {
		targets = append(targets, targetOf(r))
	}
	for _, r := range v.agentSubsets() {
		targets = append(targets, targetOf(r))
	}
	return slices.DeleteFunc(targets, func(t Target) bool { return t.Address == "" })
}

// SetRanks sets the agents that an agent dials as the coordinator of a group.
func (v *View) SetRanks(ranks []Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Equal(v.rankTargets, ranks) {
		v.rankTargets = ranks
		v.notifyChanged()
	}
}

func targetOf(r *record) Target {
	return Target{Process: r.hello.Process, Role: r.hello.Role, Address: r.hello.Address}
}

// seeds returns the seeds whose address belongs to no known process.
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

func (v *View) entryPeers() []*record {
	all := v.sortedRecords(fleet.RoleEntry)
	if len(all)+1 <= maxFullMeshEntries {
		return all
	}
	var sameZone []*record
	best := map[fleet.AvailabilityZone]*record{}
	for _, r := range all {
		if !v.alive(r) {
			continue
		}
		if r.hello.Zone == v.config.Self.Zone {
			sameZone = append(sameZone, r)
			continue
		}
		if b := best[r.hello.Zone]; b == nil || v.weight(r, "peer") > v.weight(b, "peer") {
			best[r.hello.Zone] = r
		}
	}
	chosen := v.successors(sameZone)
	for _, r := range all {
		if best[r.hello.Zone] == r {
			chosen = append(chosen, r)
		}
	}
	return chosen
}

// successors returns the processes of one zone that follow this process in a ring
// sorted by name.
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

// agentSubsets chooses the agents to link to for each model or service. Agents
// that have not reported yet form a group of their own. The choice among them
// changes every 30 s, which prevents unreachable agents from blocking the
// others.
func (v *View) agentSubsets() []*record {
	groups := map[string][]*record{}
	for _, r := range v.sortedRecords(fleet.RoleAgent) {
		key := group(&r.report)
		groups[key] = append(groups[key], r)
	}
	unreported := groups[""]
	delete(groups, "")
	var chosen []*record
	for key, members := range groups {
		slices.SortFunc(members, func(a, b *record) int { return v.compareAgents(a, b, key) })
		chosen = append(chosen, members[:v.groupLinks(len(members), len(groups))]...)
	}
	salt := strconv.FormatInt(int64(v.now().Sub(v.started)/demotionPeriod), 10)
	slices.SortFunc(unreported, func(a, b *record) int { return v.compareAgents(a, b, salt) })
	unreportedLinks := max(minUnreportedLinks, v.config.AgentSubset-len(chosen))
	return append(chosen, unreported[:min(len(unreported), unreportedLinks)]...)
}

// groupLinks returns how many agents of a group to link to: all agents of a group
// of at most agent_subset agents, and the group's share of agent_subset for a
// larger one. Rendezvous weights are independent for each entry VM, so each agent
// of a group in a zone is chosen by about the same number of entry VMs.
func (v *View) groupLinks(size, groups int) int {
	if size <= v.config.AgentSubset {
		return size
	}
	return min(size, max(minGroupLinks, v.config.AgentSubset/groups))
}

// group returns a key for the model or service of an agent, or "" if neither is
// known yet.
func group(r *wire.Report) string {
	switch {
	case r.Model != "":
		return "model/" + r.Model
	case r.Service != "":
		return "service/" + r.Service
	}
	return ""
}

// compareAgents orders agents: usable ones before demoted ones, then those in the
// zone of this process before others, then by descending rendezvous weight.
func (v *View) compareAgents(a, b *record, salt string) int {
	return cmp.Or(
		cmp.Compare(v.demotionRank(a), v.demotionRank(b)),
		cmp.Compare(v.zoneDistance(a), v.zoneDistance(b)),
		cmp.Compare(v.weight(b, salt), v.weight(a, salt)),
		cmp.Compare(a.hello.Process, b.hello.Process),
	)
}

func (v *View) demotionRank(r *record) int {
	if v.isLeaving(r) || !r.linked && v.since(r.linkLostAt) < demotionPeriod {
		return 1
	}
	return 0
}

func (v *View) zoneDistance(r *record) int {
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

// ReadsPlatform reports whether this process is one of the two entry VMs of its
// zone that read the platform.
func (v *View) ReadsPlatform() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config.Self.Role != fleet.RoleEntry || v.leaving {
		return false
	}
	key := "reader\x00" + string(v.config.Self.Zone)
	ownWeight, higher := rendezvous(key, v.config.Self.Process), 0
	for _, r := range v.records {
		usable := r.hello.Role == fleet.RoleEntry && r.hello.Zone == v.config.Self.Zone && v.alive(r) && !v.isLeaving(r)
		if usable && rendezvous(key, r.hello.Process) > ownWeight {
			higher++
		}
	}
	return higher < readersPerZone
}
