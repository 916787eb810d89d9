package rankagent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

// Paths of an agent.
const (
	pathReport  = "/v1/report"
	pathMaps    = "/v1/maps"
	pathOrder   = "/v1/order"
	pathPrepare = "/v1/prepare"
	pathSwitch  = "/v1/switch"
)

const (
	// maxCallBytes bounds the body of a call: a map of 58 layers with 6 experts
	// on each of 1,100 ranks has about 1.2 MB.
	maxCallBytes = 2 << 20
	// callGrace is added to the lease of a switch, for the lead's last order.
	callGrace = 200 * time.Millisecond
	// callTimeout bounds the calls that change nothing that takes time.
	callTimeout = 500 * time.Millisecond
)

// SwitchCall asks an agent to lead a switch.
type SwitchCall struct {
	Epoch   int64 `cbor:"1,keyasint"`
	Version int64 `cbor:"2,keyasint"`
	// Lead is the rank of the agent, Agents the addresses of all by rank.
	Lead   int      `cbor:"3,keyasint"`
	Agents []string `cbor:"4,keyasint"`
}

// Result is an agent's answer to a call that changes something.
type Result struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Step is the pass of a switch.
	Step  int64  `cbor:"2,keyasint,omitempty"`
	Error string `cbor:"3,keyasint,omitempty"`
}

// Client calls the agent of a rank. It implements Engine, except for Picks.
type Client struct{ address string }

// agentClient is shared, so that calls to many agents keep one pool.
var agentClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 15 * time.Second}}

// NewClient returns a client of the agent at an address.
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

// Picks is not offered: agents send picks by themselves.
func (c *Client) Picks(context.Context) (Picks, error) {
	return Picks{}, errors.New("agents send the picks by themselves")
}

// Order has the agent send an order.
func (c *Client) Order(ctx context.Context, o Order) (Outcome, error) {
	return c.change(ctx, callTimeout, pathOrder, &o)
}

// Prepare has the agent prepare a map, and returns when it is ready.
func (c *Client) Prepare(ctx context.Context, o Order) error {
	outcome, err := c.change(ctx, prepareTimeout+callTimeout, pathPrepare, &o)
	if outcome == Done {
		return nil
	}
	return fmt.Errorf("prepare %s: %w", outcome, err)
}

// Switch has the agent lead a switch and returns the pass.
func (c *Client) Switch(ctx context.Context, s SwitchCall) (int64, error) {
	var r Result
	if err := c.call(ctx, SwitchLease+callGrace, pathSwitch, &s, &r); err != nil {
		return 0, err
	}
	return r.Step, r.err()
}

func (r Result) err() error {
	if r.Error == "" {
		return nil
	}
	return errors.New(r.Error)
}

func (c *Client) change(ctx context.Context, timeout time.Duration, path string, in any) (Outcome, error) {
	var r Result
	if err := c.call(ctx, timeout, path, in, &r); err != nil {
		return Unanswered, err
	}
	return r.Outcome, r.err()
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
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxCallBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the agent answered with status %d: %.200s", resp.StatusCode, answer)
	}
	return cbor.Unmarshal(answer, out)
}
