package peers

import (
	"errors"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

func peer(name string, start int, processor float64) Peer {
	return Peer{Name: name, Start: fleet.StartID(start), ControlAddress: name + ":1", CallerAddress: name + ":2", Serving: true, Processor: processor}
}

type testMembers struct {
	*Members
	now time.Time
}

func newTestMembers(self Peer, seeds ...string) *testMembers {
	v := &testMembers{now: time.Unix(1000, 0)}
	v.Members = NewMembers(func() Peer { return self }, seeds, events.NewRecorder("m", 1, io.Discard))
	v.Members.now = func() time.Time { return v.now }
	v.Members.started = v.now
	return v
}

// Guards against callers that are sent to a stopping gateway because one of its Hellos was
// overtaken by a later one, and against ignoring its next start.
func TestOvertakenHelloIsIgnored(t *testing.T) {
	is := is.New(t)
	m := newTestMembers(peer("a", 1, 1))
	hello := func(start int, serving bool, sequence uint64) {
		from := peer("b", 2, 1)
		from.Start, from.Serving = from.Start+fleet.StartID(start), serving
		m.HandleHello(&Hello{From: from, Sequence: sequence})
	}
	serving := func() bool {
		for _, p := range m.Alive() {
			if p.Name == "b" {
				return p.Serving
			}
		}
		return false
	}
	hello(0, true, 4)
	is.True(serving())
	hello(0, false, 6)
	hello(0, true, 5)
	is.True(!serving())
	hello(1, true, 1)
	is.True(serving())
}

// Guards against listing gateways that are lost as alive or leaving ones as serving,
// and against losing a gateway because of a single lost message.
func TestLostAndLeavingGateways(t *testing.T) {
	is := is.New(t)
	v := newTestMembers(peer("a", 1, 1))
	v.HandleHello(&Hello{From: peer("b", 2, 1)})
	v.now = v.now.Add(2 * HelloInterval)
	is.Equal(len(v.Alive()), 2)
	v.now = v.now.Add(lostAfter)
	is.Equal(len(v.Alive()), 1)
	leaving := peer("b", 2, 1)
	leaving.Serving = false
	v.HandleHello(&Hello{From: leaving})
	is.Equal(len(v.Alive()), 2)
	is.True(!v.Alive()[1].Serving)
}

// Guards against gateways that never discover each other: seeds may be outdated or
// down, and other gateways are learned from the messages of those that respond.
func TestGatewaysAreDiscovered(t *testing.T) {
	is := is.New(t)
	v := newTestMembers(peer("a", 1, 1), "seed:1", "a:1")
	to, _ := v.Tick()
	is.Equal(to, []string{"seed:1"})
	v.HandleHello(&Hello{From: peer("b", 2, 1), Known: []string{"c:1", "a:1"}})
	to, hello := v.Tick()
	is.Equal(len(to), 3) // seed, b and c
	is.Equal(hello.Known, []string{"b:1"})
}

// Guards against control that moves with every restart, or that stays with a small or
// leaving machine.
func TestController(t *testing.T) {
	is := is.New(t)
	v := newTestMembers(peer("a", 5, 0.4))
	v.HandleHello(&Hello{From: peer("b", 3, 0.4)})
	is.Equal(v.Controller().Name, "b")
	v.HandleHello(&Hello{From: peer("c", 9, 0.8)})
	is.Equal(v.Controller().Name, "c")
	leaving := peer("c", 9, 0.8)
	leaving.Serving = false
	v.HandleHello(&Hello{From: leaving})
	is.Equal(v.Controller().Name, "b")
	n, settled := v.Count()
	is.Equal(n, 3)
	is.True(!settled)
	v.now = v.now.Add(settleTime)
	_, settled = v.Count()
	is.True(settled)
}

// Guards against a group that stays held while the list of gateways still names a
// controller that froze: a controller that has stopped sending messages about its
// groups is excluded before it counts as lost, and is the controller again when it
// sends such a message.
func TestSilentControllerIsExcluded(t *testing.T) {
	is := is.New(t)
	v := newTestMembers(peer("b", 3, 0.4))
	v.HandleHello(&Hello{From: peer("a", 1, 0.4)})
	v.now = v.now.Add(2 * HelloInterval)
	is.Equal(v.Controller().Name, "a") // it has not sent a message about a group yet
	v.RecordController("a:1")
	v.now = v.now.Add(controllerLostAfter)
	is.Equal(v.Controller().Name, "a")
	v.now = v.now.Add(50 * time.Millisecond)
	is.Equal(v.Controller().Name, "b")
	is.Equal(len(v.Alive()), 2) // callers may still use it
	v.RecordController("a:1")
	is.Equal(v.Controller().Name, "a")
}

// Guards against messages that are decoded differently from what was encoded, and
// against malformed datagrams that are accepted.
func TestMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	g := &Group{Controller: "a:1", Group: "g", Limit: 7}
	ranks := []RankLoad{
		{Engine: netip.MustParseAddrPort("192.0.2.1:80"), Load: 300, Avoid: true, Evacuate: true},
		{Engine: netip.MustParseAddrPort("192.0.2.2:81"), Load: 4},
	}
	g.Pack(append(ranks, RankLoad{}))
	data, err := encode(g)
	is.NoErr(err)
	m, err := decode(data)
	is.NoErr(err)
	got := m.(*Group).Unpack()
	is.Equal(len(got), 2)
	is.Equal(got[0], RankLoad{Engine: ranks[0].Engine, Load: evacuateBit - 1, Avoid: true, Evacuate: true})
	is.Equal(got[1], ranks[1])
	for _, broken := range [][]byte{nil, {0}, {99, 1}, {kindHello, 0xff}} {
		_, err := decode(broken)
		is.True(err != nil)
	}
	full := &Group{}
	full.Pack(fullMessage(t))
	_, err = encode(full)
	is.NoErr(err)
	_, err = encode(&ExpertCounts{Counts: make([]byte, 2000)})
	is.True(errors.Is(err, ErrTooLong))
}

