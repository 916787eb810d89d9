// Package routing chooses the agent for a request from the agents' reports and
// from the requests that this process has sent since those reports.
package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
)

// Policy selects the algorithm that chooses among the candidates.
type Policy string

// Values of Policy. All except Scored are baselines for comparison.
const (
	Scored      Policy = "scored"
	RoundRobin  Policy = "round_robin"
	LeastLoaded Policy = "least_loaded"
	TwoChoices  Policy = "two_choices"
)

// otherZoneSeconds is the extra cost in seconds of an agent in another zone: a
// round trip between zones with a one-way delay of 0.5 ms.
const otherZoneSeconds = 0.001

// fallbackTokensPerSecond is the service rate that is assumed until an agent
// reports a measured rate.
const fallbackTokensPerSecond = 100.0

// prefillRateFactor is the ratio of an engine's prefill rate to its service rate
// in tokens per second. Reports carry only the service rate.
const prefillRateFactor = 10.0

// bytesPerToken is the assumed length of a prompt token in bytes.
const bytesPerToken = 4

// Request holds the properties of a request that the choice of an agent depends
// on. Exactly one of Model and Service is set.
type Request struct {
	Model   string
	Adapter string
	Service string
	Prompt  string
	// MaxTokens bounds the tokens to generate.
	MaxTokens int
	// Exclude names agents that must not be chosen.
	Exclude []fleet.ProcessID
	// Fingerprint identifies requests with the same content.
	Fingerprint uint64
	Confinement Confinement
	// CrashedAgents names the agents whose servers crashed while running a
	// request with this fingerprint.
	CrashedAgents []fleet.ProcessID
	// NotRetryable is true if the request cannot be retried after a failure. Such
	// a request is never used to probe an ejected agent.
	NotRetryable bool
}

// Tokens estimates the work of the request in tokens.
func (r Request) Tokens() int64 {
	return int64(len(r.Prompt)/bytesPerToken + r.MaxTokens)
}

// Router chooses agents. It is safe for concurrent use.
type Router struct {
	policy Policy
	zone   fleet.AvailabilityZone

	mu              sync.Mutex
	roundRobinIndex int
	loads           map[fleet.ProcessID]*agentLoad
	// records holds the observed results on which the ejection of agents depends.
	records map[fleet.ProcessID]*healthRecord
}

// NewRouter returns a router for a process in the given zone.
func NewRouter(policy Policy, zone fleet.AvailabilityZone) *Router {
	return &Router{policy: policy, zone: zone, loads: map[fleet.ProcessID]*agentLoad{}, records: map[fleet.ProcessID]*healthRecord{}}
}

// Choose returns the agent for a request, or false if no agent can serve it.
func (r *Router) Choose(agents []member.Agent, q Request) (member.Agent, bool) {
	candidates := Candidates(agents, q)
	if len(candidates) == 0 {
		return member.Agent{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshLoads(candidates)
	now := time.Now()
	candidates, ejected := r.eject(candidates, now)
	if a, ok := r.probeTarget(agents, ejected, q, now); ok {
		return a, true
	}
	// The order of agents in a view is not defined; round robin needs a fixed one.
	slices.SortFunc(candidates, compareByProcess)
	switch {
	case r.policy == RoundRobin:
		r.roundRobinIndex++
		return candidates[r.roundRobinIndex%len(candidates)], true
	case r.policy == LeastLoaded:
		return r.lowestCost(candidates, r.outstandingCalls), true
	case r.policy == TwoChoices || q.Service != "":
		return r.lowestCost(twoRandom(candidates), r.outstandingCalls), true
	}
	if q.Confinement != Unconfined {
		return r.chooseConfined(agents, candidates, q), true
	}
	return r.chooseScored(candidates, q), true
}

// chooseScored returns the agent with the lowest score among two random
// candidates and the candidate that caches most of the prompt.
func (r *Router) chooseScored(candidates []member.Agent, q Request) member.Agent {
	prefixes := PrefixHashes(q.Model, q.Prompt)
	missing := func(a member.Agent) float64 { return float64(missingBytes(a, prefixes, len(q.Prompt))) }
	return r.lowestScore(append(twoRandom(candidates), r.lowestCost(candidates, missing)), q)
}

func (r *Router) lowestCost(candidates []member.Agent, cost func(member.Agent) float64) member.Agent {
	chosen, lowest := candidates[0], cost(candidates[0])
	for _, a := range candidates[1:] {
		if c := cost(a); c < lowest {
			chosen, lowest = a, c
		}
	}
	return chosen
}

func (r *Router) prefillSeconds(a member.Agent, bytes float64) float64 {
	return bytes / bytesPerToken / (tokensPerSecond(a) * prefillRateFactor)
}

func (r *Router) zoneCostSeconds(a member.Agent) float64 {
	if a.Hello.Zone == r.zone {
		return 0
	}
	return otherZoneSeconds
}

func tokensPerSecond(a member.Agent) float64 {
	if a.Report.TokensPerSecond > 0 {
		return a.Report.TokensPerSecond
	}
	return fallbackTokensPerSecond
}

// Candidates returns the agents that can serve the request now: they have a
// link, their server is up and they are not leaving.
func Candidates(agents []member.Agent, q Request) []member.Agent {
	var out []member.Agent
	for _, a := range agents {
		if a.Linked && !a.Leaving && !a.Report.Leaving && a.Report.ServerUp && serves(a, q) {
			out = append(out, a)
		}
	}
	return out
}

func serves(a member.Agent, q Request) bool {
	if slices.Contains(q.Exclude, a.Hello.Process) {
		return false
	}
	if q.Service != "" {
		return a.Report.Service == q.Service
	}
	return a.Report.Model == q.Model && (q.Adapter == "" || slices.Contains(a.Report.Adapters, q.Adapter))
}

func compareByProcess(a, b member.Agent) int {
	switch {
	case a.Hello.Process < b.Hello.Process:
		return -1
	case a.Hello.Process > b.Hello.Process:
		return 1
	}
	return 0
}

func twoRandom(candidates []member.Agent) []member.Agent {
	if len(candidates) == 1 {
		return slices.Clone(candidates)
	}
	i := rand.IntN(len(candidates))
	j := rand.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	return []member.Agent{candidates[i], candidates[j]}
}

// Rendezvous returns the agent with the highest rendezvous hash for key, or false
// if there are no candidates. All entry VMs with the same view therefore send a
// key to the same agent.
func Rendezvous(candidates []member.Agent, key uint64) (member.Agent, bool) {
	var chosen member.Agent
	var highest uint64
	for _, a := range candidates {
		h := xxhash.Sum64(appendUint64([]byte(a.Hello.Process), key))
		if chosen.Hello.Process == "" || h > highest {
			chosen, highest = a, h
		}
	}
	return chosen, chosen.Hello.Process != ""
}
