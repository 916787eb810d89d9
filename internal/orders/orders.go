// Package orders brings model engines to the state that the documents specify. The
// Arbiter runs in the agent in front of an engine and decides which controller may send
// orders to it. The Controller runs in every entry VM and sends orders until the engine
// matches the documents. Orders are not stored: after any failure the documents are
// compared with the engine again.
package orders

import (
	"slices"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Kinds of order, as named in the engines' API.
const (
	KindLoadModel   = "load_model"
	KindLoadVersion = "load_version"
	KindLoadAdapter = "load_adapter"
	KindSetRole     = "set_role"
)

// Reasons for refusing a claim or an order.
const (
	ReasonWaiting     = "agent_waits_out_a_lease"
	ReasonHeld        = "lease_held"
	ReasonLeaving     = "agent_leaving"
	ReasonNoLease     = "no_lease"
	ReasonNotWanted   = "not_in_documents"
	ReasonOutstanding = "order_outstanding"
	ReasonUnsettled   = "former_order_unsettled"
	ReasonUnreachable = "engine_unreachable"
	ReasonUnanswered  = "engine_did_not_answer"
	ReasonEngine      = "engine_refused"
)

// Order is one order to an engine. Fence is the number of the order: the numbers of one
// engine's orders and leases are unique and increase.
type Order struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	Name  string `json:"name"`
}

// States of an order, as reported by an engine.
const (
	StatePending = "pending"
	StateDone    = "done"
	StateRefused = "refused"
)

// Status is an engine's response to an order and to GET /v1/orders, which returns the
// order that arrived last.
type Status struct {
	Order
	State        string `json:"state"`
	HighestFence uint64 `json:"highest_fence"`
}

// IsDesired reports whether a document specifies what an order would load or set. The
// agent checks this against its own documents, so an entry VM with older documents
// cannot revert an engine.
func IsDesired(want dynamic.Engine, o Order) bool {
	switch o.Kind {
	case KindLoadModel:
		return o.Name == want.Model
	case KindLoadVersion:
		return o.Name == want.Version
	case KindLoadAdapter:
		return slices.Contains(want.Adapters, o.Name)
	case KindSetRole:
		return o.Name == want.Role
	}
	return false
}

// Next returns the first order that brings an engine closer to the state that a
// document specifies, or false if they match. The model comes first because versions
// and adapters belong to it. There is no order to unload an adapter, so additional
// adapters are not a mismatch.
func Next(want dynamic.Engine, have wire.EngineState) (Order, bool) {
	switch {
	case want.Model != "" && want.Model != have.Model:
		return Order{Kind: KindLoadModel, Name: want.Model}, true
	case want.Version != "" && want.Version != have.Version:
		return Order{Kind: KindLoadVersion, Name: want.Version}, true
	}
	for _, adapter := range want.Adapters {
		if !slices.Contains(have.Adapters, adapter) {
			return Order{Kind: KindLoadAdapter, Name: adapter}, true
		}
	}
	if want.Role != "" && want.Role != have.Role {
		return Order{Kind: KindSetRole, Name: want.Role}, true
	}
	return Order{}, false
}
