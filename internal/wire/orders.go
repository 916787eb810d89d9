package wire

import "github.com/coltsfootbay/coltsfootbay/internal/fleet"

// EngineState is the state of a model engine: the loaded model and adapters,
// its version and its role.
type EngineState struct {
	Model    string   `cbor:"1,keyasint,omitempty" json:"model"`
	Version  string   `cbor:"2,keyasint,omitempty" json:"version"`
	Role     string   `cbor:"3,keyasint,omitempty" json:"role"`
	Adapters []string `cbor:"4,keyasint,omitempty" json:"adapters"`
}

// LeaseClaim requests the right to send orders to an agent's engine. It is the
// second message on a request stream. The agent answers with Lease.
type LeaseClaim struct {
	Controller fleet.ProcessID `cbor:"1,keyasint"`
	Start      fleet.StartID   `cbor:"2,keyasint"`
	// Fence is the number of the lease that the controller holds and renews or
	// releases. It is zero for a new lease.
	Fence uint64 `cbor:"3,keyasint,omitempty"`
	// Release returns the lease with this fence.
	Release bool `cbor:"4,keyasint,omitempty"`
}

// Lease answers a LeaseClaim.
type Lease struct {
	Granted bool `cbor:"1,keyasint"`
	// Fence is the number of the lease. It is higher than any number that the
	// agent and its engine have seen before.
	Fence uint64 `cbor:"2,keyasint,omitempty"`
	// Remaining is the time, in milliseconds, until the lease expires. If the
	// lease was not granted, it is the time until another claim can succeed.
	Remaining int64  `cbor:"3,keyasint,omitempty"`
	Reason    string `cbor:"4,keyasint,omitempty"`
	// Engine is the state of the engine when the lease was granted.
	Engine EngineState `cbor:"5,keyasint"`
}

// OrderRequest asks an agent to send an order to its engine. It is the second
// message on a request stream. The agent answers with OrderResult once the
// effect of the order is known.
type OrderRequest struct {
	Controller fleet.ProcessID `cbor:"1,keyasint"`
	Start      fleet.StartID   `cbor:"2,keyasint"`
	// Fence is the number of the controller's lease.
	Fence uint64 `cbor:"3,keyasint"`
	Kind  string `cbor:"4,keyasint"`
	Name  string `cbor:"5,keyasint"`
}

// OrderResult answers an OrderRequest.
type OrderResult struct {
	Done bool `cbor:"1,keyasint"`
	// Fence is the number that was sent to the engine with the order, or zero
	// if the order was not sent.
	Fence  uint64 `cbor:"2,keyasint,omitempty"`
	Reason string `cbor:"3,keyasint,omitempty"`
}
