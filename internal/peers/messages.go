package peers

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/retry"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Message is the content of one datagram between processes.
type Message interface{ kind() byte }

// Kinds of datagram.
const (
	kindHello byte = iota + 1
	kindControllerQuery
	kindControllerReply
	kindReport
	kindExpertCounts
	kindGroup
	kindSuspicions
	kindTrialRequest
	kindTrialReply
	kindTrialEnd
	kindRetryRecord
	kindRetryQuery
)

// Peer describes a gateway to other gateways.
type Peer struct {
	Name  string        `cbor:"1,keyasint"`
	Start fleet.StartID `cbor:"2,keyasint"`
	// ControlAddress is the address for datagrams, and CallerAddress the one for
	// callers.
	ControlAddress string                 `cbor:"3,keyasint"`
	CallerAddress  string                 `cbor:"4,keyasint"`
	Zone           fleet.AvailabilityZone `cbor:"5,keyasint"`
	// Serving is true if the gateway accepts callers' requests.
	Serving bool `cbor:"6,keyasint"`
	// Stale is true if the gateway has been disconnected from the store for so long
	// that it cannot serve requests with keys.
	Stale bool `cbor:"8,keyasint,omitempty"`
	// StoreConnectedMS is how long the gateway has been connected to StoreHistory, a
	// history of the store, without interruption, in milliseconds; 0 if it is not
	// connected.
	StoreConnectedMS int64  `cbor:"9,keyasint,omitempty"`
	StoreHistory     string `cbor:"10,keyasint,omitempty"`
	// ConfigurationVersion is the version of the configuration that the gateway has in
	// force, 0 if it has none.
	ConfigurationVersion int64 `cbor:"11,keyasint,omitempty"`
	// Processor is the fraction of a processor core that the gateway may use.
	Processor float64 `cbor:"7,keyasint"`
}

// Hello is sent periodically between gateways.
type Hello struct {
	From Peer `cbor:"1,keyasint"`
	// Known holds the control addresses of some other gateways.
	Known []string `cbor:"2,keyasint,omitempty"`
	// Suspicions is the digest of the sender's suspicions; 0 if it has none.
	Suspicions uint64 `cbor:"3,keyasint,omitempty"`
	// Agents holds the addresses of some rank agents that the sender has heard itself.
	Agents []string `cbor:"4,keyasint,omitempty"`
	// RemembersMS is for how long the sender knows of the crashes of servers, in
	// milliseconds; see SuspicionExchange.Memory.
	RemembersMS int64 `cbor:"5,keyasint,omitempty"`
	// Sequence increases with each Hello of a start: datagrams may overtake each other.
	Sequence uint64 `cbor:"6,keyasint,omitempty"`
}

// RetryRecord says what a gateway has counted for the retry budget of one service. It is
// sent to the processes that keep it, and by these to the gateway's successor.
type RetryRecord struct {
	// Owner is the control address of the gateway, and Start its start.
	Owner string        `cbor:"1,keyasint"`
	Start fleet.StartID `cbor:"2,keyasint"`
	// Sequence increases with each record of a start.
	Sequence uint64 `cbor:"3,keyasint"`
	// AgeMS is how long ago the record was made, in milliseconds.
	AgeMS int64 `cbor:"4,keyasint,omitempty"`
	// HeldMS is for how long the gateway was not going to send retries, in milliseconds.
	HeldMS int64 `cbor:"5,keyasint,omitempty"`
	// Gateways is the number of gateways that shared the fixed number of retries.
	Gateways int `cbor:"6,keyasint,omitempty"`
	// Service is empty in a record that only shows that the gateway runs. Requests and
	// Retries are the counts by slice, the newest first.
	Service  string   `cbor:"7,keyasint,omitempty"`
	Requests []uint32 `cbor:"8,keyasint,omitempty"`
	Retries  []uint32 `cbor:"9,keyasint,omitempty"`
	// Keeper is true if the receiver is a keeper of the gateway's counts, which receives a
	// record before each retry. Others receive older counts.
	Keeper bool `cbor:"10,keyasint,omitempty"`
	// SilentMS is, in the reply to a RetryQuery, how long ago the sender last received any
	// record of the gateway, in milliseconds.
	SilentMS int64 `cbor:"11,keyasint,omitempty"`
}

