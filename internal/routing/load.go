package routing

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
)

// prefixBytes is the length of the prompt pieces that cache events name.
const prefixBytes = 256

// load is what this process sent to one agent. A report that arrives already
// counts what the agent had received, so sinceReport restarts with it.
type load struct {
	start       fleet.StartID
	sequence    uint64
	sinceReport int64
	calls       int
	callsSince  int
}

// Sent notes that a request was sent to an agent. The returned function notes
// its end.
func (r *Router) Sent(agent fleet.ProcessID, q Request) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.loadOf(agent)
	l.sinceReport += q.Tokens()
	l.callsSince++
	l.calls++
	return func() { r.ended(agent) }
}

func (r *Router) ended(agent fleet.ProcessID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.loads[agent]; l != nil && l.calls > 0 {
		l.calls--
	}
}

func (r *Router) loadOf(agent fleet.ProcessID) *load {
	l := r.loads[agent]
	if l == nil {
		l = &load{}
		r.loads[agent] = l
	}
	return l
}

func (r *Router) refresh(candidates []member.Agent) {
	for _, a := range candidates {
		l := r.loadOf(a.Hello.Process)
		if l.start == a.Hello.Start && l.sequence == a.Report.Sequence {
			continue
		}
		l.start, l.sequence = a.Hello.Start, a.Report.Sequence
		l.sinceReport, l.callsSince = 0, 0
	}
}

// wait estimates the time in seconds until the agent would begin.
func (r *Router) wait(a member.Agent) float64 {
	tokens := a.Report.QueuedTokens + r.loadOf(a.Hello.Process).sinceReport
	return float64(tokens) / rate(a)
}

// outstanding estimates the calls at the agent from all entries.
func (r *Router) outstanding(a member.Agent) float64 {
	l := r.loadOf(a.Hello.Process)
	return float64(max(a.Report.Running+a.Report.Queued+l.callsSince, l.calls))
}

// PrefixHashes returns the hashes that cache events use for the whole pieces of
// a prompt, the shortest first.
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

// missingBytes returns how much of the prompt the agent's engine does not cache.
func missingBytes(a member.Agent, prefixes []uint64, length int) int {
	for k := len(prefixes); k > 0; k-- {
		if slices.Contains(a.Report.CachedPrefixes, prefixes[k-1]) {
			return length - k*prefixBytes
		}
	}
	return length
}

func appendUint64(b []byte, v uint64) []byte { return binary.BigEndian.AppendUint64(b, v) }
