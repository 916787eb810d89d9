package peers

import (
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
	// Control is the address for datagrams, Callers the one for callers.
	Control string                 `cbor:"3,keyasint"`
	Callers string                 `cbor:"4,keyasint"`
	Zone    fleet.AvailabilityZone `cbor:"5,keyasint"`
	// Serving tells that the gateway takes callers' requests.
	Serving bool `cbor:"6,keyasint"`
}

// Hello is what gateways tell each other regularly.
type Hello struct {
	From Peer `cbor:"1,keyasint"`
	// Known holds control addresses of some other gateways.
	Known []string `cbor:"2,keyasint,omitempty"`
}

// Ask is what an agent without a controller asks a gateway.
type Ask struct {
	Name string `cbor:"1,keyasint"`
	// Address is where the agent gets datagrams.
	Address string `cbor:"2,keyasint"`
}

// Welcome answers Ask.
type Welcome struct {
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
	// Open tells that the group takes requests.
	Open bool `cbor:"7,keyasint"`
	// Step is the last pass that was begun.
	Step    int64 `cbor:"8,keyasint"`
	Running int   `cbor:"9,keyasint"`
	Queued  int   `cbor:"10,keyasint"`
	// Map is the version of the expert map in use.
	Map int64 `cbor:"11,keyasint"`
	// Prepared, Armed and Held are 0 when there is none: the version that is
	// ready, the version that is armed, and the pass before which the group
	// stops.
	Prepared int64 `cbor:"12,keyasint,omitempty"`
	Armed    int64 `cbor:"13,keyasint,omitempty"`
	Held     int64 `cbor:"14,keyasint,omitempty"`
	// Pace is above 1 when the rank is slow.
	Pace float64 `cbor:"15,keyasint"`
	// Born is the Unix millisecond of the engine's start.
	Born int64 `cbor:"16,keyasint"`
}

// Picks tells how often the requests of a rank chose experts since the agent's
// former message, for a part of the experts of all layers.
type Picks struct {
	Group string `cbor:"1,keyasint"`
	Epoch int64  `cbor:"2,keyasint"`
	// Offset is the place of the first count, layer after layer.
	Offset int      `cbor:"3,keyasint"`
	Counts []uint32 `cbor:"4,keyasint"`
}

// RankLoad is the load of one rank.
type RankLoad struct {
	Engine string `cbor:"1,keyasint"`
	Load   int    `cbor:"2,keyasint"`
	// Avoid tells that the rank is slow or silent.
	Avoid bool `cbor:"3,keyasint,omitempty"`
}

// Group is what the controller tells gateways and agents about a group.
type Group struct {
	Controller string `cbor:"1,keyasint"`
	Group      string `cbor:"2,keyasint"`
	// Limit is the number of requests that a rank runs at a time.
	Limit int        `cbor:"3,keyasint"`
	Ranks []RankLoad `cbor:"4,keyasint,omitempty"`
	// PassMS is the measured time of a pass in milliseconds.
	PassMS float64 `cbor:"5,keyasint"`
}

func (*Hello) kind() byte   { return kindHello }
func (*Ask) kind() byte     { return kindAsk }
func (*Welcome) kind() byte { return kindWelcome }
func (*Report) kind() byte  { return kindReport }
func (*Picks) kind() byte   { return kindPicks }
func (*Group) kind() byte   { return kindGroup }

func newMessage(kind byte) Message {
	switch kind {
	case kindHello:
		return &Hello{}
	case kindAsk:
		return &Ask{}
	case kindWelcome:
		return &Welcome{}
	case kindReport:
		return &Report{}
	case kindPicks:
		return &Picks{}
	case kindGroup:
		return &Group{}
	}
	return nil
}
