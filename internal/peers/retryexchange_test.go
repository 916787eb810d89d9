package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/retry"
)

// retryFleet is a fleet of gateways and agents that exchange counts of retries without
// delay.
type retryFleet struct {
	gateways map[string]*retryGateway
	agents   map[string]*RetryLedger
	starts   int
	// cut holds the gateways that reach nobody.
	cut map[string]bool
	// passed is added to the time of all processes.
	passed time.Duration
	// unheardAgents is true if new gateways have not heard the agents.
	unheardAgents bool
}

type retryGateway struct {
	*RetryExchange
	budgets *retry.ServiceBudgets
	members *testMembers
	age     time.Duration // added to the time of this gateway
}

func newRetryFleet(gateways, agents int) *retryFleet {
	f := &retryFleet{gateways: map[string]*retryGateway{}, agents: map[string]*RetryLedger{}, cut: map[string]bool{}}
	for n := range agents {
		f.agents[fmt.Sprintf("agent-%d:1", n)] = NewRetryLedger()
	}
	for n := range gateways {
		f.start(fmt.Sprintf("g%d", n))
	}
	return f
}

// start starts a gateway in place of its predecessor and lets all gateways hear it.
func (f *retryFleet) start(name string) *retryGateway {
	f.starts++
	self := peer(name, f.starts, 1)
	g := &retryGateway{budgets: retry.NewServiceBudgets(0.2, 10*time.Second), members: newTestMembers(self)}
	g.RetryExchange = NewRetryExchange(func() Peer { return self }, g.members.Members, g.budgets, func(to string, m Message) { f.deliver(self.ControlAddress, to, m) })
	g.now = func() time.Time { return time.Now().Add(g.age) }
	g.age, g.started = f.passed, g.now().Add(f.passed)
	g.ledger.now = func() time.Time { return time.Now().Add(f.passed) }
	f.gateways[self.ControlAddress] = g
	for address, other := range f.gateways {
		other.members.HandleHello(&Hello{From: self})
		g.members.HandleHello(&Hello{From: Peer{Name: address, Start: fleet.StartID(1), ControlAddress: address}})
	}
	for a := range f.agents {
		if !f.unheardAgents {
			g.HearAgent(a)
		}
	}
	return g
}

func (f *retryFleet) deliver(from, to string, m Message) {
	if f.cut[from] || f.cut[to] {
		return
	}
	g, a := f.gateways[to], f.agents[to]
	switch m := m.(type) {
	case *RetryRecord:
		if g != nil {
			g.HandleRecord(m)
		} else if a != nil {
			a.Keep(m)
		}
	case *RetryQuery:
		if g != nil {
			g.HandleQuery(m)
		} else if a != nil {
			for _, record := range a.Answer(m) {
				f.deliver(to, m.From, record)
			}
		}
	}
}

// recall runs the first queries of a gateway and returns whether its predecessor is known.
func (g *retryGateway) recall() bool {
	g.Recall()
	g.age += recallTime
	return g.Recall()
}

// spend counts requests and sends as many retries as the budget allows.
func (g *retryGateway) spend() int {
	g.budgets.SetFixed(30, 10)
	sent := 0
	for range 100 {
		g.budgets.Request("s")
	}
	for g.budgets.Reserve("s") {
		g.budgets.Sent("s")
		g.AnnounceService("s")
		sent++
	}
	return sent
}

// begin makes all gateways known as if their first window had passed.
func (f *retryFleet) begin() {
	for _, g := range f.gateways {
		g.budgets.HoldFor(0)
		g.Recall()
		g.Announce()
	}
}

// Guards against a restart that renews the retry budget: the counts of the former start are
// recalled from other gateways, and from agents if all gateways were killed together.
func TestRestartedGatewayRecallsItsRetries(t *testing.T) {
	for name, killed := range map[string]int{"one gateway": 1, "all gateways": 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRetryFleet(3, 4)
			f.begin()
			is.Equal(f.gateways["g0:1"].spend(), 30) // 10, and 0.2 of 100 requests
			for n := range killed {
				delete(f.gateways, fmt.Sprintf("g%d:1", n))
			}
			for n := range killed {
				f.start(fmt.Sprintf("g%d", n))
			}
			g := f.gateways["g0:1"]
			is.Equal(g.spend(), 0) // the former start is not known yet
			is.True(g.recall())
			is.Equal(g.budgets.Usage("s").Own.Retries, 30.0)
			is.True(g.spend() <= 10+0.2*300-30) // what is left for the requests of both starts
		})
	}
}

// Guards against a recall that ends with the older record of a gateway that does not keep
// the counts: those that do were killed as well, and the new start has not heard the agents.
func TestRecallWaitsForAKeeperOfTheCounts(t *testing.T) {
	for name, agentsLeft := range map[string]bool{"agents live on": true, "agents have ended": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRetryFleet(6, 2)
			f.begin()
			old := f.gateways["g0:1"]
			old.budgets.Request("s")
			old.budgets.SetFixed(30, 10)
			is.True(old.budgets.Reserve("s"))
			old.budgets.Sent("s")
			old.Announce() // all gateways know of one retry
			spent := 1 + old.spend()
			for _, address := range append(old.keepers(), "g0:1") {
				delete(f.gateways, address)
				if !agentsLeft {
					delete(f.agents, address)
				}
			}
			f.unheardAgents = true
			g := f.start("g0")
			is.Equal(g.recall(), agentsLeft)
			if agentsLeft {
				is.Equal(g.budgets.Usage("s").Own.Retries, float64(spent))
				return
			}
			g.age += recallLimit
			is.True(g.Recall())
			is.Equal(g.spend(), 0) // nobody knows what was sent
		})
	}
}

