package link

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Guards against an idle link on which the entry VM learns late that the agent is
// leaving, and against an idle agent that is dropped from routing because it
// rarely sends its full report.
func TestIdleLinkKeepsReportAndSendsLeaving(t *testing.T) {
	id := newIdentity(t)
	entry := start(t, id, fleet.RoleEntry, 0, nil)
	var sequence atomic.Uint64
	var leaving atomic.Bool
	agent := start(t, id, fleet.RoleAgent, 0, func(c *Config) {
		began := time.Now()
		c.Report = func() wire.Report {
			return wire.Report{Sequence: sequence.Add(1), Uptime: time.Since(began).Milliseconds() + 1, Model: "m", Leaving: leaving.Load()}
		}
	})
	entry.View.MergeGossip([]wire.Member{{Hello: agent.View.Self(), Count: 1}})
	eventually(t, "agent reported", 4*time.Second, func() bool { return len(entry.View.Agents()) == 1 })
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if len(entry.View.Agents()) != 1 {
			t.Fatal("the report of an idle agent expired")
		}
	}
	leaving.Store(true)
	agent.Push()
	eventually(t, "leaving state received", 500*time.Millisecond, func() bool { return entry.View.Agents()[0].Leaving })
}

// Guards against agents that send each new document back to all entry VMs that
// they have a link to.
func TestAgentsDoNotForwardDocuments(t *testing.T) {
	id := newIdentity(t)
	first := start(t, id, fleet.RoleEntry, 0, nil)
	second := start(t, id, fleet.RoleEntry, 1, nil, first.View.Self().Address)
	all := []*process{first, second}
	agents := []*process{}
	for i := range 8 {
		agent := startAgent(t, id, i, nil)
		agents = append(agents, agent)
		for _, e := range all {
			e.View.MergeGossip([]wire.Member{{Hello: agent.View.Self(), Count: 1}})
		}
	}
	eventually(t, "all linked", 8*time.Second, func() bool { return linkEnds(agents) == 16 && linkEnds(all) == 18 })
	const size = 100 << 10
	before := traffic(agents)
	first.PublishDocuments(first.docs.Merge([]wire.Document{{Name: "accounts/a", Revision: 3, Body: strings.Repeat("x", size)}}, 3), 3)
	eventually(t, "document everywhere", 3*time.Second, func() bool {
		for _, p := range append(agents, second) {
			if p.docs.Hash() != first.docs.Hash() {
				return false
			}
		}
		return true
	})
	time.Sleep(200 * time.Millisecond)
	sent := traffic(agents) - before
	t.Logf("8 agents sent %d bytes", sent)
	if sent > size {
		t.Errorf("8 agents sent %d bytes for a document of %d bytes that both entry VMs had", sent, size)
	}
}
