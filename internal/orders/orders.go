// Package orders brings model engines to the state that the documents ask for.
// The Arbiter runs in the agent in front of an engine and decides whose orders
// the engine gets; the Controller runs in every entry VM and sends orders until
// documents and engine match. No order is kept in memory: after any failure the
// documents are compared with the engine again.
package orders

import (
	"slices"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Kinds of order, as engines call them.
const (
	KindLoadModel   = "load_model"
	KindLoadVersion = "load_version"
	KindLoadAdapter = "load_adapter"
	KindSetRole     = "set_role"
)

// Reasons for a claim or an order that is refused.
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

// Order is one order to an engine. Fence is its own number: the numbers of one
// engine's orders and leases never repeat and only rise.
type Order struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	Name  string `json:"name"`
}

// States that an engine reports of an order.
const (
	StatePending = "pending"
	StateDone    = "done"
	StateRefused = "refused"
)

// Status is an engine's answer to an order and to GET /v1/orders, which shows
// the order that arrived last.
type Status struct {
	Order
	State        string `json:"state"`
	HighestFence uint64 `json:"highest_fence"`
}

// IsDesired reports whether a document asks for what an order brings. The agent
// checks its own documents, so that an entry VM with older ones cannot take an
// engine back.
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

// Next returns the first order that brings an engine closer to what a document
// asks for, or false if they match. The model comes first, because versions and
// adapters belong to it. There is no order to unload an adapter, so further
// adapters are no mismatch.
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
