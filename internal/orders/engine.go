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

// maxAnswerBytes limits the size of an engine's response, in bytes.
const maxAnswerBytes = 1 << 20

// HTTPEngine is an Engine that uses the HTTP API of a model engine.
type HTTPEngine struct {
	URL string
	// Get is used to read status and state; it must have a timeout.
	Get *http.Client
	// Client returns a client that sends one order on a separate connection and calls
	// begin immediately before the first byte is written.
	Client func(begin func() error) *http.Client
}

// Send implements Engine. It returns an error for a response without a final state,
// which does not show whether the order took effect.
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
	code, err := doJSON(e.Client(begin), request, &status)
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
	code, err := doJSON(e.Get, request, into)
	if err == nil && code != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", path, code)
	}
	return err
}

// doJSON sends a request, decodes the JSON response and returns the status code.
func doJSON(client *http.Client, request *http.Request, into any) (int, error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(into)
}
