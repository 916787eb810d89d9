package peers

import (
	"encoding/binary"
	"net/netip"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// Message is one datagram between processes.
type Message interface{ kind() byte }

// Kinds of datagram.
const (
	kindHello byte = iota + 1
	kindAsk
	kindWelcome
	kindReport
	kindPicks
	kindGroup
)

// Peer is a gateway as another one describes it.
type Peer struct {
	Name  string        `cbor:"1,keyasint"`
	Start fleet.StartID `cbor:"2,keyasint"`
	// ControlAddress is the address for datagrams, CallerAddress the one for callers.
	ControlAddress string                 `cbor:"3,keyasint"`
	CallerAddress  string                 `cbor:"4,keyasint"`
	Zone           fleet.AvailabilityZone `cbor:"5,keyasint"`
	// Serving tells that the gateway takes callers' requests.
	Serving bool `cbor:"6,keyasint"`
	// Stale tells that the gateway has had no contact to the store for so long that
	// it can't serve requests with keys.
	Stale bool `cbor:"8,keyasint,omitempty"`
	// StoreConnectedMS is for how long the store has answered the gateway without a
	// break, in milliseconds; 0 if it does not.
	StoreConnectedMS int64 `cbor:"9,keyasint,omitempty"`
	// Processor is the part of a processor core that the gateway may use.
	Processor float64 `cbor:"7,keyasint"`
}

// Hello is what gateways tell each other regularly.
type Hello struct {
	From Peer `cbor:"1,keyasint"`
	// Known holds control addresses of some other gateways.
	Known []string `cbor:"2,keyasint,omitempty"`
}

// ControllerQuery is what an agent without a controller asks a gateway.
type ControllerQuery struct {
	Name string `cbor:"1,keyasint"`
	// Address is where the agent gets datagrams.
	Address string `cbor:"2,keyasint"`
}

// ControllerReply answers ControllerQuery.
type ControllerReply struct {
	// Controller is the control address of the gateway that controls the
	// groups, Gateways are control addresses of others.
	Controller string   `cbor:"1,keyasint"`
	Gateways   []string `cbor:"2,keyasint,omitempty"`
}

// Report is the state of one rank, as its agent read it from the engine.
type Report struct {
	// Agent is the address for datagrams and calls, Engine the engine's.
	Agent  string `cbor:"1,keyasint"`
	Engine string `cbor:"2,keyasint"`
	Group  string `cbor:"3,keyasint"`
	Epoch  int64  `cbor:"4,keyasint"`
	Rank   int    `cbor:"5,keyasint"`
	Size   int    `cbor:"6,keyasint"`
	// Accepting tells that the group takes requests.
	Accepting bool `cbor:"7,keyasint"`
	// Step is the last pass that was begun.
	Step    int64 `cbor:"8,keyasint"`
	Running int   `cbor:"9,keyasint"`
	Queued  int   `cbor:"10,keyasint"`
	// Map is the version of the expert map in use.
	Map int64 `cbor:"11,keyasint"`
	// Prepared, Armed and HoldPass are 0 when there is none: the version that is
	// ready, the version that is armed, and the pass before which the group
	// stops.
	Prepared int64 `cbor:"12,keyasint,omitempty"`
	Armed    int64 `cbor:"13,keyasint,omitempty"`
	HoldPass int64 `cbor:"14,keyasint,omitempty"`
	// Slowdown is above 1 when the rank is slow.
	Slowdown float64 `cbor:"15,keyasint"`
	// EngineStartMS is the Unix millisecond of the engine's start.
	EngineStartMS int64 `cbor:"16,keyasint"`
	// SwitchPendingMS is how long the agent has seen the rank armed or held, in milliseconds.
	SwitchPendingMS int64 `cbor:"17,keyasint,omitempty"`
}

// ExpertCounts tells how often the requests of a rank chose experts since the agent's
// former message, for a part of the experts of all layers.
type ExpertCounts struct {
	Group string `cbor:"1,keyasint"`
	Epoch int64  `cbor:"2,keyasint"`
	Rank  int    `cbor:"3,keyasint"`
	// Offset is the place of the first count, layer after layer.
	Offset int `cbor:"4,keyasint"`
	// Counts has a byte for each expert, in units of Scale choices.
	Scale  uint32 `cbor:"5,keyasint"`
	Counts []byte `cbor:"6,keyasint"`
	// Last marks the last message of a round.
	Last bool `cbor:"7,keyasint,omitempty"`
}

// Group is what the controller tells gateways and agents about a group.
type Group struct {
	Controller string `cbor:"1,keyasint"`
	Group      string `cbor:"2,keyasint"`
	// Limit is the number of requests that the ranks run at a time on average.
	Limit float64 `cbor:"3,keyasint"`
	// Ranks is filled by Pack; it is empty in messages to agents.
	Ranks []byte `cbor:"4,keyasint,omitempty"`
	// PassMS is the measured time of a pass in milliseconds.
	PassMS float64 `cbor:"5,keyasint"`
}

// RankLoad is the load of one rank.
type RankLoad struct {
	// Engine is the address of the rank's engine.
	Engine netip.AddrPort
	// Load is the number of requests that run or wait.
	Load int
	// Avoid tells that the rank is slow or silent, Evacuate that it is so slow that the
	// requests which run there should go on elsewhere.
	Avoid, Evacuate bool
}

const (
	// rankBytes is the size of one rank in Group.Ranks: 4 bytes of IPv4 address, 2
	// of port and one with the load.
	rankBytes = 7
	// avoidBit and leaveBit mark ranks to be avoided or left, in the byte with the
	// load, which is 63 at most.
	avoidBit = 0x80
	leaveBit = 0x40
	// RanksPerMessage is the number of ranks that fit into a message.
	RanksPerMessage = 170
)

// Pack sets the ranks of a message. Engines without an IPv4 address are left
// out.
func (g *Group) Pack(ranks []RankLoad) {
	g.Ranks = make([]byte, 0, rankBytes*len(ranks))
	for _, r := range ranks {
		if !r.Engine.Addr().Is4() {
			continue
		}
		address := r.Engine.Addr().As4()
		load := byte(min(r.Load, leaveBit-1))
		if r.Avoid {
			load |= avoidBit
		}
		if r.Evacuate {
			load |= leaveBit
		}
		g.Ranks = append(g.Ranks, address[:]...)
		g.Ranks = binary.BigEndian.AppendUint16(g.Ranks, r.Engine.Port())
		g.Ranks = append(g.Ranks, load)
	}
}

// Unpack returns the ranks of a message.
func (g *Group) Unpack() []RankLoad {
	var out []RankLoad
	for b := g.Ranks; len(b) >= rankBytes; b = b[rankBytes:] {
		out = append(out, RankLoad{
			Engine:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:6])),
			Load:     int(b[6] &^ (avoidBit | leaveBit)),
			Avoid:    b[6]&avoidBit != 0,
			Evacuate: b[6]&leaveBit != 0,
		})
	}
	return out
}

func (*Hello) kind() byte           { return kindHello }
func (*ControllerQuery) kind() byte { return kindAsk }
func (*ControllerReply) kind() byte { return kindWelcome }
func (*Report) kind() byte          { return kindReport }
func (*ExpertCounts) kind() byte    { return kindPicks }
func (*Group) kind() byte           { return kindGroup }

// Valid reports whether a message can be true. A wrong size must not make its receiver
// allocate or count without end.
func (r *Report) Valid() bool {
	return r.Rank >= 0 && r.Rank < MaxRanks && r.Size >= 0 && r.Size <= MaxRanks
}

// Valid reports whether a message can be true.
func (p *ExpertCounts) Valid() bool { return p.Rank >= 0 && p.Rank < MaxRanks && p.Offset >= 0 }

// MaxRanks bounds the ranks of a group; the users' largest has 72.
const MaxRanks = 4096

func newMessage(kind byte) Message {
	switch kind {
	case kindHello:
		return &Hello{}
	case kindAsk:
		return &ControllerQuery{}
	case kindWelcome:
		return &ControllerReply{}
	case kindReport:
		return &Report{}
	case kindPicks:
		return &ExpertCounts{}
	case kindGroup:
		return &Group{}
	}
	return nil
}
