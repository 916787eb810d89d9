package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/standin"
)

const (
	groupStep = 10 * time.Millisecond
	// rankDelay is the packet delay at each agent. It makes each phase of a switch
	// long enough for a fault to hit it.
	rankDelay = 40 * time.Millisecond
	// faultWindow is the time after a publication within which the fault begins:
	// the coordinator polls every 250 ms, and the phases take about 300 ms.
	faultWindow = 700 * time.Millisecond
)

// mapFleet is a fleet whose agents serve the ranks of one group.
type mapFleet struct {
	t      *testing.T
	ctx    context.Context
	fleet  *harness.Fleet
	group  *harness.Group
	random *rand.Rand
	faults map[string]int
	round  int
}

func startMapFleet(t *testing.T, ctx context.Context, ranks int) *mapFleet {
	t.Helper()
	g, err := harness.StartGroup(*binaries, t.TempDir(), ranks, groupStep)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Kill)
	o := harness.Options{Bin: *binaries, Entries: 1, UDPFaults: true, ReadyTimeout: time.Minute, Models: []harness.ModelSpec{{Name: "small"}}}
	for rank := range ranks {
		o.Agents = append(o.Agents, harness.AgentSpec{Kind: settings.KindModel, Backend: "small", URL: g.RankURL(rank)})
	}
	o.EntrySettings = func(c *settings.EntryConfig) { c.AgentSubset = max(ranks, c.AgentSubset) }
	f, err := harness.Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	m := &mapFleet{t: t, ctx: ctx, fleet: f, group: g, faults: map[string]int{}}
	m.random = rand.New(rand.NewPCG(uint64(*seed), uint64(ranks)))
	for _, a := range f.Agents {
		m.heal(a)
	}
	return m
}

func (m *mapFleet) must(err error) {
	m.t.Helper()
	if err != nil {
		m.t.Fatal(err)
	}
}

func (m *mapFleet) heal(a *harness.Agent) {
	a.Relay.SetFaults(harness.LinkFault{Delay: rankDelay}, harness.LinkFault{})
}

// publish publishes a new map and returns its number.
func (m *mapFleet) publish() uint64 {
	m.t.Helper()
	var ranks, placement []string
	for _, a := range m.fleet.Agents {
		ranks = append(ranks, fmt.Sprintf("%q", a.Name))
	}
	const experts = 256
	for range experts {
		placement = append(placement, fmt.Sprint(m.random.IntN(len(ranks))))
	}
	number, err := m.fleet.Publish(m.ctx, "groups/g", fmt.Sprintf("model = \"small\"\nexperts = %d\nranks = [%s]\nplacement = [%s]\n",
		experts, strings.Join(ranks, ", "), strings.Join(placement, ", ")))
	m.must(err)
	return number
}

func (m *mapFleet) counts() standin.GroupCounts {
	m.t.Helper()
	c, err := m.group.Counts(m.ctx)
	m.must(err)
	return c
}

// waitMap waits until the group runs steps with a map, and returns how long that
// took.
func (m *mapFleet) waitMap(number uint64) time.Duration {
	m.t.Helper()
	const bound = 20 * time.Second
	began := time.Now()
	for m.counts().Map != number {
		if time.Since(began) > bound {
			m.t.Fatalf("the group does not use map %d after %s: %+v\n%s", number, bound, m.counts(), lastLines(m.fleet.Agents[0].Log()))
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

func lastLines(log string) string { return log[max(0, len(log)-2000):] }

// inject begins a fault at one rank, rank 0 in a third of the cases, and returns
// a function that ends it.
func (m *mapFleet) inject() (end func()) {
	a := m.fleet.Agents[m.random.IntN(len(m.fleet.Agents))]
	name := "rank_n"
	if m.random.IntN(3) == 0 {
		a, name = m.fleet.Agents[0], "rank_0"
	}
	// The kinds rotate, so the short form has no kind twice.
	kinds := []string{"cut", "kill", "pause", "delay", "loss"}
	kind := kinds[m.round%len(kinds)]
	m.round++
	m.faults[kind+"_"+name]++
	switch kind {
	case "kill":
		a.Kill()
		return func() { m.must(a.Start()) }
	case "pause":
		m.must(a.Freeze())
		return func() { m.must(a.Unfreeze()) }
	case "cut":
		return m.cutOff(a)
	case "delay":
		slow := harness.LinkFault{Delay: 600 * time.Millisecond}
		a.Relay.SetFaults(slow, slow)
	case "loss":
		lossy := harness.LinkFault{Drop: 0.4}
		a.Relay.SetFaults(lossy, lossy)
	}
	return func() { m.heal(a) }
}

// Guards against two maps in one step and against a group that stays held, when
// a rank's agent is killed, paused, cut off, slow or lossy during a switch.
func TestMapsUnderFaults(t *testing.T) {
	sizes := []int{4}
	if *long {
		sizes = []int{4, 16, 64}
	}
	for _, ranks := range sizes {
		t.Run(fmt.Sprintf("%d_ranks", ranks), func(t *testing.T) { runMapsUnderFaults(t, ranks) })
	}
}

// cutOff cuts an agent off from the entry VM and from the other ranks.
func (m *mapFleet) cutOff(a *harness.Agent) (end func()) {
	a.Relay.SetFaults(cut, cut)
	for _, other := range m.fleet.Agents {
		m.must(other.Relay.SetFaultsFor(a.Settings.PeerAddress, cut, cut))
	}
	return func() {
		for _, other := range m.fleet.Agents {
			other.Relay.Heal()
			m.heal(other)
		}
	}
}

func runMapsUnderFaults(t *testing.T, ranks int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	m := startMapFleet(t, ctx, ranks)
	first := m.waitMap(m.publish())
	rounds := amount(2, 20)
	var slowest time.Duration
	for range rounds {
		m.publish()
		time.Sleep(time.Duration(m.random.Int64N(int64(faultWindow))))
		end := m.inject()
		number := m.publish()
		time.Sleep(time.Duration(m.random.IntN(2000)) * time.Millisecond)
		end()
		slowest = max(slowest, m.waitMap(number))
	}
	c := m.counts()
	if c.Mixed > 0 {
		t.Errorf("%d of %d steps with more than one map", c.Mixed, c.Step)
	}
	proved(t, "maps-under-faults", "ranks", ranks, "rounds", rounds, "steps", c.Step, "switches", c.Switches, "mixed", c.Mixed,
		"held_steps", c.HeldSteps, "longest_hold_ms", int64(c.LongestHold)*groupStep.Milliseconds(), "first_switch_ms", first.Milliseconds(),
		"slowest_after_fault_ms", slowest.Milliseconds(), "faults", strings.ReplaceAll(fmt.Sprint(m.faults), " ", ","))
}
