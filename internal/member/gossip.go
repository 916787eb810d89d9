package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// maxGossipMembers bounds the members of one Members message. A process sends
	// one message per second; a member takes about 100 bytes, so gossip takes about
	// 2 KB/s of the control budget of 6 KB/s. With 64 members per message gossip
	// alone took 6 KB/s.
	maxGossipMembers = 20
	// maxRecentChanges bounds the members of a message that are chosen because they
	// changed recently. The others are chosen round robin, which many simultaneous
	// changes must not stop.
	maxRecentChanges = maxGossipMembers / 2
	// recentChangePeriod is how long a changed start or state has priority.
	recentChangePeriod = 10 * time.Second
)

// GossipMembers returns the members to send to a peer: the latest changes first,
// then the others round robin. Each call continues where the previous one ended.
func (v *View) GossipMembers() []wire.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.declareDeaths()
	candidates := v.gossipCandidates()
	recent := v.recentChanges(candidates)
	chosen := map[*record]bool{}
	members := make([]wire.Member, 0, maxGossipMembers)
	for _, r := range recent {
		chosen[r] = true
		members = append(members, v.wireMember(r))
	}
	for range candidates {
		if len(members) == maxGossipMembers {
			break
		}
		v.gossipCursor = (v.gossipCursor + 1) % len(candidates)
		if r := candidates[v.gossipCursor]; !chosen[r] {
			chosen[r] = true
			members = append(members, v.wireMember(r))
		}
	}
	return members
}

// gossipCandidates returns the processes that are alive or were declared dead
// within recentChangePeriod. It omits processes that are known only from the VM
// list, because their start is unknown.
func (v *View) gossipCandidates() []*record {
	all := append(v.sortedRecords(fleet.RoleEntry), v.sortedRecords(fleet.RoleAgent)...)
	return slices.DeleteFunc(all, func(r *record) bool {
		return r.hello.Start == 0 || !v.alive(r) && (!r.dead || v.since(r.changedAt) > recentChangePeriod)
	})
}

func (v *View) recentChanges(candidates []*record) []*record {
	recent := slices.DeleteFunc(slices.Clone(candidates), func(r *record) bool { return v.since(r.changedAt) > recentChangePeriod })
	slices.SortStableFunc(recent, func(a, b *record) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.hello.Process, b.hello.Process))
	})
	return recent[:min(len(recent), maxRecentChanges)]
}

func (v *View) wireMember(r *record) wire.Member {
	return wire.Member{
		Hello:   r.hello,
		Count:   r.count,
		Leaving: r.leaving,
		Age:     v.gossipAge(r).Milliseconds(),
	}
}

// gossipAge returns the age to send for a record. It is above deadAfter only if
// the process was declared dead, and at most forgetAfter.
func (v *View) gossipAge(r *record) time.Duration {
	if r.dead {
		return min(max(v.silence(r), deadAfter+time.Second), forgetAfter)
	}
	return min(v.silence(r), deadAfter)
}
