package rankagent

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/outbound"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

// Paths of an agent.
const (
	pathReport  = "/v1/report"
	pathMaps    = "/v1/maps"
	pathPrepare = "/v1/prepare"
	pathClaim   = "/v1/claim"
)

const (
	// maxCallBytes limits the body of a call: a map of 58 layers with 6 experts on each
	// of 1,100 ranks has about 1.2 MB.
	maxCallBytes = 2 << 20
	// callReadTimeout limits the time to read a call: a map of a large group takes 2 s over the
	// link of a rank's machine, and preparing it less than 5 s.
	callReadTimeout = 10 * time.Second
	// callTimeout limits calls that only read state.
	callTimeout = 500 * time.Millisecond
)

// Result is an agent's response to a call that changes something.
type Result struct {
	Outcome Outcome `cbor:"1,keyasint"`
	Error   string  `cbor:"2,keyasint,omitempty"`
}

// PrepareCall asks an agent to prepare the map of an order.
type PrepareCall struct {
	Order
	// Holder identifies this start of the controller. The call is refused while another
	// one has the claim.
	Holder string `cbor:"6,keyasint,omitempty"`
}

// Client calls the agent of a rank.
type Client struct{ address string }

// agentClient is shared because all clients then use one connection pool.
var agentClient = outbound.NewClient(&http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 15 * time.Second})

// NewClient returns a client for the agent at an address.
func NewClient(address string) *Client { return &Client{address: address} }

// Report returns the engine's state.
func (c *Client) Report(ctx context.Context) (peers.Report, error) {
	var r peers.Report
	return r, c.call(ctx, callTimeout, pathReport, nil, &r)
}

// Maps returns the rank's experts.
func (c *Client) Maps(ctx context.Context) (Maps, error) {
	var m Maps
	return m, c.call(ctx, callTimeout, pathMaps, nil, &m)
}

// Claim implements ClaimingReporter.
func (c *Client) Claim(ctx context.Context, holder string) (peers.Report, error) {
	var r ClaimResult
	if err := c.call(ctx, callTimeout, pathClaim, &Claim{Holder: holder}, &r); err != nil {
		return peers.Report{}, err
	}
	if !r.Granted {
		return peers.Report{}, fmt.Errorf("%w: %s", errClaimed, r.Holder)
	}
	return r.Report, nil
}

// Prepare makes the agent prepare a map for a holder, and returns when it is ready.
func (c *Client) Prepare(ctx context.Context, holder string, o Order) error {
	var r Result
	if err := c.call(ctx, prepareTimeout+callTimeout, pathPrepare, &PrepareCall{Holder: holder, Order: o}, &r); err != nil {
		return err
	}
	if r.Outcome == Done {
		return nil
	}
	return fmt.Errorf("prepare %s: %s", r.Outcome, r.Error)
}

func (c *Client) call(ctx context.Context, timeout time.Duration, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := agentClient.Do(req)
	if err != nil {
		return err
	}
	answer, err := outbound.ReadAll(resp, maxCallBytes)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the agent answered with status %d: %.200s", resp.StatusCode, answer)
	}
	return cbor.Unmarshal(answer, out)
}
