package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/standin"
	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
)

const (
	orderLease = time.Second
	// checkingAgent is the agent whose engine checks fencing numbers.
	checkingAgent = "agent-2"
	orderVersions = 400
)

// startOrders starts a fleet with one engine that ignores fencing numbers and
// one that checks them.
func startOrders(t *testing.T, ctx context.Context, entries int) *harness.Fleet {
	t.Helper()
	model := harness.ModelSpec{Name: "small", Adapters: []string{"law"}}
	for i := range orderVersions {
		model.Versions = append(model.Versions, versionName(i))
	}
	f, err := harness.Start(ctx, harness.Options{
		Bin: *binaries, Entries: entries, UDPFaults: true, TCPFaults: true,
		Models: []harness.ModelSpec{model},
		Agents: []harness.AgentSpec{
			{Kind: settings.KindModel, Backend: "small"},
			{Kind: settings.KindModel, Backend: "small", Arguments: []string{"--checks-fencing"}},
		},
		AgentSettings: func(c *settings.AgentConfig) {
			c.BackendServer.OrderLease = tomlfile.Duration(orderLease)
			c.BackendServer.ChecksFencing = c.Name == checkingAgent
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func versionName(i int) string { return fmt.Sprintf("v%04d", i) }

// publishVersion publishes a desired version for the engines of all agents; more is
// appended to each document.
func publishVersion(t *testing.T, ctx context.Context, f *harness.Fleet, version int, more string) {
	t.Helper()
	for _, a := range f.Agents {
		body := fmt.Sprintf("agent = %q\nmodel = \"small\"\nversion = %q\n%s", a.Name, versionName(version), more)
		if _, err := f.Publish(ctx, "engines/"+a.Name, body); err != nil {
			t.Fatal(err)
		}
	}
}

// effects returns the orders that took effect at an engine.
func effects(t *testing.T, ctx context.Context, a *harness.Agent) []standin.Order {
	t.Helper()
	orders, err := a.EngineOrders(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return orders
}

// waitVersion waits until the last version that took effect is the given one,
// and returns how long that took.
func waitVersion(t *testing.T, ctx context.Context, a *harness.Agent, version int, bound time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < bound {
		if lastVersion(effects(t, ctx, a)) == versionName(version) {
			return time.Since(began)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("%s has version %q after %s, want %s", a.Name, lastVersion(effects(t, ctx, a)), bound, versionName(version))
	return bound
}

func lastVersion(orders []standin.Order) string {
	last := ""
	for _, o := range orders {
		if o.Kind == "load_version" {
			last = o.Name
		}
	}
	return last
}

// checkEffects checks that the fencing numbers of the orders, and of the leases
// under which controllers sent them, increase in the order in which the orders took
// effect at the engine. It returns the number of orders that took effect too late
// and the number of versions older than a preceding one.
func checkEffects(a *harness.Agent, orders []standin.Order) (late, reverts int) {
	leases := leaseOfOrder(a)
	var highest, lease uint64
	version := ""
	for _, o := range orders {
		if o.Fence <= highest || leases[o.Fence] < lease {
			late++
		}
		highest, lease = max(highest, o.Fence), max(lease, leases[o.Fence])
		if o.Kind == "load_version" {
			if o.Name < version {
				reverts++
			}
			version = max(version, o.Name)
		}
	}
	return late, reverts
}

var sentPattern = regexp.MustCompile(`order\.sent.*`)

// leaseOfOrder returns the lease of each order that an agent sent, over all its
// starts, by fencing number.
func leaseOfOrder(a *harness.Agent) map[uint64]uint64 {
	leases := map[uint64]uint64{}
	for _, line := range sentPattern.FindAllString(a.Log(), -1) {
		fence, _ := strconv.ParseUint(logField(line, "fence"), 10, 64)
		leases[fence], _ = strconv.ParseUint(logField(line, "lease"), 10, 64)
	}
	return leases
}

var grantPattern = regexp.MustCompile(`lease\.granted.*`)

// checkGrants checks that the lease numbers of an agent increase over all its starts,
// and returns the number of leases and of controllers.
func checkGrants(t *testing.T, a *harness.Agent) (leases, controllers int) {
	t.Helper()
	seen := map[string]bool{}
	var highest uint64
	for _, line := range grantPattern.FindAllString(a.Log(), -1) {
		fence, err := strconv.ParseUint(logField(line, "fence"), 10, 64)
		if err != nil || fence <= highest {
			t.Errorf("%s: lease number not above %d: %s", a.Name, highest, line)
		}
		highest, leases = fence, leases+1
		seen[logField(line, "controller")] = true
	}
	return leases, len(seen)
}

func logField(line, key string) string {
	_, rest, _ := strings.Cut(line, " "+key+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

func countEvents(f *harness.Fleet, event string) int {
	n := 0
	for _, a := range f.Agents {
		n += strings.Count(a.Log(), event)
	}
	return n
}

// Guards against documents that reach the engines incompletely or more than once.
func TestOrdersFollowDocuments(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f := startOrders(t, ctx, 2)
	time.Sleep(orderLease) // a restarted agent grants no lease earlier
	began := time.Now()
	publishVersion(t, ctx, f, 1, "adapters = [\"law\"]\nrole = \"decode\"\n")
	for _, a := range f.Agents {
		for len(effects(t, ctx, a)) < 3 && time.Since(began) < 5*time.Second {
			time.Sleep(20 * time.Millisecond)
		}
	}
	took := time.Since(began)
	time.Sleep(orderLease)
	orders := 0
	for _, a := range f.Agents {
		kinds := ""
		for _, o := range effects(t, ctx, a) {
			kinds += o.Kind + "=" + o.Name + " "
			orders++
		}
		is.Equal(kinds, "load_version=v0001 load_adapter=law set_role=decode ")
	}
	is.True(took < 3*time.Second) // an accepted change is in force within 3 s
	proved(t, "orders-follow-documents", "orders", orders, "took_ms", took.Milliseconds())
}

// Guards against an order of an agent's previous start that takes effect after one
// of the new start, which has no state.
func TestOrdersAgentRestart(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	f := startOrders(t, ctx, 2)
	time.Sleep(orderLease)
	rounds, late, reverts := amount(1, 8), 0, 0
	const delay = 4 * time.Second
	for round := range rounds {
		for _, a := range f.Agents {
			if err := a.SetOrderDelay(ctx, delay); err != nil {
				t.Fatal(err)
			}
		}
		publishVersion(t, ctx, f, 2*round+1, "")
		time.Sleep(orderLease)
		for _, a := range f.Agents {
			if err := a.Restart(); err != nil {
				t.Fatal(err)
			}
			if err := a.SetOrderDelay(ctx, 0); err != nil {
				t.Fatal(err)
			}
		}
		publishVersion(t, ctx, f, 2*round+2, "")
		time.Sleep(delay)
		for _, a := range f.Agents {
			waitVersion(t, ctx, a, 2*round+2, 15*time.Second)
		}
	}
	for _, a := range f.Agents {
		l, r := checkEffects(a, effects(t, ctx, a))
		late, reverts = late+l, reverts+r
		checkGrants(t, a)
	}
	if late > 0 || reverts > 0 {
		t.Errorf("%d orders took effect after newer ones, %d older versions after newer ones", late, reverts)
	}
	proved(t, "orders-agent-restart", "rounds", rounds, "late", late, "reverts", reverts, "sent", countEvents(f, "order.sent"))
}

// Guards against an order that was sent under a lease, is delayed on its link and
// takes effect after the order of the controller that took over.
func TestOrdersLateController(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	f := startOrders(t, ctx, 2)
	time.Sleep(orderLease)
	publishVersion(t, ctx, f, 1, "")
	for _, a := range f.Agents {
		waitVersion(t, ctx, a, 1, 10*time.Second)
	}
	// The claim and the order are each delayed by more than a lease, so the order
	// arrives after that of the other entry VM, which acts 3 s after the change. A
	// delay above 2 s closes the link: heartbeats are 1 s apart, and the link is
	// closed after 3 s without one.
	const delay = 1850 * time.Millisecond
	first := f.Entries[0]
	if logField(grantPattern.FindString(f.Agents[0].Log()), "controller") != first.Name {
		first = f.Entries[1]
	}
	// On a slow machine the delayed link can close before the order arrives, so
	// rounds are repeated until enough late orders have arrived.
	wantRefused, rounds, late, refused := amount(1, 6), 0, 0, 0
	for round := 0; refused < wantRefused && round < 3*wantRefused; round++ {
		if rounds++; round > 0 {
			time.Sleep(2 * orderLease) // closed links are re-established
		}
		for _, a := range f.Agents {
			is.NoErr(a.Relay.SetFaultsFor(first.Settings.PeerAddress, harness.LinkFault{Delay: delay}, harness.LinkFault{}))
		}
		time.Sleep(delay)
		publishVersion(t, ctx, f, round+2, "")
		time.Sleep(2*delay + orderLease)
		for _, a := range f.Agents {
			waitVersion(t, ctx, a, round+2, 5*time.Second)
			a.Relay.Heal()
		}
		refused = 0
		for _, a := range f.Agents {
			refused += strings.Count(a.Log(), "reason=no_lease")
		}
	}
	controllers := 0
	for _, a := range f.Agents {
		l, _ := checkEffects(a, effects(t, ctx, a))
		_, n := checkGrants(t, a)
		late, controllers = late+l, max(controllers, n)
	}
	is.Equal(late, 0)
	is.Equal(controllers, 2)        // the other entry VM took over
	is.True(refused >= wantRefused) // late orders reached the agents
	proved(t, "orders-late-controller", "rounds", rounds, "late", late, "refused", refused)
}

// orderFaultInjector injects faults and counts them by kind.
type orderFaultInjector struct {
	t      *testing.T
	ctx    context.Context
	f      *harness.Fleet
	random *rand.Rand
	counts map[string]int
}

func (o *orderFaultInjector) must(err error) {
	o.t.Helper()
	if err != nil {
		o.t.Fatal(err)
	}
}

var cut = harness.LinkFault{Cut: true}

// inject begins a fault and returns a function that ends it.
func (o *orderFaultInjector) inject() (end func()) {
	kinds := []string{"freeze", "cut", "delay_link", "kill_agent", "kill_entry", "delay_order", "stall"}
	kind := kinds[o.random.IntN(len(kinds))]
	o.counts[kind]++
	e := o.f.Entries[o.random.IntN(len(o.f.Entries))]
	a := o.f.Agents[o.random.IntN(len(o.f.Agents))]
	switch kind {
	case "freeze":
		o.must(e.Freeze())
		return func() { o.must(e.Unfreeze()) }
	case "cut":
		return o.cutSides()
	case "delay_link":
		slow := harness.LinkFault{Delay: orderLease + orderLease/2}
		o.must(a.Relay.SetFaultsFor(e.Settings.PeerAddress, slow, harness.LinkFault{}))
		return a.Relay.Heal
	case "kill_agent":
		a.Kill()
		return func() { o.must(a.Start()) }
	case "kill_entry":
		e.Kill()
		return func() { o.must(e.Start()) }
	case "delay_order":
		o.must(a.SetOrderDelay(o.ctx, 2*orderLease))
		return func() { o.must(a.SetOrderDelay(o.ctx, 0)) }
	}
	o.must(a.Stall(o.ctx, standin.StallSettings{All: true}))
	return func() { o.must(a.Stall(o.ctx, standin.StallSettings{})) }
}

// cutSides separates the first entry VM from the others and from the platform;
// all entry VMs keep their links to the agents.
func (o *orderFaultInjector) cutSides() (end func()) {
	first := o.f.Entries[0]
	first.PlatformFaults.Cut()
	for _, e := range o.f.Entries[1:] {
		o.must(first.Relay.SetFaultsFor(e.Settings.PeerAddress, cut, cut))
		o.must(e.Relay.SetFaultsFor(first.Settings.PeerAddress, cut, cut))
	}
	return func() {
		o.must(first.PlatformFaults.Heal())
		for _, e := range o.f.Entries {
			e.Relay.Heal()
		}
	}
}

// Guards against an order of an older controller that takes effect after one of a
// newer controller, while entry VMs are frozen, killed and cut off, agents restart
// without state, and messages and orders are delayed. Covers engines that check
// fencing numbers and engines that ignore them.
func TestOrdersUnderFaults(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	f := startOrders(t, ctx, 3)
	random := rand.New(rand.NewPCG(uint64(*seed), 1))
	faults := &orderFaultInjector{t: t, ctx: ctx, f: f, random: random, counts: map[string]int{}}
	rounds := amount(2, 60)
	for round := range rounds {
		publishVersion(t, ctx, f, 3*round+1, "")
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		end := faults.inject()
		publishVersion(t, ctx, f, 3*round+2, "")
		time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
		publishVersion(t, ctx, f, 3*round+3, "")
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		end()
	}
	late, reverts, orders, leases := 0, 0, 0, 0
	var settled time.Duration
	for _, a := range f.Agents {
		settled = max(settled, waitVersion(t, ctx, a, 3*rounds, 20*time.Second))
	}
	for _, a := range f.Agents {
		done := effects(t, ctx, a)
		l, r := checkEffects(a, done)
		n, _ := checkGrants(t, a)
		late, reverts, orders, leases = late+l, reverts+r, orders+len(done), leases+n
	}
	if late > 0 {
		t.Errorf("%d orders took effect after newer ones", late)
	}
	proved(t, "orders-under-faults", "rounds", rounds, "orders", orders, "late", late, "reverts", reverts,
		"leases", leases, "refused", countEvents(f, "order.refused"), "settled_ms", settled.Milliseconds(), "faults", strings.ReplaceAll(fmt.Sprint(faults.counts), " ", ","))
}
