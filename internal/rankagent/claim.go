package rankagent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

// claimLease is how long an agent keeps the claim of a controller. It is longer than
// SwitchLease, which begins earlier, by the time that an order is in transit: when the
// agents accept another controller, the former one has stopped sending orders.
const claimLease = SwitchLease + 100*time.Millisecond

// errClaimed is the error of a change of the map while another controller changes it.
var errClaimed = errors.New("another controller changes the map")

// Claim asks an agent for the right to change the map of its rank. The agent grants it to
// one controller at a time.
type Claim struct {
	// Holder identifies one start of a controller.
	Holder string `cbor:"1,keyasint"`
}

// ClaimResult is an agent's answer to a Claim.
type ClaimResult struct {
	Granted bool `cbor:"1,keyasint"`
	// Holder is the controller that has the claim; it is empty if the agent has just started
	// and does not know.
	Holder string `cbor:"2,keyasint,omitempty"`
	// Report is the state of the engine after the claim was granted.
	Report peers.Report `cbor:"3,keyasint"`
}

// ClaimingReporter is the agent of a rank, as a controller sees it.
type ClaimingReporter interface {
	Reporter
	// Claim asks for the right to change the map and returns the state of the engine. The
	// error is errClaimed if another controller has it.
	Claim(ctx context.Context, holder string) (peers.Report, error)
}

// claims holds the claim of an agent. It is safe for concurrent use.
type claims struct {
	mu     sync.Mutex
	holder string
	// until is when the claim ends by the monotonic clock. That clock may stand still while
	// the machine is suspended, which only prolongs the claim.
	until time.Time
	// newHolder is true until the rank's state was read after the claim passed to another
	// controller. clearPass is the last pass of clearEpoch that the former holder may have
	// held.
	newHolder             bool
	clearEpoch, clearPass int64
}

// newClaims returns the claims of an agent that starts: its former start may have granted
// one.
func newClaims() *claims { return &claims{until: time.Now().Add(claimLease)} }

// take grants the claim to a holder unless another one has it, and returns the holder.
func (c *claims) take(holder string) (granted bool, current string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Before(c.until) && c.holder != holder {
		return false, c.holder
	}
	c.newHolder = c.newHolder || c.holder != holder
	c.holder, c.until = holder, now.Add(claimLease)
	return true, holder
}

// addClearPass sets the ClearPass of a report that was read after a claim was granted. The
// lease of the former holder has ended: it held passes up to LaterPass after the last one
// that had begun.
func (c *claims) addClearPass(r *peers.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newHolder {
		c.newHolder, c.clearEpoch, c.clearPass = false, r.Epoch, r.Step+LaterPass
	}
	if c.clearEpoch == r.Epoch {
		r.ClearPass = c.clearPass
	}
}

// excludes reports whether another controller than the given one has the claim.
func (c *claims) excludes(holder string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.until) && c.holder != holder
}

// ClaimAll claims the right to change the map from the agents of all ranks and returns the
// states of the engines. It asks the first agent before the others, so that one of several
// controllers that claim at the same time succeeds. The error is errClaimed if another
// controller has a claim.
func ClaimAll(ctx context.Context, agents []ClaimingReporter, holder string) ([]peers.Report, error) {
	out := make([]peers.Report, len(agents))
	errs := make([]error, len(agents))
	claim := func(rank int) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		if out[rank], errs[rank] = agents[rank].Claim(ctx, holder); errs[rank] != nil {
			errs[rank] = fmt.Errorf("rank %d: %w", rank, errs[rank])
		}
	}
	if len(agents) > 0 {
		claim(0)
	}
	if err := errors.Join(errs...); errors.Is(err, errClaimed) {
		return nil, err
	}
	var calls sync.WaitGroup
	for rank := 1; rank < len(agents); rank++ {
		calls.Go(func() { claim(rank) })
	}
	calls.Wait()
	return out, errors.Join(errs...)
}

// claimedEngine is an engine that receives no orders while another controller than holder
// has the claim.
type claimedEngine struct {
	Engine
	claims *claims
	holder string
}

// Order implements Engine.
func (e claimedEngine) Order(ctx context.Context, o Order) (Outcome, error) {
	if e.claims.excludes(e.holder) {
		return Conflict, errClaimed
	}
	return e.Engine.Order(ctx, o)
}
