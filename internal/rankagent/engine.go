// Package rankagent implements the agent that runs beside the engine of one rank. The
// agent reads the engine's state, which can be read at no cost only on the engine's own
// machine, reports it to the controller, and prepares expert maps. The package also
// implements the protocol that switches a group to a new map.
package rankagent

import (
	"context"

	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

// ExpertCounts holds how often an engine's requests chose each expert.
type ExpertCounts struct {
	Epoch int64
	// Counts holds the number of choices of each expert since the engine started, layer
	// by layer.
	Counts []uint64
}

// Maps holds a rank's experts by layer.
type Maps struct {
	Epoch int64   `cbor:"1,keyasint"`
	Map   RankMap `cbor:"2,keyasint"`
	// Prepared is nil if no version is prepared.
	Prepared *RankMap `cbor:"3,keyasint,omitempty"`
}

// RankMap is one version of a rank's experts.
type RankMap struct {
	Version int64 `cbor:"1,keyasint"`
	// Experts holds the expert numbers by layer.
	Experts [][]int `cbor:"2,keyasint"`
}

// Operation is the kind of an order.
type Operation uint8

// Operations of an order.
const (
	// Prepare copies the experts of a version that the rank lacks.
	Prepare Operation = iota + 1
	// Arm makes the rank use a prepared version from a forward pass on.
	Arm
	// Disarm cancels Arm.
	Disarm
	// Hold keeps the group from starting a forward pass.
	Hold
	// Release ends Hold.
	Release
)

// String returns the name used in logs.
func (o Operation) String() string {
	return [...]string{"none", "prepare", "arm", "disarm", "hold", "go"}[min(o, Release)]
}

// Order is an order to an engine, which carries it out only in Epoch. Step is the
// forward pass that Arm, Hold and Release refer to.
type Order struct {
	Operation Operation `cbor:"1,keyasint"`
	Epoch     int64     `cbor:"2,keyasint"`
	Version   int64     `cbor:"3,keyasint,omitempty"`
	Step      int64     `cbor:"4,keyasint,omitempty"`
	// Map holds, for Prepare, the experts by layer and rank.
	Map [][][]int `cbor:"5,keyasint,omitempty"`
}

// Outcome is an engine's response to an order.
type Outcome uint8

// Outcomes of an order. An order without a response may still be carried out
// seconds later.
const (
	// Unanswered means that no response arrived.
	Unanswered Outcome = iota
	// Begun means that the engine is carrying the order out.
	Begun
	// Done means that the ordered state holds.
	Done
	// Conflict means that the order does not fit the engine's state.
	Conflict
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"unanswered", "begun", "done", "conflict"}[min(o, Conflict)]
}

// Reporter returns the state of a rank.
type Reporter interface {
	// Report returns the engine's state. Only the fields that describe the engine are
	// set.
	Report(ctx context.Context) (peers.Report, error)
}

// Engine is the engine of a rank.
type Engine interface {
	Reporter
	// ExpertCounts returns the expert counts since the engine started.
	ExpertCounts(ctx context.Context) (ExpertCounts, error)
	// Maps returns the rank's experts.
	Maps(ctx context.Context) (Maps, error)
	// Order sends an order. The error says why the outcome is Unanswered or
	// Conflict.
	Order(ctx context.Context, o Order) (Outcome, error)
}
