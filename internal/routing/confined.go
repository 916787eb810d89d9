package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/member"
)

// Confinement restricts the agents on which a completion may run, because the
// request could crash its backend server. All entry VMs derive the same two
// agents from the fingerprint, so copies of a request that arrive at several
// entry VMs at the same time crash at most two servers before the suspicions
// have propagated.
type Confinement int

// Values of Confinement.
const (
	// Unconfined requests may run on any agent: a request with the same
	// fingerprint has completed before.
	Unconfined Confinement = iota
	// Untried requests run on the one of the two agents with the lower score.
	Untried
	// Suspected requests run on the first of the two agents whose server has
	// not crashed while running the request.
	Suspected
)

// maxConfinedAgents is the number of agents that may run an untried request.
const maxConfinedAgents = 2

// ConfinedAgentReady reports whether at least one of the agents that the
// request is confined to can serve it now.
func ConfinedAgentReady(agents []member.Agent, q Request) bool {
	return len(intersect(confinedAgents(agents, q), Candidates(agents, q))) > 0
}

// confinedAgents returns the agents that the request is confined to, whether or
// not their servers are up: after a crash the request must not move to a third
// server. The second agent is the one that caches most of the prompt.
func confinedAgents(agents []member.Agent, q Request) []member.Agent {
	ranked := rankByFingerprint(agents, q)
	if len(ranked) <= maxConfinedAgents {
		return ranked
	}
	prefixes := PrefixHashes(q.Model, q.Prompt)
	fewest := len(q.Prompt)
	for _, a := range ranked[1:] {
		if missing := missingBytes(a, prefixes, len(q.Prompt)); missing < fewest {
			fewest, ranked[1] = missing, a
		}
	}
	return ranked[:maxConfinedAgents]
}

// rankByFingerprint returns the agents that serve the model, in an order that
// depends only on the fingerprint.
func rankByFingerprint(agents []member.Agent, q Request) []member.Agent {
	q.Exclude = nil
	var out []member.Agent
	for _, a := range agents {
		if !a.Leaving && !a.Report.Leaving && serves(a, q) {
			out = append(out, a)
		}
	}
	hash := func(a member.Agent) uint64 {
		return xxhash.Sum64(appendUint64([]byte(a.Hello.Process), q.Fingerprint))
	}
	slices.SortFunc(out, func(a, b member.Agent) int { return cmp.Compare(hash(b), hash(a)) })
	return out
}

// intersect returns the agents of list that are among the candidates, in the
// order of list.
func intersect(list, candidates []member.Agent) []member.Agent {
	var out []member.Agent
	for _, a := range list {
		if slices.ContainsFunc(candidates, func(c member.Agent) bool { return c.Hello.Process == a.Hello.Process }) {
			out = append(out, a)
		}
	}
	return out
}

// chooseConfined chooses among the agents that the request is confined to. If
// none of them can serve it, it returns the next candidate in the order of the
// fingerprint.
func (r *Router) chooseConfined(agents, candidates []member.Agent, q Request) member.Agent {
	allowed := intersect(confinedAgents(agents, q), candidates)
	if len(allowed) == 0 {
		return intersect(rankByFingerprint(agents, q), candidates)[0]
	}
	if q.Confinement == Untried {
		return r.lowestScore(allowed, q)
	}
	i := slices.IndexFunc(allowed, func(a member.Agent) bool { return !slices.Contains(q.CrashedAgents, a.Hello.Process) })
	return allowed[max(i, 0)]
}

// lowestScore returns the agent with the lowest estimated time to first token.
func (r *Router) lowestScore(compared []member.Agent, q Request) member.Agent {
	prefixes := PrefixHashes(q.Model, q.Prompt)
	return r.lowestCost(compared, func(a member.Agent) float64 {
		return r.waitSeconds(a) + r.prefillSeconds(a, float64(missingBytes(a, prefixes, len(q.Prompt)))) + r.zoneCostSeconds(a)
	})
}
