package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/member"
)

// Confinement says where a completion may run that could end its server. All
// entries derive the same two agents from the fingerprint, so copies that
// arrive together at several entries end at most two servers before the
// suspicions have spread.
type Confinement int

// The confinements.
const (
	// Unconfined requests ran to their end before and run on any agent.
	Unconfined Confinement = iota
	// Untried requests run on the better one of the two agents.
	Untried
	// Suspected requests run on the first of the two agents whose server did
	// not end during the request.
	Suspected
)

// homeAgents is the number of agents that may run an untried request.
const homeAgents = 2

// ConfinedAgentReady reports whether an agent that the request is confined to can serve
// it now.
func ConfinedAgentReady(agents []member.Agent, q Request) bool {
	return len(present(home(agents, q), Candidates(agents, q))) > 0
}

// home returns the agents that the request is confined to, whether or not their
// servers are up: a server that ended must not move the request to a third one.
// The agent that caches most of the prompt takes the second place.
func home(agents []member.Agent, q Request) []member.Agent {
	ranked := ranked(agents, q)
	if len(ranked) <= homeAgents {
		return ranked
	}
	prefixes := PrefixHashes(q.Model, q.Prompt)
	fewest := len(q.Prompt)
	for _, a := range ranked[1:] {
		if missing := missingBytes(a, prefixes, len(q.Prompt)); missing < fewest {
			fewest, ranked[1] = missing, a
		}
	}
	return ranked[:homeAgents]
}

// ranked returns the agents that serve the model, in an order that depends on
// the fingerprint alone.
func ranked(agents []member.Agent, q Request) []member.Agent {
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

// present returns the agents of a list that are among the candidates.
func present(list, candidates []member.Agent) []member.Agent {
	var out []member.Agent
	for _, a := range list {
		if slices.ContainsFunc(candidates, func(c member.Agent) bool { return c.Hello.Process == a.Hello.Process }) {
			out = append(out, a)
		}
	}
	return out
}

// chooseConfined chooses among the agents that the request is confined to, or
// the next one in their order if none of them can serve it.
func (r *Router) chooseConfined(agents, candidates []member.Agent, q Request) member.Agent {
	allowed := present(home(agents, q), candidates)
	if len(allowed) == 0 {
		return present(ranked(agents, q), candidates)[0]
	}
	if q.Confinement == Untried {
		return r.lowestScore(allowed, q)
	}
	i := slices.IndexFunc(allowed, func(a member.Agent) bool { return !slices.Contains(q.CrashedAgents, a.Hello.Process) })
	return allowed[max(i, 0)]
}

// lowestScore returns the agent that would give the first token soonest.
func (r *Router) lowestScore(compared []member.Agent, q Request) member.Agent {
	prefixes := PrefixHashes(q.Model, q.Prompt)
	return r.best(compared, func(a member.Agent) float64 {
		return r.wait(a) + r.promptTime(a, float64(missingBytes(a, prefixes, len(q.Prompt)))) + r.zoneCost(a)
	})
}