// RetryQuery asks for the RetryRecords of a gateway. A gateway passes it on to the agents
// that keep records, which the sender may not know yet.
type RetryQuery struct {
	// Owner is the control address of that gateway, and From that of the sender.
	Owner string `cbor:"1,keyasint"`
	From  string `cbor:"2,keyasint"`
}

// Suspicions carries a part of a quarantine.Update.
type Suspicions struct {
	Suspicions []wire.Suspicion `cbor:"1,keyasint,omitempty"`
	Doubted    []uint64         `cbor:"2,keyasint,omitempty"`
	Proven     []uint64         `cbor:"3,keyasint,omitempty"`
}

// TrialRequest asks the coordinator of a service whether a request under suspicion may run.
type TrialRequest struct {
	// From is the control address of the sender.
	From string `cbor:"1,keyasint"`
	// ID identifies the trial.
	ID           uint64   `cbor:"2,keyasint"`
	Server       string   `cbor:"3,keyasint"`
	Fingerprints []uint64 `cbor:"4,keyasint"`
}

// TrialReply is the response to a TrialRequest.
type TrialReply struct {
	ID      uint64 `cbor:"1,keyasint"`
	Server  string `cbor:"2,keyasint"`
	Granted bool   `cbor:"3,keyasint,omitempty"`
}

// TrialEnd tells the coordinator that a trial has ended.
type TrialEnd struct {
	ID uint64 `cbor:"1,keyasint"`
}

// ControllerQuery is sent by an agent without a controller to ask a gateway for one.
type ControllerQuery struct {
	Name string `cbor:"1,keyasint"`
	// Address is where the agent receives datagrams.
	Address string `cbor:"2,keyasint"`
}

// ControllerReply is the response to a ControllerQuery.
type ControllerReply struct {
	// Controller is the control address of the gateway that controls the groups, and
	// Gateways holds the control addresses of other gateways.
	Controller string   `cbor:"1,keyasint"`
	Gateways   []string `cbor:"2,keyasint,omitempty"`
}

// Report is the state of one rank, as its agent read it from the engine.
type Report struct {
	// Agent is the address of the agent for datagrams and calls, and Engine the address
	// of the engine.
	Agent  string `cbor:"1,keyasint"`
	Engine string `cbor:"2,keyasint"`
	Group  string `cbor:"3,keyasint"`
	Epoch  int64  `cbor:"4,keyasint"`
	Rank   int    `cbor:"5,keyasint"`
	Size   int    `cbor:"6,keyasint"`
	// Accepting is true if the group accepts requests.
	Accepting bool `cbor:"7,keyasint"`
	// Step is the last forward pass that was started.
	Step    int64 `cbor:"8,keyasint"`
	Running int   `cbor:"9,keyasint"`
	Queued  int   `cbor:"10,keyasint"`
	// Map is the version of the expert map in use.
	Map int64 `cbor:"11,keyasint"`
	// Prepared is the version that is ready, Armed the version that is armed, and
	// HoldPass the forward pass before which the group is held. They are 0 if there is
	// none.
	Prepared int64 `cbor:"12,keyasint,omitempty"`
	Armed    int64 `cbor:"13,keyasint,omitempty"`
	HoldPass int64 `cbor:"14,keyasint,omitempty"`
	// Slowdown is above 1 if the rank is slow.
	Slowdown float64 `cbor:"15,keyasint"`
	// EngineStartMS is the start time of the engine in Unix milliseconds.
	EngineStartMS int64 `cbor:"16,keyasint"`
	// SwitchPendingMS is how long the agent has seen the rank armed or held, in
	// milliseconds.
	SwitchPendingMS int64 `cbor:"17,keyasint,omitempty"`
	// ClearPass is the last forward pass that a former controller may have held, in an
	// agent's answer to a claim; 0 if there is none.
	ClearPass int64 `cbor:"18,keyasint,omitempty"`
}