func fullMessage(t *testing.T) []RankLoad {
	t.Helper()
	out := make([]RankLoad, RanksPerMessage)
	for i := range out {
		out[i].Engine = netip.MustParseAddrPort("192.0.2.1:80")
	}
	return out
}

// Guards against a single datagram that stops the process: sizes that make its receiver
// allocate or iterate without limit, and a receiver that panics.
func TestMalformedDatagramsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, m := range []Message{
		&Report{Group: "g", Rank: -1}, &Report{Group: "g", Size: 1 << 40}, &Report{Group: "g", Rank: 1 << 40},
		&ExpertCounts{Group: "g", Rank: 1 << 40}, &ExpertCounts{Group: "g", Offset: -1},
	} {
		data, err := encode(m)
		is.NoErr(err)
		_, err = decode(data)
		is.True(err != nil)
	}
	data, err := encode(&Report{Group: "g", Rank: 71, Size: 72})
	is.NoErr(err)
	_, err = decode(data)
	is.NoErr(err)
	is.True(handleMessage(func(Message) { panic("not prepared") }, &ControllerQuery{}) != nil)
	is.NoErr(handleMessage(func(Message) {}, &ControllerQuery{}))
}

// Guards against datagrams that crash the decoder, or whose decoded ranks crash Unpack.
func FuzzDatagram(f *testing.F) {
	for _, m := range []Message{&Hello{}, &ControllerQuery{}, &ControllerReply{}, &Report{Size: 3}, &ExpertCounts{Counts: []byte{1}}, &Group{Ranks: make([]byte, rankBytes)}} {
		data, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decode(data)
		if err != nil {
			return
		}
		if g, ok := m.(*Group); ok {
			g.Unpack()
		}
	})
}

// Guards against counting the store connection of a gateway that has fallen silent: it
// proves nothing about the store since then.
func TestStoreConnectionsOfSilentGatewaysAreIgnored(t *testing.T) {
	is := is.New(t)
	v := newTestMembers(peer("a", 1, 1))
	is.Equal(v.LongestStoreConnection("h"), time.Duration(0))
	for name, connected := range map[string]time.Duration{"b": 5 * time.Second, "c": 0} {
		other := peer(name, 2, 1)
		other.StoreConnectedMS, other.StoreHistory = connected.Milliseconds(), "h"
		v.HandleHello(&Hello{From: other})
	}
	is.Equal(v.LongestStoreConnection("h"), 5*time.Second)
	is.Equal(v.LongestStoreConnection("later"), time.Duration(0)) // the store was restored since
	v.now = v.now.Add(lostAfter + time.Millisecond)
	is.Equal(v.LongestStoreConnection("h"), time.Duration(0))
}

// Guards against a gateway that starts with an older configuration than the others have in
// force because it does not know of them, and against one that waits for others for ever.
func TestStartingGatewayLearnsConfigurationOfOthers(t *testing.T) {
	is := is.New(t)
	v := newTestMembers(peer("a", 1, 1))
	v.SetSeeds([]string{"b"})
	_, known := v.HighestConfiguration()
	is.True(!known)
	other := peer("b", 2, 1)
	other.ConfigurationVersion = 9
	is.True(v.HandleHello(&Hello{From: other})) // answered at once
	is.True(!v.HandleHello(&Hello{From: other}))
	version, known := v.HighestConfiguration()
	is.True(known)
	is.Equal(version, int64(9))
	other.Start++
	is.True(v.HandleHello(&Hello{From: other}))
	v.now = v.now.Add(lostAfter + time.Millisecond)
	version, known = v.HighestConfiguration()
	is.True(known)
	is.Equal(version, int64(0)) // a silent gateway may have been replaced

	lonely := newTestMembers(peer("a", 1, 1))
	lonely.SetSeeds([]string{"b"})
	lonely.now = lonely.now.Add(firstHelloTimeout)
	_, known = lonely.HighestConfiguration()
	is.True(known)
}
