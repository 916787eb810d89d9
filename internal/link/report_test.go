package link

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Guards against an entry VM without requests that learns late that an agent
// leaves, and against an idle agent that drops out of routing because it sends
// its full report rarely.
func TestQuietLinkKeepsReportAndTellsLeaving(t *testing.T) {
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
	entry.View.Gossip([]wire.Member{{Hello: agent.View.Self(), Count: 1}})
	eventually(t, "agent reported", 4*time.Second, func() bool { return len(entry.View.Agents()) == 1 })
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if len(entry.View.Agents()) != 1 {
			t.Fatal("the report of an idle agent expired")
		}
	}
	leaving.Store(true)
	agent.Push()
	eventually(t, "leaving known at once", 500*time.Millisecond, func() bool { return entry.View.Agents()[0].Leaving })
}
