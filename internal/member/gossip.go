package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// gossipMembers bounds one Members message. A process sends one message a
	// second; a member takes about 100 bytes, so gossip takes about 2 KB/s of
	// the control budget of 6 KB/s. 64 members a message took 6 KB/s alone.
	gossipMembers = 20
	// newsShare bounds the part of a message that goes to the newest changes;
	// the rest is round robin, so that a wave of changes cannot stop it.
	newsShare = gossipMembers / 2
	// newsLifetime is how long a changed start or leaving state goes first.
	newsLifetime = 10 * time.Second
)

// Members returns what to tell a peer: the newest changes first, then the
// others in turn. Each call continues the turn.
func (v *View) Members() []wire.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.declare()
	candidates := v.gossipCandidates()
	news := v.news(candidates)
	chosen := map[*record]bool{}
	members := make([]wire.Member, 0, gossipMembers)
	for _, r := range news {
		chosen[r] = true
		members = append(members, v.member(r))
	}
	for range candidates {
		if len(members) == gossipMembers {
			break
		}
		v.cursor = (v.cursor + 1) % len(candidates)
		if r := candidates[v.cursor]; !chosen[r] {
			chosen[r] = true
			members = append(members, v.member(r))
		}
	}
	return members
}

// gossipCandidates returns the processes that were heard of: what only the VM
// list names has no start to tell.
func (v *View) gossipCandidates() []*record {
	all := append(v.sorted(fleet.RoleEntry), v.sorted(fleet.RoleAgent)...)
	return slices.DeleteFunc(all, func(r *record) bool {
		return r.hello.Start == 0 || !v.alive(r) && (!r.dead || v.since(r.news) > newsLifetime)
	})
}

func (v *View) news(candidates []*record) []*record {
	news := slices.DeleteFunc(slices.Clone(candidates), func(r *record) bool { return v.since(r.news) > newsLifetime })
	slices.SortStableFunc(news, func(a, b *record) int {
		return cmp.Or(b.news.Compare(a.news), cmp.Compare(a.hello.Process, b.hello.Process))
	})
	return news[:min(len(news), newsShare)]
}

func (v *View) member(r *record) wire.Member {
	return wire.Member{
		Hello:   r.hello,
		Count:   r.count,
		Leaving: r.leaving,
		Age:     v.age(r).Milliseconds(),
	}
}

// age is above deadAfter only for a declared death.
func (v *View) age(r *record) time.Duration {
	if r.dead {
		return min(max(v.silence(r), deadAfter+time.Second), forgetAfter)
	}
	return min(v.silence(r), deadAfter)
}