// ExpertCounts holds how often the requests of a rank chose experts since the agent's
// previous message, for a contiguous part of the experts of all layers.
type ExpertCounts struct {
	Group string `cbor:"1,keyasint"`
	Epoch int64  `cbor:"2,keyasint"`
	Rank  int    `cbor:"3,keyasint"`
	// Offset is the index of the first count, with the experts numbered layer by layer.
	Offset int `cbor:"4,keyasint"`
	// Counts has a byte for each expert, in units of Scale choices.
	Scale  uint32 `cbor:"5,keyasint"`
	Counts []byte `cbor:"6,keyasint"`
	// Last is true for the last message of a round.
	Last bool `cbor:"7,keyasint,omitempty"`
}

// Group is sent by the controller of a group to gateways and agents.
type Group struct {
	Controller string `cbor:"1,keyasint"`
	Group      string `cbor:"2,keyasint"`
	// Limit is the average number of requests that a rank may run at a time.
	Limit float64 `cbor:"3,keyasint"`
	// Ranks is set by Pack. It is empty in messages to agents.
	Ranks []byte `cbor:"4,keyasint,omitempty"`
	// PassMS is the measured duration of a forward pass in milliseconds.
	PassMS float64 `cbor:"5,keyasint"`
}

// RankLoad is the load of one rank.
type RankLoad struct {
	// Engine is the address of the rank's engine.
	Engine netip.AddrPort
	// Load is the number of requests that run or wait.
	Load int
	// Avoid is true if the rank is slow or has not reported recently, Evacuate if it is
	// so slow that the requests which run there should move to another server.
	Avoid, Evacuate bool
}

const (
	// rankBytes is the size of one rank in Group.Ranks: 4 bytes for the IPv4 address, 2
	// for the port and 1 for the load.
	rankBytes = 7
	// avoidBit and evacuateBit are the flags Avoid and Evacuate in the byte with the
	// load, which is 63 at most.
	avoidBit    = 0x80
	evacuateBit = 0x40
	// RanksPerMessage is the number of ranks that fit into a Group message.
	RanksPerMessage = 170
)

// Pack encodes ranks into the message. It omits engines without an IPv4 address.
func (g *Group) Pack(ranks []RankLoad) {
	g.Ranks = make([]byte, 0, rankBytes*len(ranks))
	for _, r := range ranks {
		if !r.Engine.Addr().Is4() {
			continue
		}
		address := r.Engine.Addr().As4()
		load := byte(min(r.Load, evacuateBit-1))
		if r.Avoid {
			load |= avoidBit
		}
		if r.Evacuate {
			load |= evacuateBit
		}
		g.Ranks = append(g.Ranks, address[:]...)
		g.Ranks = binary.BigEndian.AppendUint16(g.Ranks, r.Engine.Port())
		g.Ranks = append(g.Ranks, load)
	}
}

// Unpack decodes the ranks of the message.
func (g *Group) Unpack() []RankLoad {
	var out []RankLoad
	for b := g.Ranks; len(b) >= rankBytes; b = b[rankBytes:] {
		out = append(out, RankLoad{
			Engine:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:6])),
			Load:     int(b[6] &^ (avoidBit | evacuateBit)),
			Avoid:    b[6]&avoidBit != 0,
			Evacuate: b[6]&evacuateBit != 0,
		})
	}
	return out
}

func (*Hello) kind() byte           { return kindHello }
func (*ControllerQuery) kind() byte { return kindControllerQuery }
func (*ControllerReply) kind() byte { return kindControllerReply }
func (*Report) kind() byte          { return kindReport }
func (*ExpertCounts) kind() byte    { return kindExpertCounts }
func (*Group) kind() byte           { return kindGroup }
func (*Suspicions) kind() byte      { return kindSuspicions }
func (*TrialRequest) kind() byte    { return kindTrialRequest }
func (*TrialReply) kind() byte      { return kindTrialReply }
func (*TrialEnd) kind() byte        { return kindTrialEnd }
func (*RetryRecord) kind() byte     { return kindRetryRecord }
func (*RetryQuery) kind() byte      { return kindRetryQuery }

