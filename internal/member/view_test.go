package member

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

type clock struct{ at time.Time }

func (c *clock) now() time.Time          { return c.at }
func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func hello(role fleet.Role, zone, n int) wire.Hello {
	name := fmt.Sprintf("%s-%03d", role, n)
	return wire.Hello{
		Process: fleet.ProcessID(name), Start: fleet.StartID(1<<60 + n), Role: role,
		Zone: fleet.AvailabilityZone(fmt.Sprintf("zone-%d", zone)), Address: fmt.Sprintf("10.0.%d.%d:7443", n/250, n%250),
		AdminAddress: fmt.Sprintf("10.0.%d.%d:7444", n/250, n%250), CallerAddress: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250),
	}
}

func testView(c *clock, n int) *View {
	return newView(Config{Self: hello(fleet.RoleEntry, n%8, n), AgentSubset: 4}, c.now)
}

func newClock() *clock { return &clock{at: time.Unix(5000, 0)} }

// Guards against a dead peer that still counts as alive, and against a process
// that uses evidence from before its own pause.
func TestEvidenceExpiresAfterSilenceAndPause(t *testing.T) {
	is := is.New(t)
	c := newClock()
	v := testView(c, 0)
	peer := hello(fleet.RoleEntry, 0, 1)
	v.RecordHeartbeat(peer, wire.Heartbeat{Count: 1})
	c.advance(4 * time.Second)
	is.True(v.Entries()[1].Alive)
	is.True(v.Entries()[1].Suspect)
	c.advance(3 * time.Second)
	is.True(!v.Entries()[1].Alive)
	v.RecordHeartbeat(peer, wire.Heartbeat{Count: 2})
	agent := hello(fleet.RoleAgent, 0, 2)
	v.RecordReport(agent, wire.Report{Sequence: 1, Model: "m"})
	is.Equal(len(v.Agents()), 1)
	v.ExpireAll()
	is.True(!v.Entries()[1].Alive)
	is.Equal(len(v.Agents()), 0)
	v.RecordReport(agent, wire.Report{Sequence: 2, Model: "m"})
	is.Equal(len(v.Agents()), 1)
	c.advance(3*time.Second + 1)
	is.Equal(len(v.Agents()), 0)
	a, ok := v.Agent(agent.Process)
	is.True(ok)
	is.True(a.ReportAge > 3*time.Second)
}

// Guards against gossip or an outdated VM list that overrides the evidence of a
// link, an old start that replaces a newer one, and records that are never
// deleted.
func TestEvidencePrecedenceAndExpiry(t *testing.T) {
	is := is.New(t)
	c := newClock()
	v := testView(c, 0)
	peer := hello(fleet.RoleEntry, 0, 1)
	newer := peer
	newer.Start++
	v.RecordHeartbeat(newer, wire.Heartbeat{Count: 5})
	v.MergeGossip([]wire.Member{{Hello: peer, Count: 900, Leaving: true}})
	v.RecordLinkLoss(peer.Process, peer.Start)
	e := v.Entries()[1]
	is.Equal(e.Hello.Start, newer.Start)
	is.True(e.Linked && !e.Leaving)
	v.SetVMs([]config.VM{{Name: peer.Process, Role: fleet.RoleEntry, State: config.VMLeaving}})
	is.True(v.Entries()[1].Leaving)
	v.RecordLinkLoss(newer.Process, newer.Start)
	v.SetVMs(nil)
	c.advance(forgetAfter + time.Second)
	is.Equal(len(v.Entries()), 1)
	v.MergeGossip([]wire.Member{{Hello: peer, Count: 1, Age: (forgetAfter + time.Second).Milliseconds()}})
	is.Equal(len(v.Entries()), 1) // old gossip does not restore the record
}

func largeFleet(c *clock, n int) []*View {
	var members []wire.Member
	for i := range n {
		members = append(members, wire.Member{Hello: hello(fleet.RoleEntry, i%8, i), Count: 1})
	}
	views := make([]*View, n)
	for i := range views {
		views[i] = testView(c, i)
		views[i].MergeGossip(members)
	}
	return views
}

// Guards against links that leave part of the fleet unconnected and thus without
// gossip, and against a number of links that grows with the fleet.
func TestTargetsConnectTheFleet(t *testing.T) {
	for _, n := range []int{2, 9, 12, 13, 40, 380} {
		is := is.New(t)
		views := largeFleet(newClock(), n)
		reached := map[fleet.ProcessID]bool{}
		neighbours := map[fleet.ProcessID][]fleet.ProcessID{}
		for _, v := range views {
			targets := v.Targets()
			is.True(len(targets) <= max(maxFullMeshEntries-1, ringSuccessors+7))
			for _, to := range targets {
				neighbours[v.Self().Process] = append(neighbours[v.Self().Process], to.Process)
				neighbours[to.Process] = append(neighbours[to.Process], v.Self().Process)
			}
		}
		pending := []fleet.ProcessID{views[0].Self().Process}
		for len(pending) > 0 {
			p := pending[0]
			pending = pending[1:]
			if !reached[p] {
				reached[p] = true
				pending = append(pending, neighbours[p]...)
			}
		}
		is.Equal(len(reached), n)
	}
}

