package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/standin"
)

// controlTimeout bounds one call to a control path or an administration API.
const controlTimeout = 5 * time.Second

var controlClient = &http.Client{Timeout: controlTimeout}

// Publish publishes a document on the platform and returns its revision.
func (f *Fleet) Publish(ctx context.Context, name, body string) (uint64, error) {
	var d standin.Document
	err := send(ctx, http.MethodPost, f.PlatformURL+"/control/documents", standin.Document{Name: name, Body: body}, &d)
	return revision(d, err)
}

// revision returns the revision of a written document as the processes number it.
func revision(d standin.Document, err error) (uint64, error) {
	if err != nil {
		return 0, err
	}
	return config.Revision(d.History, d.Revision)
}

// RestorePlatform restores the platform from a copy that was made age ago, and returns the
// last lost write of each document.
func (f *Fleet) RestorePlatform(ctx context.Context, age time.Duration) (lost []standin.Document, err error) {
	request := struct {
		AgeMS int64 `json:"age_ms"`
	}{age.Milliseconds()}
	return lost, send(ctx, http.MethodPost, f.PlatformURL+"/control/restore", request, &lost)
}

// Delete deletes a document on the platform and returns the tombstone's
// revision.
func (f *Fleet) Delete(ctx context.Context, name string) (uint64, error) {
	var d standin.Document
	err := send(ctx, http.MethodDelete, f.PlatformURL+"/control/documents/"+name, nil, &d)
	return revision(d, err)
}

// SetVMs replaces the platform's VM list.
func (f *Fleet) SetVMs(ctx context.Context, vms []standin.VM) error {
	return send(ctx, http.MethodPost, f.PlatformURL+"/control/vms", vms, nil)
}

// SetVMState sets the state of a VM: live, leaving, or gone to remove it.
func (f *Fleet) SetVMState(ctx context.Context, name, state string) error {
	return send(ctx, http.MethodPost, f.PlatformURL+"/control/vm-state", standin.VM{Name: name, State: state}, nil)
}

// SetPlatformMode sets how the platform responds. The delay applies to mode slow.
func (f *Fleet) SetPlatformMode(ctx context.Context, mode standin.PlatformMode, delay time.Duration) error {
	s := standin.PlatformSettings{Mode: mode, DelayMS: delay.Milliseconds()}
	return send(ctx, http.MethodPost, f.PlatformURL+"/control/mode", s, nil)
}

// SetVMLag sets the time after which a change of the VM list becomes visible.
func (f *Fleet) SetVMLag(ctx context.Context, lag time.Duration) error {
	return send(ctx, http.MethodPost, f.PlatformURL+"/control/vm-lag", milliseconds{lag.Milliseconds()}, nil)
}

// PlatformCalls returns the number of calls to the platform per path.
func (f *Fleet) PlatformCalls(ctx context.Context) (map[string]int, error) {
	var calls map[string]int
	err := getJSON(ctx, f.PlatformURL+"/control/calls", &calls)
	return calls, err
}

type milliseconds struct {
	MS int64 `json:"ms"`
}

// EngineCounts returns the counters of the stand-in engine since its last start.
func (a *Agent) EngineCounts(ctx context.Context) (standin.EngineCounts, error) {
	var counts standin.EngineCounts
	err := getJSON(ctx, a.BackendURL+"/control/counts", &counts)
	return counts, err
}

// ServiceCounts returns the counters of the stand-in service since its last
// start.
func (a *Agent) ServiceCounts(ctx context.Context) (standin.RunCounts, error) {
	var counts standin.RunCounts
	err := getJSON(ctx, a.BackendURL+"/control/counts", &counts)
	return counts, err
}

// Runs returns the number of runs begun per identifier over all starts of a
// stand-in service. The counts come from the service's journal.
func (a *Agent) Runs() (map[string]int, error) {
	runs := map[string]int{}
	data, err := os.ReadFile(a.journal)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		runs[strings.TrimSpace(line)]++
	}
	return runs, nil
}

// Runs returns the number of runs begun per identifier over all services.
func (f *Fleet) Runs() (map[string]int, error) {
	sum := map[string]int{}
	for _, a := range f.Agents {
		if a.journal == "" {
			continue
		}
		runs, err := a.Runs()
		if err != nil {
			return nil, err
		}
		for id, n := range runs {
			sum[id] += n
		}
	}
	return sum, nil
}

// Stall stalls some ranks of the stand-in engine's group or the whole stand-in;
// the zero value ends the stall.
func (a *Agent) Stall(ctx context.Context, s standin.StallSettings) error {
	return send(ctx, http.MethodPost, a.BackendURL+"/control/stall", s, nil)
}

// SetFault sets the fault of the agent's stand-in engine.
func (a *Agent) SetFault(ctx context.Context, fault standin.EngineFault) error {
	return send(ctx, http.MethodPost, a.BackendURL+"/control/fault", fault, nil)
}

// SetRunTime sets the duration of one call of a stand-in service.
func (a *Agent) SetRunTime(ctx context.Context, d time.Duration) error {
	return send(ctx, http.MethodPost, a.BackendURL+"/control/run-time", milliseconds{d.Milliseconds()}, nil)
}

// EngineOrders returns the orders to the stand-in engine in the sequence in which
// they took effect.
func (a *Agent) EngineOrders(ctx context.Context) ([]standin.Order, error) {
	var orders []standin.Order
	err := getJSON(ctx, a.BackendURL+"/control/orders", &orders)
	return orders, err
}

// SetOrderDelay sets the time between arrival and effect for subsequent orders.
func (a *Agent) SetOrderDelay(ctx context.Context, d time.Duration) error {
	return send(ctx, http.MethodPost, a.BackendURL+"/control/order-delay", milliseconds{d.Milliseconds()}, nil)
}

// Admin calls the administration API of a process with a path such as
// /admin/v1/status and decodes the JSON response into answer unless it is nil.
func (f *Fleet) Admin(ctx context.Context, method, adminAddress, path string, body, answer any) error {
	return sendWithKey(ctx, method, "http://"+adminAddress+path, f.AdminKey, body, answer)
}

func getJSON(ctx context.Context, url string, answer any) error {
	return send(ctx, http.MethodGet, url, nil, answer)
}

func send(ctx context.Context, method, url string, body, answer any) error {
	return sendWithKey(ctx, method, url, "", body, answer)
}

func sendWithKey(ctx context.Context, method, url, key string, body, answer any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := controlClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: status %d: %s", method, url, response.StatusCode, data)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(data, answer)
}
