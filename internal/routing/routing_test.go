package routing

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

func agent(i int) member.Agent {
	return member.Agent{
		Hello:  wire.Hello{Process: fleet.ProcessID(fmt.Sprintf("agent-%d", i)), Start: 1, Zone: "a"},
		Report: wire.Report{Sequence: 1, Model: "m", ServerUp: true, TokensPerSecond: 1000},
		Linked: true,
	}
}

// Guards against herding: until the next report arrives, the requests that this
// entry VM has sent must count as load.
func TestLaggingReportDoesNotHerd(t *testing.T) {
	for _, policy := range []Policy{Scored, LeastLoaded, TwoChoices, RoundRobin} {
		is := is.New(t)
		r := NewRouter(policy, "a")
		busy := agent(0)
		busy.Report.QueuedTokens, busy.Report.Running = 100, 1
		agents := []member.Agent{busy, agent(1), agent(2), agent(3)}
		q := Request{Model: "m", Prompt: "p", MaxTokens: 100}
		sent := map[fleet.ProcessID]int{}
		for range 400 {
			a, ok := r.Choose(agents, q)
			is.True(ok)
			sent[a.Hello.Process]++
			r.RecordSent(a.Hello.Process, q)
		}
		for _, a := range agents {
			is.True(sent[a.Hello.Process] > 60) // every agent gets about 100 of 400
		}
	}
}

// Guards against sending requests to agents that are leaving, do not serve the
// model or adapter, have no running server, or have no link.
func TestUnavailableAgentsAreNotCandidates(t *testing.T) {
	is := is.New(t)
	leaving, down, other, unlinked := agent(0), agent(1), agent(2), agent(3)
	leaving.Leaving, down.Report.ServerUp, other.Report.Model, unlinked.Linked = true, false, "n", false
	is.Equal(len(Candidates([]member.Agent{leaving, down, other, unlinked}, Request{Model: "m"})), 0)
	is.Equal(len(Candidates([]member.Agent{agent(4)}, Request{Model: "m", Adapter: "x"})), 0)
}

// Guards against ignoring the engine's prompt cache when agents are equally
// loaded.
func TestAgentThatCachesPromptIsPreferred(t *testing.T) {
	is := is.New(t)
	prompt := strings.Repeat("word ", 400)
	cached := agent(2)
	cached.Report.CachedPrefixes = PrefixHashes("m", prompt)
	r := NewRouter(Scored, "a")
	a, _ := r.Choose([]member.Agent{agent(0), agent(1), cached}, Request{Model: "m", Prompt: prompt})
	is.Equal(a.Hello.Process, cached.Hello.Process)
}

// Guards against tickets with the same key going to two agents after a third
// agent leaves, which would defeat the second safeguard against duplicate
// filings.
func TestRendezvousIgnoresUnchosenAgents(t *testing.T) {
	is := is.New(t)
	all := []member.Agent{agent(0), agent(1), agent(2)}
	for key := range uint64(50) {
		chosen, _ := Rendezvous(all, key)
		for i, left := range all {
			if left.Hello.Process == chosen.Hello.Process {
				continue
			}
			rest := append(append([]member.Agent{}, all[:i]...), all[i+1:]...)
			again, _ := Rendezvous(rest, key)
			is.Equal(again.Hello.Process, chosen.Hello.Process)
		}
	}
}

// Guards against copies of one crashing request that arrive at several entry VMs
// at the same time and each crash another server: entry VMs with different loads,
// and with views in which servers are already down, must use the same two agents.
func TestUntriedRequestsUseTwoAgents(t *testing.T) {
	is := is.New(t)
	var agents []member.Agent
	for i := range 6 {
		agents = append(agents, agent(i))
	}
	for fingerprint := range uint64(50) {
		q := Request{Model: "m", Prompt: "p", MaxTokens: 8, Fingerprint: fingerprint, Confinement: Untried}
		used := map[fleet.ProcessID]bool{}
		for i := range 24 {
			seen := append([]member.Agent(nil), agents...)
			seen[i%6].Report.QueuedTokens = 1000
			if i >= 12 {
				down := confinedAgents(agents, q)[0]
				for j := range seen {
					seen[j].Report.ServerUp = seen[j].Hello.Process != down.Hello.Process
				}
			}
			a, ok := NewRouter(Scored, "a").Choose(seen, q)
			is.True(ok)
			used[a.Hello.Process] = true
		}
		is.True(len(used) <= maxConfinedAgents)
		q.Confinement = Suspected
		first, _ := NewRouter(Scored, "a").Choose(agents, q)
		q.CrashedAgents = []fleet.ProcessID{first.Hello.Process}
		second, _ := NewRouter(Scored, "a").Choose(agents, q)
		is.True(first.Hello.Process != second.Hello.Process)
		is.True(used[first.Hello.Process] && used[second.Hello.Process])
	}
}

// Guards against harmless requests that are refused because both agents that
// they are confined to are down.
func TestConfinedRequestRunsElsewhereWhenBothAreDown(t *testing.T) {
	is := is.New(t)
	agents := []member.Agent{agent(0), agent(1), agent(2), agent(3)}
	q := Request{Model: "m", Prompt: "p", Fingerprint: 7, Confinement: Untried}
	for _, h := range confinedAgents(agents, q) {
		for i := range agents {
			if agents[i].Hello.Process == h.Hello.Process {
				agents[i].Report.ServerUp = false
			}
		}
	}
	is.True(!ConfinedAgentReady(agents, q))
	_, ok := NewRouter(Scored, "a").Choose(agents, q)
	is.True(ok)
}

// Guards against requests for an adapter that go to engines without it, under
// any confinement, and against ejecting the only engine that has it.
func TestAdapterRequestsGoToEnginesWithAdapter(t *testing.T) {
	is := is.New(t)
	agents := sixAgents()
	agents[4].Report.Adapters, agents[4].Report.FailureRate = []string{"law"}, 1
	for _, confinement := range []Confinement{Unconfined, Untried, Suspected} {
		for fingerprint := range uint64(50) {
			q := Request{Model: "m", Adapter: "law", Prompt: "p", Fingerprint: fingerprint, Confinement: confinement}
			a, ok := NewRouter(Scored, "a").Choose(agents, q)
			is.True(ok)
			is.Equal(a.Hello.Process, agents[4].Hello.Process)
		}
	}
}
