package peers

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
)

// network connects exchanges in one process. Messages are encoded and decoded as datagrams.
type network struct {
	t         *testing.T
	exchanges map[string]*SuspicionExchange
	// cut holds the addresses that no message reaches.
	cut  map[string]bool
	sent int
}

type gatewayPeer struct {
	Peer
	registry *quarantine.Registry
	members  *testMembers
}

// newNetwork returns a network of gateways that know each other.
func newNetwork(t *testing.T, names ...string) (*network, map[string]*gatewayPeer) {
	n := &network{t: t, exchanges: map[string]*SuspicionExchange{}, cut: map[string]bool{}}
	gateways := map[string]*gatewayPeer{}
	for i, name := range names {
		self := peer(name, i+1, 1)
		g := &gatewayPeer{Peer: self, registry: quarantine.NewRegistry(), members: newTestMembers(self)}
		gateways[name] = g
		for j, other := range names {
			g.members.HandleHello(&Hello{From: peer(other, j+1, 1)})
		}
		n.exchanges[self.ControlAddress] = NewSuspicionExchange(self.ControlAddress, g.registry, g.members.Members, n.send, func() {})
	}
	return n, gateways
}

func (n *network) send(address string, m Message) error {
	data, err := encode(m)
	if err != nil {
		return err
	}
	n.sent++
	if n.cut[address] {
		return nil
	}
	m, err = decode(data)
	if err != nil {
		n.t.Error(err)
	}
	x := n.exchanges[address]
	switch m := m.(type) {
	case *Suspicions:
		x.HandleSuspicions(m)
	case *TrialRequest:
		x.HandleTrialRequest(m)
	case *TrialReply:
		x.HandleTrialReply(m)
	case *TrialEnd:
		x.HandleTrialEnd(m)
	}
	return nil
}

// hello delivers a Hello of one gateway to another.
func (n *network) hello(from, to *gatewayPeer) {
	x := n.exchanges[from.ControlAddress]
	n.exchanges[to.ControlAddress].HandleHello(&Hello{From: from.Peer, Suspicions: x.Digest(), RemembersMS: x.Memory().Milliseconds()})
}

func quarantined(g *gatewayPeer, fingerprint uint64) bool {
	state, _ := g.registry.Check([]uint64{fingerprint})
	return state == quarantine.Quarantined
}

// Guards against a gateway that takes what it knows for all that happened although all
// gateways have started together, and against one that does so after a restart of its own.
func TestGatewayKnowsForHowLongCrashesAreRemembered(t *testing.T) {
	is := is.New(t)
	n, g := newNetwork(t, "a", "b", "c")
	remembers := func(name string) bool { return n.exchanges[g[name].ControlAddress].Remembers() }
	n.hello(g["a"], g["b"])
	n.hello(g["b"], g["a"])
	is.True(!remembers("a") && !remembers("b"))
	n.exchanges[g["c"].ControlAddress].ExtendMemory(quarantine.SuspicionLifetime)
	is.True(remembers("c"))
	n.hello(g["a"], g["c"])
	is.True(remembers("c"))
	n.hello(g["c"], g["b"])
	n.hello(g["b"], g["a"])
	is.True(remembers("a") && remembers("b"))
}

// Guards against a gateway that does not know of a quarantine because it was cut off, lost
// a message or was started later, and against messages without end once all know it.
func TestGatewayThatMissedSuspicionsLearnsThemFromHello(t *testing.T) {
	is := is.New(t)
	n, g := newNetwork(t, "a", "b", "c")
	n.cut["c:1"] = true
	for _, b := range []quarantine.Blame{{Request: 7, Agent: "x"}, {Request: 7, Tried: []uint64{7}, Agent: "y"}} {
		n.exchanges["a:1"].Publish(g["a"].registry.AddBlame(b))
	}
	is.True(quarantined(g["b"], 7))
	is.True(!quarantined(g["c"], 7))
	n.cut["c:1"] = false
	n.hello(g["c"], g["b"])
	is.True(quarantined(g["c"], 7))
	before := n.sent
	n.hello(g["a"], g["c"])
	n.hello(g["c"], g["a"])
	is.Equal(n.sent, before)
}

// Guards against suspicions that do not fit into a datagram and are never sent.
func TestManySuspicionsAreSplit(t *testing.T) {
	is := is.New(t)
	n, g := newNetwork(t, "a", "b")
	long := make([]byte, 180)
	for i := range long {
		long[i] = 'x'
	}
	var fingerprints []uint64
	for f := range uint64(64) {
		fingerprints = append(fingerprints, f<<40)
	}
	n.exchanges["a:1"].Publish(g["a"].registry.AddBlame(quarantine.Blame{
		Request: 1, Properties: fingerprints, Agent: "x", ServerStart: string(long), Begun: true, Conclusive: true,
	}))
	is.Equal(len(g["b"].registry.List()), len(fingerprints)+2)
	is.Equal(g["a"].registry.Digest(), g["b"].registry.Digest())
}

// Guards against trials of one part at two gateways at the same time, and against trials
// without a coordinator that answers.
func TestOneGatewayCoordinatesTrials(t *testing.T) {
	is := is.New(t)
	n, g := newNetwork(t, "a", "b", "c")
	coordinator := g["a"].members.Coordinator("s").ControlAddress
	is.Equal(coordinator, g["b"].members.Coordinator("s").ControlAddress)
	begin := func(gateway string, t quarantine.Trial) bool {
		granted, _ := n.exchanges[gateway].BeginTrial(context.Background(), "s", t)
		return granted
	}
	trial := quarantine.Trial{ID: 1, Server: "x", Fingerprints: []uint64{1}}
	other := quarantine.Trial{ID: 2, Server: "y", Fingerprints: []uint64{1}}
	is.True(begin("a:1", trial))
	is.True(!begin("b:1", other))
	is.True(!begin("c:1", other))
	n.exchanges["a:1"].EndTrial("s", 1)
	is.True(begin("b:1", other))
	n.exchanges["b:1"].EndTrial("s", 2)
	n.cut[coordinator] = true
	for address, x := range n.exchanges {
		granted, decided := x.BeginTrial(context.Background(), "s", trial)
		is.Equal(granted, address == coordinator)
		is.Equal(decided, address == coordinator)
	}
}
