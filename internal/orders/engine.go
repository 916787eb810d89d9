package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// maxAnswerBytes bounds an engine's answers.
const maxAnswerBytes = 1 << 20

// HTTPEngine speaks an engine's protocol for orders.
type HTTPEngine struct {
	URL string
	// Get asks for status and state; it must have a timeout.
	Get *http.Client
	// Client returns a client for one order on a connection of its own, which
	// calls begin right before the first byte is written.
	Client func(begin func() error) *http.Client
}

// Send implements Engine. An answer without a state is an error, because it
// does not tell whether the order took effect.
func (e *HTTPEngine) Send(ctx context.Context, o Order, begin func() error) (Status, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return Status{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return Status{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	var status Status
	code, err := do(e.Client(begin), request, &status)
	if err != nil {
		return Status{}, err
	}
	if status.State != StateDone && status.State != StateRefused {
		return Status{}, fmt.Errorf("order %d: status %d with state %q", o.Fence, code, status.State)
	}
	return status, nil
}

// Status implements Engine.
func (e *HTTPEngine) Status(ctx context.Context) (Status, error) {
	var status Status
	err := e.get(ctx, "/v1/orders", &status)
	return status, err
}

// State implements Engine.
func (e *HTTPEngine) State(ctx context.Context) (wire.EngineState, error) {
	var state wire.EngineState
	err := e.get(ctx, "/health", &state)
	return state, err
}

func (e *HTTPEngine) get(ctx context.Context, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.URL+path, nil)
	if err != nil {
		return err
	}
	code, err := do(e.Get, request, into)
	if err == nil && code != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", path, code)
	}
	return err
}

func do(client *http.Client, request *http.Request, into any) (int, error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(into)
}
