package integration

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
)

const (
	// agentLimit is the age of a report at which an agent is removed from routing,
	// plus the sampling delay.
	agentLimit = 3*time.Second + 2*sampleInterval
	// entryLimit is the time without messages after which an entry VM is considered
	// dead, plus the time until a link detects this and notifies others.
	entryLimit = 8 * time.Second
)

// fleetMember is an element of the response of /admin/v1/members.
type fleetMember struct {
	Process string `json:"process"`
	Alive   bool   `json:"alive"`
	Linked  bool   `json:"linked"`
}

// membership is a fleet whose entry VMs are all polled for their members.
type membership struct {
	*configurationFleet
	stop context.CancelFunc
	done sync.WaitGroup

	mu sync.Mutex
	// usable holds, per entry VM, the processes that it considers alive.
	usable map[string]map[string]bool
	// lost counts, per process, how often an entry VM that considered it usable no
	// longer did so at the next sample.
	lost map[string]int
}

func startMembership(t *testing.T) *membership {
	t.Helper()
	c := startSmallFleet(t, 6)
	sampling, stop := context.WithCancel(context.Background())
	m := &membership{configurationFleet: c, stop: stop, usable: map[string]map[string]bool{}, lost: map[string]int{}}
	for _, e := range c.fleet.Entries {
		m.done.Add(1)
		go func() {
			defer m.done.Done()
			for sampling.Err() == nil {
				m.sample(sampling, e)
				time.Sleep(sampleInterval)
			}
		}()
	}
	t.Cleanup(func() { stop(); m.done.Wait() })
	return m
}

func (m *membership) sample(ctx context.Context, e *harness.Entry) {
	var members []fleetMember
	if m.fleet.Admin(ctx, http.MethodGet, e.Settings.AdminAddress, "/admin/v1/members", nil, &members) != nil {
		return
	}
	now := map[string]bool{}
	for _, member := range members {
		if member.Alive {
			now[member.Process] = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for process := range m.usable[e.Name] {
		if !now[process] {
			m.lost[process]++
		}
	}
	m.usable[e.Name] = now
}

// countViews counts the entry VMs, other than the process itself, that consider a
// process usable.
func (m *membership) countViews(process string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for observer, usable := range m.usable {
		if observer != process && usable[process] {
			n++
		}
	}
	return n
}

func (m *membership) losses() (int, map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0
	for _, n := range m.lost {
		sum += n
	}
	return sum, maps.Clone(m.lost)
}

// waitViews waits until n entry VMs consider a process usable.
func (m *membership) waitViews(process string, n int, limit time.Duration) time.Duration {
	m.Helper()
	began := time.Now()
	for m.countViews(process) != n {
		if time.Since(began) > limit {
			m.Errorf("%d entry VMs consider %s usable after %v, want %d", m.countViews(process), process, limit, n)
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// waitAllUsable waits until every entry VM considers every process usable.
func (m *membership) waitAllUsable() {
	m.Helper()
	for _, e := range m.fleet.Entries {
		m.waitViews(e.Name, len(m.fleet.Entries)-1, 10*time.Second)
	}
	for _, a := range m.fleet.Agents {
		m.waitViews(a.Name, len(m.fleet.Entries), 10*time.Second)
	}
}

// Guards against dead processes that stay in use, and against live ones that are
// considered dead because they pause or lose packets.
func TestMembershipDetection(t *testing.T) {
	t.Parallel()
	m := startMembership(t)
	m.waitAllUsable()
	entry, agent := m.fleet.Entries[1], m.fleet.Agents[1]
	lossy := func(drop float64) int {
		before, _ := m.losses()
		for _, r := range relays(m.fleet) {
			r.relay.SetFaults(harness.LinkFault{Drop: drop}, harness.LinkFault{Drop: drop})
		}
		time.Sleep(time.Duration(amount(3, 30)) * time.Second)
		m.healLinks()
		after, who := m.losses()
		t.Logf("loss %v: %v", drop, who)
		return after - before
	}
	frozen := func(pause time.Duration) int {
		before, _ := m.losses()
		m.must(entry.Freeze())
		m.must(agent.Freeze())
		time.Sleep(pause)
		m.must(entry.Unfreeze())
		m.must(agent.Unfreeze())
		time.Sleep(time.Second)
		after, who := m.losses()
		t.Logf("frozen %v: %v", pause, who)
		return after - before
	}
	loss5, loss20 := lossy(0.05), lossy(0.2)
	m.waitAllUsable()
	frozen1 := frozen(time.Second)
	m.waitAllUsable()
	frozen2 := frozen(2 * time.Second)
	m.waitAllUsable()
	if loss5 > 0 || loss20 > 0 || frozen1 > 0 {
		t.Errorf("false suspicions: %d at 5%% loss, %d at 20%%, %d after a pause of 1 s", loss5, loss20, frozen1)
	}
	agent.Kill()
	agentTook := m.waitViews(agent.Name, 0, agentLimit)
	entry.Kill()
	entryTook := m.waitViews(entry.Name, 0, entryLimit)
	proved(t, "membership_detection", "agent_ms", agentTook.Milliseconds(), "entry_ms", entryTook.Milliseconds(),
		"suspected_at_5_percent", loss5, "suspected_at_20_percent", loss20, "suspected_frozen_1s", frozen1, "out_of_use_frozen_2s", frozen2)
}

// Guards against a side of a partitioned fleet that stops serving, and against a
// flood of control messages when the partition heals.
func TestMembershipCutHeals(t *testing.T) {
	t.Parallel()
	m := startMembership(t)
	m.waitAllUsable()
	window := time.Duration(amount(5, 10)) * time.Second
	idle := m.traffic(window)
	inside := map[string]bool{}
	for _, e := range m.fleet.Entries {
		inside[e.Name] = e.Settings.Zone == "zone-1"
	}
	for _, a := range m.fleet.Agents {
		inside[a.Name] = a.Settings.Zone == "zone-1"
	}
	m.cutLinks(inside)
	time.Sleep(time.Duration(amount(7, 30)) * time.Second)
	served := 0
	for _, e := range m.fleet.Entries {
		client := harness.NewClient([]string{e.Settings.CallerAddress}, "key-1", "")
		if o := client.Complete(m.ctx, harness.Completion{Model: "small", Prompt: "cut", MaxTokens: 1}); o.Complete {
			served++
		} else {
			t.Errorf("%s does not serve during the cut: %s", e.Name, o)
		}
	}
	m.healLinks()
	began := time.Now()
	healed := m.traffic(window)
	m.waitAllUsable()
	ratio := float64(healed) / float64(idle)
	// Every pair across the cut reconnects, which takes a TLS handshake and a full
	// exchange of members and digests.
	if ratio > 6 {
		t.Errorf("%d control bytes after healing, %d when idle", healed, idle)
	}
	proved(t, "membership_cut_heals", "entries_serving", served, "quiet_bytes", idle, "healed_bytes", healed, "ratio", ratio,
		"whole_by_ms", time.Since(began).Milliseconds(), "window_s", window.Seconds())
}

// traffic returns the bytes sent between all processes during window.
func (m *membership) traffic(window time.Duration) uint64 {
	sum := func() (n uint64) {
		for _, r := range relays(m.fleet) {
			n += r.relay.Bytes()
		}
		return n
	}
	before := sum()
	time.Sleep(window)
	return sum() - before
}
