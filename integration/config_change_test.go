package integration

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/standin"
)

// silentToxic drops all bytes from the server and keeps the connection open.
var silentToxic = harness.Toxic{Name: "silent", Type: "timeout", Stream: "downstream", Attributes: map[string]int{"timeout": 0}}

// configurationFleet is a fleet in 3 zones whose configuration changes.
type configurationFleet struct {
	*testing.T
	ctx     context.Context
	fleet   *harness.Fleet
	sampler *sampler
	// worst is the longest time until a change was in force, by schedule.
	worst map[string]time.Duration
	// refused reports whether models/refused has the status expected after the
	// rejected schedule.
	refused func(config.DocumentStatus) bool
	next    int
}

// startChanges starts a fleet of 9 entry VMs with a sampler.
func startChanges(t *testing.T) *configurationFleet {
	t.Helper()
	c := startSmallFleet(t, 9)
	c.sampler = startSampler(t, c.fleet)
	return c
}

// startSmallFleet starts entry VMs and three agents in three zones, behind
// proxies, without a sampler.
func startSmallFleet(t *testing.T, entries int) *configurationFleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(amount(60, 400))*time.Second)
	t.Cleanup(cancel)
	var agents []harness.AgentSpec
	for range 3 {
		agents = append(agents, harness.AgentSpec{Kind: settings.KindModel, Backend: "small"})
	}
	f, err := harness.Start(ctx, harness.Options{
		Bin: *binaries, Zones: []string{"zone-1", "zone-2", "zone-3"}, Entries: entries, Agents: agents,
		Models:    []harness.ModelSpec{{Name: "small"}},
		Templates: []harness.TemplateSpec{{Name: "routine", Rank: "middle", Share: 0.5, Models: []string{"small"}}},
		Accounts:  []harness.AccountSpec{{ID: "account-1", Key: "key-1", Template: "routine"}},
		UDPFaults: true, TCPFaults: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return &configurationFleet{T: t, ctx: ctx, fleet: f, worst: map[string]time.Duration{}}
}

func (c *configurationFleet) must(err error) {
	c.Helper()
	if err != nil {
		c.Fatal(err)
	}
}

// publish publishes a valid document with new content.
func (c *configurationFleet) publish(document string) uint64 {
	c.Helper()
	c.next++
	revision, err := c.fleet.Publish(c.ctx, document, fmt.Sprintf("adapters = [\"a%d\"]\nversions = []\n", c.next))
	c.must(err)
	return revision
}

func (c *configurationFleet) setPlatformMode(mode standin.PlatformMode) {
	c.Helper()
	c.must(c.fleet.SetPlatformMode(c.ctx, mode, 0))
}

// await waits until ok holds on the processes and records the longest time of the
// schedule.
func (c *configurationFleet) await(schedule, document string, began time.Time, processes []sampled, ok func(config.DocumentStatus) bool) {
	c.Helper()
	c.worst[schedule] = max(c.worst[schedule], c.sampler.await(c.T, schedule, document, began, processes, ok))
}

// publishAndAwait changes models/changing and waits until the change is in force
// everywhere.
func (c *configurationFleet) publishAndAwait(schedule string) {
	c.Helper()
	began := time.Now()
	c.await(schedule, "models/changing", began, c.sampler.processes, atLeast(c.publish("models/changing")))
}

// Guards against an accepted change that takes effect late, is lost in a process or
// is reverted. A sampler reads every process during all faults.
func TestConfigurationChanges(t *testing.T) {
	c := startChanges(t)
	schedules := []struct {
		name string
		run  func(*configurationFleet, string)
	}{
		{"plain", (*configurationFleet).publishAndAwait},
		{"rejected", (*configurationFleet).rejected},
		{"deleted", (*configurationFleet).deleted},
		{"operators", (*configurationFleet).concurrentOperators},
		{"silent_watch", (*configurationFleet).silentWatch},
		{"platform_down", (*configurationFleet).platformDown},
		{"frozen", (*configurationFleet).frozenProcesses},
		{"zone_cut", (*configurationFleet).zoneCut},
		{"readers_killed", (*configurationFleet).readersKilled},
		{"restored", (*configurationFleet).platformRestored},
		{"platform_lost_its_state", (*configurationFleet).platformStale},
	}
	for _, s := range schedules {
		s.run(c, s.name)
	}
	c.sampler.close(t)
	var figures []any
	for _, name := range slices.Sorted(maps.Keys(c.worst)) {
		figures = append(figures, name+"_ms", c.worst[name].Milliseconds())
	}
	figures = append(figures, "samples", c.sampler.samples, "reverts", len(c.sampler.faults))
	proved(t, "configuration_in_force", figures...)
}

// rejected publishes an invalid revision: the last valid one stays in force, and
// every process reports the reason.
func (c *configurationFleet) rejected(schedule string) {
	good := c.publish("models/refused")
	c.await(schedule, "models/refused", time.Now(), c.sampler.processes, atLeast(good))
	began := time.Now()
	bad, err := c.fleet.Publish(c.ctx, "models/refused", "adapters = 7\n")
	c.must(err)
	c.refused = func(d config.DocumentStatus) bool {
		return d.Latest == bad && d.InForce == good && d.Rejected != ""
	}
	c.await(schedule, "models/refused", began, c.sampler.processes, c.refused)
}

func (c *configurationFleet) deleted(schedule string) {
	c.await(schedule, "models/deleted", time.Now(), c.sampler.processes, atLeast(c.publish("models/deleted")))
	began := time.Now()
	revision, err := c.fleet.Delete(c.ctx, "models/deleted")
	c.must(err)
	c.await(schedule, "models/deleted", began, c.sampler.processes, deletedAt(revision))
}

// deletedAt reports whether a deletion of at least that revision is in force.
func deletedAt(revision uint64) func(config.DocumentStatus) bool {
	return func(d config.DocumentStatus) bool { return d.InForce >= revision && d.Deleted }
}

// concurrentOperators publishes the same documents from two places concurrently, so
// processes receive them in different orders.
func (c *configurationFleet) concurrentOperators(schedule string) {
	documents := []string{"models/one", "models/two"}
	newest := map[string]uint64{}
	var mu sync.Mutex
	var both sync.WaitGroup
	began := time.Now()
	for operator := range 2 {
		both.Add(1)
		go func() {
			defer both.Done()
			for i := range 20 {
				name := documents[(i+operator)%2]
				revision, err := c.fleet.Publish(c.ctx, name, fmt.Sprintf("adapters = [\"o%d-%d\"]\nversions = []\n", operator, i))
				mu.Lock()
				newest[name] = max(newest[name], revision)
				mu.Unlock()
				if err != nil {
					c.Error(err)
				}
			}
		}()
	}
	both.Wait()
	for _, name := range documents {
		c.await(schedule, name, began, c.sampler.processes, atLeast(newest[name]))
	}
}

// silentWatch leaves all entry VMs but one with open platform connections that
// carry no bytes, so the remaining one has to distribute the change.
func (c *configurationFleet) silentWatch(schedule string) {
	for i := range amount(1, len(c.fleet.Entries)) {
		spared := (int(*seed) + i) % len(c.fleet.Entries)
		for j, e := range c.fleet.Entries {
			if j != spared {
				c.must(e.PlatformFaults.Add(silentToxic))
			}
		}
		c.publishAndAwait(schedule)
		for _, e := range c.fleet.Entries {
			c.must(e.PlatformFaults.Heal())
		}
	}
}

// platformDown restarts processes, which then have no documents, while the platform
// refuses all calls, and publishes a change during the outage. The change is timed
// from the platform's return.
func (c *configurationFleet) platformDown(schedule string) {
	held := c.publish("models/changing")
	c.await(schedule, "models/changing", time.Now(), c.sampler.processes, atLeast(held))
	c.setPlatformMode(standin.PlatformRefuse)
	time.Sleep(time.Duration(amount(2, 60)) * time.Second)
	c.must(c.fleet.Entries[4].Restart())
	c.must(c.fleet.Agents[1].Restart())
	began := time.Now()
	c.await(schedule+"_empty_start", "models/changing", began, c.sampler.processes, atLeast(held))
	c.await(schedule+"_empty_start", "models/refused", began, c.sampler.processes, c.refused)
	revision := c.publish("models/changing")
	c.setPlatformMode(standin.PlatformUp)
	c.await(schedule, "models/changing", time.Now(), c.sampler.processes, atLeast(revision))
}

// frozenProcesses freezes an entry VM and an agent for longer than the time after
// which peers are considered dead, and changes documents in the meantime.
func (c *configurationFleet) frozenProcesses(schedule string) {
	frozen := map[string]bool{c.fleet.Entries[0].Name: true, c.fleet.Agents[0].Name: true}
	c.must(c.fleet.Entries[0].Freeze())
	c.must(c.fleet.Agents[0].Freeze())
	running := c.sampler.selectProcesses(func(name string) bool { return !frozen[name] })
	revision := c.publish("models/changing")
	c.await(schedule, "models/changing", time.Now(), running, atLeast(revision))
	time.Sleep(time.Duration(amount(4, 15)) * time.Second)
	c.must(c.fleet.Entries[0].Unfreeze())
	c.must(c.fleet.Agents[0].Unfreeze())
	c.await(schedule+"_woken", "models/changing", time.Now(), c.sampler.processes, atLeast(revision))
}

// zoneCut cuts zone-1 off from the other zones and from the platform. After the
// links heal, the zone still cannot reach the platform, so peers must deliver the
// change.
func (c *configurationFleet) zoneCut(schedule string) {
	inside := map[string]bool{}
	for _, e := range c.fleet.Entries {
		if e.Settings.Zone == "zone-1" {
			inside[e.Name] = true
			e.PlatformFaults.Cut()
		}
	}
	for _, a := range c.fleet.Agents {
		inside[a.Name] = a.Settings.Zone == "zone-1"
	}
	c.cutLinks(inside)
	time.Sleep(time.Duration(amount(4, 20)) * time.Second)
	outside := c.sampler.selectProcesses(func(name string) bool { return !inside[name] })
	revision := c.publish("models/changing")
	c.await(schedule, "models/changing", time.Now(), outside, atLeast(revision))
	c.healLinks()
	c.await(schedule+"_healed", "models/changing", time.Now(), c.sampler.processes, atLeast(revision))
	for _, e := range c.fleet.Entries {
		c.must(e.PlatformFaults.Heal())
	}
}

// relayedProcess is a process with the relay in front of it.
type relayedProcess struct {
	name, peer string
	relay      *harness.UDPRelay
}

func relays(f *harness.Fleet) []relayedProcess {
	var list []relayedProcess
	for _, e := range f.Entries {
		list = append(list, relayedProcess{e.Name, e.Settings.PeerAddress, e.Relay})
	}
	for _, a := range f.Agents {
		list = append(list, relayedProcess{a.Name, a.Settings.PeerAddress, a.Relay})
	}
	return list
}

// cutLinks drops all packets between the processes in inside and all others.
func (c *configurationFleet) cutLinks(inside map[string]bool) {
	cut := harness.LinkFault{Cut: true}
	all := relays(c.fleet)
	for _, target := range all {
		for _, sender := range all {
			if inside[target.name] != inside[sender.name] {
				c.must(target.relay.SetFaultsFor(sender.peer, cut, cut))
			}
		}
	}
}

func (c *configurationFleet) healLinks() {
	for _, r := range relays(c.fleet) {
		r.relay.Heal()
	}
}

// readersKilled kills two of the three entry VMs of a zone right before a change.
// The long form does so for all pairs, one of which is the zone's two readers.
func (c *configurationFleet) readersKilled(schedule string) {
	var zone []*harness.Entry
	for _, e := range c.fleet.Entries {
		if e.Settings.Zone == "zone-2" {
			zone = append(zone, e)
		}
	}
	for spared := range amount(1, len(zone)) {
		for i, e := range zone {
			if i != spared {
				e.Kill()
			}
		}
		c.publishAndAwait(schedule)
		for i, e := range zone {
			if i != spared {
				c.must(e.Start())
			}
		}
		c.publishAndAwait(schedule + "_return")
	}
}

// platformRestored restores the platform from older copies, again and again, while processes
// are frozen or start with nothing. What a copy lacks stays in force, what it has again does
// not return, and changes in the new history take effect although their revisions were
// assigned before.
func (c *configurationFleet) platformRestored(schedule string) {
	c.await(schedule, "models/dropped", time.Now(), c.sampler.processes, atLeast(c.publish("models/dropped")))
	for range amount(2, 6) {
		c.await(schedule, "models/changing", time.Now(), c.sampler.processes, atLeast(c.publish("models/changing")))
		copied := time.Now()
		time.Sleep(100 * time.Millisecond)
		deleted, err := c.fleet.Delete(c.ctx, "models/dropped")
		c.must(err)
		c.await(schedule, "models/dropped", time.Now(), c.sampler.processes, deletedAt(deleted))
		held := c.publish("models/changing")
		c.await(schedule, "models/changing", time.Now(), c.sampler.processes, atLeast(held))
		c.must(c.fleet.Entries[1].Freeze())
		c.must(c.fleet.Agents[0].Freeze())
		lost, err := c.fleet.RestorePlatform(c.ctx, time.Since(copied)-50*time.Millisecond)
		c.must(err)
		if len(lost) != 2 {
			c.Fatalf("%s: the copy lacks %d documents, want 2", schedule, len(lost))
		}
		c.must(c.fleet.Entries[2].Restart())
		running := c.sampler.selectProcesses(func(name string) bool {
			return name != c.fleet.Entries[1].Name && name != c.fleet.Agents[0].Name
		})
		time.Sleep(1500 * time.Millisecond)
		c.await(schedule+"_lost", "models/changing", time.Now(), running, atLeast(held))
		c.await(schedule+"_lost", "models/dropped", time.Now(), running, deletedAt(deleted))
		began := time.Now()
		revision := c.publish("models/changing")
		c.await(schedule, "models/changing", began, running, atLeast(revision))
		c.must(c.fleet.Entries[1].Unfreeze())
		c.must(c.fleet.Agents[0].Unfreeze())
		c.await(schedule+"_woken", "models/changing", time.Now(), c.sampler.processes, atLeast(revision))
		restored, err := c.fleet.Delete(c.ctx, "models/dropped")
		c.must(err)
		c.await(schedule, "models/dropped", time.Now(), c.sampler.processes, deletedAt(restored))
		c.await(schedule, "models/dropped", time.Now(), c.sampler.processes, atLeast(c.publish("models/dropped")))
	}
}

// platformStale restarts the stand-in, which then answers with no documents and
// low revisions: no process may change its configuration, not even a restarted one.
func (c *configurationFleet) platformStale(schedule string) {
	held := c.publish("models/changing")
	c.await(schedule, "models/changing", time.Now(), c.sampler.processes, atLeast(held))
	c.must(c.fleet.Platform.Restart())
	time.Sleep(time.Duration(amount(2, 30)) * time.Second)
	c.must(c.fleet.Entries[8].Restart())
	c.must(c.fleet.Agents[2].Restart())
	c.await(schedule, "models/changing", time.Now(), c.sampler.processes, atLeast(held))
}
