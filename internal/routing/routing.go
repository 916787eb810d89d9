// Package routing chooses the agent for a request from the agents' reports and
// from what the own process sent since those reports.
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

// Policy is a way to choose among the candidates.
type Policy string

// The policies. The others than Scored are baselines to compare with.
const (
	Scored      Policy = "scored"
	RoundRobin  Policy = "round_robin"
	LeastLoaded Policy = "least_loaded"
	TwoChoices  Policy = "two_choices"
)

// otherZoneSeconds is the extra cost of an agent in another zone: a round trip
// between zones that are 0.5 ms apart.
const otherZoneSeconds = 0.001

// fallbackTokensPerSecond is used until an agent reports a measured rate.
const fallbackTokensPerSecond = 100.0

// promptRateFactor is how much faster an engine reads prompt tokens than it
// generates; reports carry only the service rate. An estimate, not measured.
const promptRateFactor = 10.0

// bytesPerToken estimates prompt tokens from the prompt's length.
const bytesPerToken = 4

// Request is what a choice depends on. Exactly one of Model and Service is set.
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
	// CrashedAgents names the agents whose servers ended during the request.
	CrashedAgents []fleet.ProcessID
	// NotRetryable tells that the request cannot be retried after a failure, so that it
	// is no probe for an ejected agent.
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

	mu    sync.Mutex
	turn  int
	loads map[fleet.ProcessID]*load
	// records holds what the ejection of agents depends on.
	records map[fleet.ProcessID]*record
}

// NewRouter returns a router of a process in the given zone.
func NewRouter(policy Policy, zone fleet.AvailabilityZone) *Router {
	return &Router{policy: policy, zone: zone, loads: map[fleet.ProcessID]*load{}, records: map[fleet.ProcessID]*record{}}
}

// Choose returns the agent for a request, or false if no agent can serve it.
func (r *Router) Choose(agents []member.Agent, q Request) (member.Agent, bool) {
	candidates := Candidates(agents, q)
	if len(candidates) == 0 {
		return member.Agent{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(candidates)
	now := time.Now()
	candidates, ejected := r.eject(candidates, now)
	if a, ok := r.probe(agents, ejected, q, now); ok {
		return a, true
	}
	// The order of the view is not defined; round robin needs a fixed one.
	slices.SortFunc(candidates, byProcess)
	switch {
	case r.policy == RoundRobin:
		r.turn++
		return candidates[r.turn%len(candidates)], true
	case r.policy == LeastLoaded:
		return r.best(candidates, r.outstanding), true
	case r.policy == TwoChoices || q.Service != "":
		return r.best(twoRandom(candidates), r.outstanding), true
	}
	if q.Confinement != Unconfined {
		return r.chooseConfined(agents, candidates, q), true
	}
	return r.chooseScored(candidates, q), true
}

// chooseScored compares two random candidates and the one that caches most of
// the prompt.
func (r *Router) chooseScored(candidates []member.Agent, q Request) member.Agent {
	prefixes := PrefixHashes(q.Model, q.Prompt)
	missing := func(a member.Agent) float64 { return float64(missingBytes(a, prefixes, len(q.Prompt))) }
	return r.lowestScore(append(twoRandom(candidates), r.best(candidates, missing)), q)
}

func (r *Router) best(candidates []member.Agent, cost func(member.Agent) float64) member.Agent {
	chosen, lowest := candidates[0], cost(candidates[0])
	for _, a := range candidates[1:] {
		if c := cost(a); c < lowest {
			chosen, lowest = a, c
		}
	}
	return chosen
}

func (r *Router) promptTime(a member.Agent, bytes float64) float64 {
	return bytes / bytesPerToken / (rate(a) * promptRateFactor)
}

func (r *Router) zoneCost(a member.Agent) float64 {
	if a.Hello.Zone == r.zone {
		return 0
	}
	return otherZoneSeconds
}

func rate(a member.Agent) float64 {
	if a.Report.TokensPerSecond > 0 {
		return a.Report.TokensPerSecond
	}
	return fallbackTokensPerSecond
}

// Candidates returns the agents that can serve the request now.
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

func byProcess(a, b member.Agent) int {
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

// Rendezvous returns the agent that has the highest hash with key, so that all
// entries with the same view send a key to the same agent.
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
