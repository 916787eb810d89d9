package routing

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
)

// prefixBytes is the length in bytes of the prompt blocks whose hashes cache
// events report.
const prefixBytes = 256

// agentLoad counts the requests and tokens that this process sent to one agent.
// A report includes what the agent had received by then, so the counts since the
// last report restart at zero when a new report arrives.
type agentLoad struct {
	start             fleet.StartID
	sequence          uint64
	tokensSinceReport int64
	openCalls         int
	callsSinceReport  int
}

// RecordSent records that a request was sent to an agent. The returned function
// records that the request ended.
func (r *Router) RecordSent(agent fleet.ProcessID, q Request) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.loadOf(agent)
	l.tokensSinceReport += q.Tokens()
	l.callsSinceReport++
	l.openCalls++
	return func() { r.recordEnd(agent) }
}

func (r *Router) recordEnd(agent fleet.ProcessID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.loads[agent]; l != nil && l.openCalls > 0 {
		l.openCalls--
	}
}

func (r *Router) loadOf(agent fleet.ProcessID) *agentLoad {
	l := r.loads[agent]
	if l == nil {
		l = &agentLoad{}
		r.loads[agent] = l
	}
	return l
}

func (r *Router) refreshLoads(candidates []member.Agent) {
	for _, a := range candidates {
		l := r.loadOf(a.Hello.Process)
		if l.start == a.Hello.Start && l.sequence == a.Report.Sequence {
			continue
		}
		l.start, l.sequence = a.Hello.Start, a.Report.Sequence
		l.tokensSinceReport, l.callsSinceReport = 0, 0
	}
}

// waitSeconds estimates the time in seconds until the agent would start to run a
// new request.
func (r *Router) waitSeconds(a member.Agent) float64 {
	tokens := a.Report.QueuedTokens + r.loadOf(a.Hello.Process).tokensSinceReport
	return float64(tokens) / tokensPerSecond(a)
}

// outstandingCalls estimates the number of calls from all entry VMs that are
// running or queued at the agent.
func (r *Router) outstandingCalls(a member.Agent) float64 {
	l := r.loadOf(a.Hello.Process)
	return float64(max(a.Report.Running+a.Report.Queued+l.callsSinceReport, l.openCalls))
}

// PrefixHashes returns the hashes that cache events use for the prefixes of a
// prompt, the shortest first. Prefix lengths are multiples of prefixBytes.
func PrefixHashes(model, prompt string) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	var out []uint64
	for end := prefixBytes; end <= len(prompt); end += prefixBytes {
		_, _ = d.WriteString(prompt[end-prefixBytes : end])
		out = append(out, d.Sum64())
	}
	return out
}

// missingBytes returns how many bytes of the prompt the agent's engine does not
// cache.
func missingBytes(a member.Agent, prefixes []uint64, length int) int {
	for k := len(prefixes); k > 0; k-- {
		if slices.Contains(a.Report.CachedPrefixes, prefixes[k-1]) {
			return length - k*prefixBytes
		}
	}
	return length
}

func appendUint64(b []byte, v uint64) []byte { return binary.BigEndian.AppendUint64(b, v) }
