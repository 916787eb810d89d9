package wire

import "github.com/coltsfootbay/coltsfootbay/internal/fleet"

// EngineState is what a model engine holds.
type EngineState struct {
	Model    string   `cbor:"1,keyasint,omitempty" json:"model"`
	Version  string   `cbor:"2,keyasint,omitempty" json:"version"`
	Role     string   `cbor:"3,keyasint,omitempty" json:"role"`
	Adapters []string `cbor:"4,keyasint,omitempty" json:"adapters"`
}

// LeaseClaim asks an agent for the right to send orders to its engine. It is
// the second message on a request stream; the agent answers with Lease.
type LeaseClaim struct {
	Controller fleet.ProcessID `cbor:"1,keyasint"`
	Start      fleet.StartID   `cbor:"2,keyasint"`
	// Fence is the number of a lease that the controller holds and renews, or
	// zero.
	Fence uint64 `cbor:"3,keyasint,omitempty"`
	// Release gives the lease with this fence back.
	Release bool `cbor:"4,keyasint,omitempty"`
}

// Lease answers a LeaseClaim.
type Lease struct {
	Granted bool `cbor:"1,keyasint"`
	// Fence is the lease's number, above all numbers that the agent and its
	// engine had seen.
	Fence uint64 `cbor:"2,keyasint,omitempty"`
	// Remaining is the number of milliseconds until the lease expires or, if it
	// is not granted, until another claim can succeed.
	Remaining int64  `cbor:"3,keyasint,omitempty"`
	Reason    string `cbor:"4,keyasint,omitempty"`
	// Engine is what the engine held when the lease was granted.
	Engine EngineState `cbor:"5,keyasint"`
}

// OrderRequest asks an agent to send an order to its engine. It is the second
// message on a request stream; the agent answers with OrderResult when the
// order's effect is settled.
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
	// Fence is the number that the order carried to the engine, or zero if it
	// was not sent.
	Fence  uint64 `cbor:"2,keyasint,omitempty"`
	Reason string `cbor:"3,keyasint,omitempty"`
}