// Guards against gossip that exceeds its share of the control budget, and against
// members that the round robin order omits.
func TestGossipFitsBudgetAndCoversAll(t *testing.T) {
	is := is.New(t)
	c := newClock()
	v := largeFleet(c, 380)[0]
	sent := map[fleet.ProcessID]bool{}
	rounds := 380/(maxGossipMembers-maxRecentChanges) + 1
	for range rounds {
		var frame bytes.Buffer
		members := v.GossipMembers()
		is.NoErr(wire.Write(&frame, 1, &wire.Members{Members: members}))
		is.True(len(members) <= maxGossipMembers)
		is.True(frame.Len() <= 3000) // half of the budget of 6 KB/s; heartbeats need the rest
		for _, m := range members {
			sent[m.Hello.Process] = true
		}
	}
	is.Equal(len(sent), 379)
}

// Guards against a zone with fewer or more than two readers of the platform.
func TestTwoReadersPerZone(t *testing.T) {
	is := is.New(t)
	readers := map[fleet.AvailabilityZone]int{}
	for _, v := range largeFleet(newClock(), 40) {
		if v.ReadsPlatform() {
			readers[v.Self().Zone]++
		}
	}
	is.Equal(len(readers), 8)
	for _, n := range readers {
		is.Equal(n, readersPerZone)
	}
}

// Guards against a subset that omits a model, ignores the zone of the entry VM,
// keeps an agent whose link was lost, or is blocked by agents that never report.
func TestAgentSubset(t *testing.T) {
	is := is.New(t)
	c := newClock()
	v := testView(c, 0)
	for i := range 40 {
		model := []string{"m", "n"}[i%2]
		v.RecordReport(hello(fleet.RoleAgent, i/2%4, 100+i), wire.Report{Sequence: 1, Model: model})
	}
	targets := v.Targets()
	is.Equal(len(targets), 8)
	for _, to := range targets {
		a, _ := v.Agent(to.Process)
		is.Equal(a.Hello.Zone, v.Self().Zone)
	}
	lost, _ := v.Agent(targets[0].Process)
	v.RecordLinkLoss(lost.Hello.Process, lost.Hello.Start)
	for _, to := range v.Targets() {
		is.True(to.Process != lost.Hello.Process)
	}
	silent := testView(c, 0)
	var vms []config.VM
	for i := range 12 {
		h := hello(fleet.RoleAgent, 0, i)
		vms = append(vms, config.VM{Name: h.Process, Role: h.Role, Zone: h.Zone, Address: h.Address})
	}
	silent.SetVMs(vms)
	tried := map[fleet.ProcessID]bool{}
	for range 30 {
		for _, to := range silent.Targets() {
			tried[to.Process] = true
		}
		c.advance(demotionPeriod)
	}
	is.Equal(len(tried), 12)
}

// Guards against a report that expires although heartbeats confirm it, and
// against routing that counts requests twice because the sequence number of the
// report does not advance.
func TestHeartbeatConfirmsReport(t *testing.T) {
	now := time.Unix(1000, 0)
	v := newView(Config{Self: wire.Hello{Process: "entry-1", Role: fleet.RoleEntry}}, func() time.Time { return now })
	h := wire.Hello{Process: "agent-1", Start: 1, Role: fleet.RoleAgent}
	v.RecordReport(h, wire.Report{Sequence: 4, Uptime: 100, Model: "small", Running: 2})
	now = now.Add(2 * time.Second)
	v.RecordHeartbeat(h, wire.Heartbeat{Count: 1, ReportUptime: 2100, ReportSequence: 5})
	now = now.Add(2 * time.Second)
	agents := v.Agents()
	if len(agents) != 1 || agents[0].Uptime() != 4100 || agents[0].Report.Sequence != 5 || agents[0].Report.Running != 2 {
		t.Fatalf("agents %+v, want one with uptime 4100, sequence number 5 and 2 running", agents)
	}
	v.RecordHeartbeat(h, wire.Heartbeat{Count: 2})
	if now = now.Add(1500 * time.Millisecond); len(v.Agents()) != 0 {
		t.Fatal("a heartbeat that does not confirm the report extended its lifetime")
	}
}

// Guards against control traffic that grows with the number of models and agents,
// and against agents that no entry VM links to.
func TestAgentLinksInLargestFleet(t *testing.T) {
	const entries, agents, zones, models = 380, 1100, 8, 6
	chosenBy := map[fleet.ProcessID]int{}
	most := 0
	for e := range entries {
		zone := fleet.AvailabilityZone(fmt.Sprintf("zone-%d", e%zones))
		v := NewView(Config{Self: wire.Hello{Process: fleet.ProcessID(fmt.Sprintf("entry-%d", e)), Role: fleet.RoleEntry, Zone: zone}, AgentSubset: 32})
		for a := range agents {
			h := wire.Hello{
				Process: fleet.ProcessID(fmt.Sprintf("agent-%d", a)), Start: 1, Role: fleet.RoleAgent, Address: "a",
				Zone: fleet.AvailabilityZone(fmt.Sprintf("zone-%d", a/models%zones)),
			}
			v.RecordReport(h, wire.Report{Sequence: 1, Model: fmt.Sprintf("model-%d", a%models)})
		}
		targets := v.Targets()
		most = max(most, len(targets))
		for _, target := range targets {
			chosenBy[target.Process]++
		}
	}
	fewest, largest := entries, 0
	for a := range agents {
		n := chosenBy[fleet.ProcessID(fmt.Sprintf("agent-%d", a))]
		fewest, largest = min(fewest, n), max(largest, n)
	}
	t.Logf("at most %d agent links per entry VM, %d to %d entry VMs per agent", most, fewest, largest)
	if most > 32 || fewest < 1 {
		t.Errorf("%d agent links per entry VM (limit 32), %d entry VMs per agent (minimum 1)", most, fewest)
	}
}
