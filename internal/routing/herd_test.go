package routing

import (
	"fmt"
	"strings"
	"testing"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
)

// Guards against herding: entry VMs that all send their requests to one agent on
// the basis of a report that is 1 s old, and a common prompt prefix that
// overloads the agents that cache it. Simulates 4 entry VMs, 12 agents and 120
// requests per second with the same prefix.
func TestNoHerdingOnReportsOneSecondOld(t *testing.T) {
	const agentCount, entries, seconds, perSecond, steps = 12, 4, 20, 120, 10
	for _, confinement := range []Confinement{Unconfined, Untried} {
		prefix := strings.Repeat("b", 8*prefixBytes)
		var agents []member.Agent
		var routers []*Router
		for i := range agentCount {
			agents = append(agents, agent(i))
		}
		for range entries {
			routers = append(routers, NewRouter(Scored, "a"))
		}
		work, cached, highest := make([]float64, agentCount), make([]bool, agentCount), 0
		index := map[fleet.ProcessID]int{}
		for i, a := range agents {
			index[a.Hello.Process] = i
		}
		for second := range seconds {
			// The reports show the state at the beginning of the second.
			for i := range agents {
				agents[i].Report.Sequence, agents[i].Report.QueuedTokens = uint64(second+1), int64(work[i])
				if cached[i] {
					agents[i].Report.CachedPrefixes = PrefixHashes("m", prefix)
				}
			}
			sent := make([]int, agentCount)
			for n := range perSecond {
				number := second*perSecond + n
				q := Request{Model: "m", Prompt: fmt.Sprintf("%s%d", prefix, number), MaxTokens: 20, Confinement: confinement}
				q.Fingerprint = PrefixHashes("f", fmt.Sprintf("%256d", number))[0]
				r := routers[n%entries]
				a, _ := r.Choose(agents, q)
				r.RecordSent(a.Hello.Process, q)
				i := index[a.Hello.Process]
				sent[i]++
				cached[i] = true
				work[i] += float64(q.Tokens())
				if n%(perSecond/steps) == 0 {
					for j := range work {
						work[j] = max(0, work[j]-8000.0/steps) // tokens that the server generated
					}
				}
			}
			if second >= seconds/4 {
				for _, s := range sent {
					highest = max(highest, s)
				}
			}
		}
		t.Logf("confinement %d: at most %d of %d requests in one second went to one of %d agents", confinement, highest, perSecond, agentCount)
		if highest > 3*perSecond/agentCount {
			t.Errorf("confinement %d: %d of %d requests in one second went to one of %d agents", confinement, highest, perSecond, agentCount)
		}
	}
}