// maxRequests bounds the requests of a rank in a Report.
const maxRequests = 1 << 20

// Valid reports whether the numbers are within the bounds. An invalid size could make the
// receiver allocate or iterate without limit.
func (r *Report) Valid() bool {
	return r.Rank >= 0 && r.Rank < MaxRanks && r.Size >= 0 && r.Size <= MaxRanks && r.Epoch >= 0 && r.Slowdown >= 0 &&
		r.Map >= 0 && r.Prepared >= 0 && r.Armed >= 0 && r.HoldPass >= 0 &&
		r.Running >= 0 && r.Running <= maxRequests && r.Queued >= 0 && r.Queued <= maxRequests
}

// Valid reports whether the rank and the offset are within the bounds.
func (p *ExpertCounts) Valid() bool { return p.Rank >= 0 && p.Rank < MaxRanks && p.Offset >= 0 }

const (
	// maxSuspicions, maxFingerprints and maxNameBytes bound the content of messages about
	// suspicions, which receivers keep.
	maxSuspicions   = 64
	maxFingerprints = 64
	maxNameBytes    = 1024
)

// Valid reports whether the content is within the bounds.
func (m *Suspicions) Valid() bool {
	for _, s := range m.Suspicions {
		if len(s.Members) > maxFingerprints || len(s.Account) > maxNameBytes {
			return false
		}
		for _, c := range s.Crashes {
			if len(c.Agent) > maxNameBytes || len(c.ServerStart) > maxNameBytes {
				return false
			}
		}
	}
	return len(m.Suspicions) <= maxSuspicions && len(m.Doubted) <= maxFingerprints && len(m.Proven) <= maxFingerprints
}

// Valid reports whether the content is within the bounds.
func (m *TrialRequest) Valid() bool {
	return len(m.Fingerprints) <= maxFingerprints && len(m.Server) <= maxNameBytes
}

// maxSliceCount bounds the count of one slice, and maxHeldMS the times of a RetryRecord.
const (
	maxSliceCount = 1 << 24
	maxHeldMS     = int64(time.Hour / time.Millisecond)
)

// Valid reports whether the content is within the bounds.
func (m *RetryRecord) Valid() bool {
	for _, counts := range [][]uint32{m.Requests, m.Retries} {
		if len(counts) > retry.HistorySlices {
			return false
		}
		for _, n := range counts {
			if n > maxSliceCount {
				return false
			}
		}
	}
	return len(m.Owner) <= maxNameBytes && len(m.Service) <= maxNameBytes && m.AgeMS >= 0 && m.AgeMS <= maxHeldMS &&
		m.HeldMS >= 0 && m.HeldMS <= maxHeldMS && m.SilentMS >= 0 && m.SilentMS <= maxHeldMS && m.Gateways >= 0 && m.Gateways <= MaxRanks
}

// MaxRanks limits the ranks of a group; the largest group in use has 72.
const MaxRanks = 4096

func newMessage(kind byte) Message {
	switch kind {
	case kindHello:
		return &Hello{}
	case kindControllerQuery:
		return &ControllerQuery{}
	case kindControllerReply:
		return &ControllerReply{}
	case kindReport:
		return &Report{}
	case kindExpertCounts:
		return &ExpertCounts{}
	case kindGroup:
		return &Group{}
	case kindSuspicions:
		return &Suspicions{}
	case kindTrialRequest:
		return &TrialRequest{}
	case kindTrialReply:
		return &TrialReply{}
	case kindTrialEnd:
		return &TrialEnd{}
	case kindRetryRecord:
		return &RetryRecord{}
	case kindRetryQuery:
		return &RetryQuery{}
	}
	return nil
}
