package integration

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

// controlCost is the resource usage of one entry process and one agent while there
// are no requests.
type controlCost struct {
	// entryCPU and agentCPU are in percent of a core.
	entryCPU, agentCPU float64
	// entryKiB and agentKiB are the resident memory.
	entryKiB, agentKiB int
	// bytes is the traffic of all processes in both directions, in bytes per second
	// without UDP and IP headers.
	bytes float64
}

func measureControlCost(t *testing.T, entries, agents int) controlCost {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	specs := make([]harness.AgentSpec, agents)
	for i := range specs {
		specs[i] = harness.AgentSpec{Kind: settings.KindModel, Backend: "small"}
	}
	f, err := harness.Start(ctx, harness.Options{
		Bin: *binaries, Entries: entries, Agents: specs, Models: []harness.ModelSpec{{Name: "small"}}, UDPFaults: true,
		ReadyTimeout: time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	time.Sleep(8 * time.Second)
	relayed := func() (n uint64) {
		for _, r := range relays(f) {
			n += r.relay.Bytes()
		}
		return n
	}
	const window = 15 * time.Second
	entry, agent, bytes := f.Entries[0].PID(), f.Agents[0].PID(), relayed()
	entryBefore, agentBefore := processUsage(t, entry), processUsage(t, agent)
	time.Sleep(window)
	entryAfter, agentAfter := processUsage(t, entry), processUsage(t, agent)
	percent := func(before, after usage) float64 { return 100 * (after.cpu - before.cpu).Seconds() / window.Seconds() }
	return controlCost{
		entryCPU: percent(entryBefore, entryAfter), agentCPU: percent(agentBefore, agentAfter),
		entryKiB: entryAfter.resident, agentKiB: agentAfter.resident,
		bytes: float64(relayed()-bytes) / window.Seconds(),
	}
}

// Guards against control cost per agent link that is too high for the target size.
// It measures real processes with few and with many agents per entry VM.
func TestMembershipControlCost(t *testing.T) {
	if !*long {
		t.Skip("takes long; run with -long")
	}
	few, many := measureControlCost(t, 4, 2), measureControlCost(t, 4, 30)
	links := 28.0
	proved(t, "control_cost", "entries", 4, "entry_cpu_percent_2_agents", few.entryCPU, "entry_cpu_percent_30_agents", many.entryCPU,
		"entry_kib_2", few.entryKiB, "entry_kib_30", many.entryKiB, "entry_kib_per_link", float64(many.entryKiB-few.entryKiB)/links,
		"agent_cpu_percent", many.agentCPU, "agent_kib", many.agentKiB,
		"bytes_per_s_per_link_both_ways", (many.bytes-few.bytes)/(4*links))
}