// Guards against a process that answers as a keeper of a gateway's counts because it was one
// before: the record that shows that there are no other counts goes to keepers only.
func TestFormerKeeperIsNoKeeper(t *testing.T) {
	is := is.New(t)
	l := NewRetryLedger()
	l.Keep(&RetryRecord{Owner: "g:1", Start: 1, Sequence: 1, Keeper: true})
	l.Keep(&RetryRecord{Owner: "g:1", Start: 1, Sequence: 2, Service: "s", Keeper: true})
	for _, m := range l.Answer(&RetryQuery{Owner: "g:1"}) {
		is.True(m.Keeper)
	}
	l.Keep(&RetryRecord{Owner: "g:1", Start: 1, Sequence: 3, Service: "s"})
	for _, m := range l.Answer(&RetryQuery{Owner: "g:1"}) {
		is.True(!m.Keeper)
	}
}

// pass lets time pass for all processes.
func (f *retryFleet) pass(d time.Duration) {
	f.passed += d
	now := func() time.Time { return time.Now().Add(f.passed) }
	for _, a := range f.agents {
		a.now = now
	}
	for _, g := range f.gateways {
		g.ledger.now = now
		g.age = f.passed
	}
}

// Guards against a recall that forgets the counts of a service which got no retries for some
// seconds: the gateway was heard since, because of another service, or its former start
// had recalled them and was killed before it sent a retry.
func TestRecallKeepsCountsOfAQuietService(t *testing.T) {
	for name, meanwhile := range map[string]func(f *retryFleet){
		"retries at another service": func(f *retryFleet) {
			f.pass(6 * time.Second)
			f.gateways["g0:1"].AnnounceService("other")
		},
		"short-lived starts": func(f *retryFleet) {
			for range 2 {
				f.pass(3 * time.Second)
				f.start("g0").recall()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRetryFleet(3, 2)
			f.begin()
			is.Equal(f.gateways["g0:1"].spend(), 30)
			meanwhile(f)
			g := f.start("g0")
			is.True(g.recall())
			is.Equal(g.budgets.Usage("s").Own.Retries, 30.0)
		})
	}
}

// Guards against retries of a gateway that can't know what was sent before it: nobody
// remembers its predecessor, or it was cut off when the predecessor was last heard.
func TestGatewayWithoutRecordHoldsItsRetries(t *testing.T) {
	is := is.New(t)
	f := newRetryFleet(3, 2)
	f.begin()
	is.True(!f.start("new").recall())

	f.cut["g0:1"] = true
	f.gateways["g0:1"].spend()
	for _, g := range f.gateways {
		g.ledger.now = func() time.Time { return time.Now().Add(2 * maxSilence) }
	}
	for _, a := range f.agents {
		a.now = func() time.Time { return time.Now().Add(2 * maxSilence) }
	}
	delete(f.cut, "g0:1")
	g := f.start("g0")
	is.True(!g.recall())
	is.Equal(g.spend(), 0)
}

// Guards against records that are kept by agents which have ended: gateways that name such
// an agent to each other would never forget it.
func TestEndedAgentIsForgotten(t *testing.T) {
	is := is.New(t)
	f := newRetryFleet(2, 0)
	a, b := f.gateways["g0:1"], f.gateways["g1:1"]
	a.HearAgent("agent:1")
	for range 10 {
		b.HandleHello(&Hello{Agents: a.HeardAgents()})
		a.HandleHello(&Hello{Agents: b.HeardAgents()})
		is.True(a.age > agentLifetime || len(b.chosenAgents(1)) == 1)
		a.age += time.Second
		b.age += time.Second
	}
	b.age += agentLifetime
	is.Equal(len(a.chosenAgents(1))+len(b.chosenAgents(1)), 0)
}

// Guards against a hold that begins anew with every restart, so that a gateway which is often
// restarted never sends a retry again.
func TestRestartDoesNotProlongHold(t *testing.T) {
	is := is.New(t)
	f := newRetryFleet(3, 2)
	g := f.gateways["g0:1"]
	held := g.budgets.HeldFor()
	g.Recall()
	g.age = recallLimit
	is.True(g.Recall())
	g.Announce()
	time.Sleep(20 * time.Millisecond)
	g = f.start("g0")
	is.True(g.recall())
	is.True(g.budgets.HeldFor() < held)
	is.Equal(g.spend(), 0)
}

// Guards against a gateway that takes the whole fixed number of retries because it has not
// heard any other gateway, or because the others are silent for a moment.
func TestSilentGatewaysKeepTheirPart(t *testing.T) {
	is := is.New(t)
	v := newTestMembers(peer("a", 1, 1), "seed:1")
	x := NewRetryExchange(func() Peer { return peer("a", 1, 1) }, v.Members, retry.NewServiceBudgets(0.2, 10*time.Second), func(string, Message) {})
	_, known := x.Sharers()
	is.True(!known)
	v.HandleHello(&Hello{From: peer("b", 2, 1)})
	v.now = v.now.Add(2 * lostAfter)
	v.Tick()
	n, known := x.Sharers()
	is.True(known)
	is.Equal(n, 2)
	is.Equal(len(v.Alive()), 1)
}
