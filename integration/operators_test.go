package integration

import (
	"context"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
)

// Guards against a timeline that does not show one request across processes in
// causal order, and against a status that omits a process.
func TestOperatorCommands(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	fleet, err := harness.Start(ctx, docsFleet())
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	id := completeOnce(ctx, t, fleet)
	status := command(ctx, t, fleet, "status")
	for _, name := range []string{"entry-1", "entry-2", "agent-1", "agent-2"} {
		if !strings.Contains(status, name) {
			t.Errorf("status omits %s:\n%s", name, status)
		}
	}
	timeline := command(ctx, t, fleet, "timeline", "--request", id)
	last := -1
	for _, event := range []string{"request.received", "request.routed", "request.accepted", "request.begun", "request.completed"} {
		at := strings.Index(timeline, event)
		if at <= last {
			t.Errorf("%s is missing or too early in the timeline:\n%s", event, timeline)
		}
		last = at
	}
	t.Logf("status:\n%stimeline:\n%s", status, timeline)
	proved(t, "timeline", "lines", strings.Count(timeline, "\n"))
}

// completeOnce sends one completion and returns its request identifier.
func completeOnce(ctx context.Context, t *testing.T, fleet *harness.Fleet) string {
	t.Helper()
	body := strings.NewReader(`{"model": "assist", "prompt": "hello", "max_tokens": 3}`)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fleet.Entries[0].Settings.CallerAddress+"/v1/completions", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer docs-account-key")
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("completion: %s", response.Status)
	}
	return response.Header.Get("Request-Id")
}

// command runs an operator command against all processes of the fleet.
func command(ctx context.Context, t *testing.T, fleet *harness.Fleet, name string, args ...string) string {
	t.Helper()
	args = append([]string{name, "--key-file", fleet.Entries[0].Settings.Keys.Admin}, args...)
	for _, e := range fleet.Entries {
		args = append(args, "--admin", "http://"+e.Settings.AdminAddress)
	}
	for _, a := range fleet.Agents {
		args = append(args, "--admin", "http://"+a.Settings.AdminAddress)
	}
	out, err := exec.CommandContext(ctx, *binaries+"/coltsfootbay", args...).CombinedOutput()
	if err != nil {
		t.Fatalf("%s: %v\n%s", name, err, out)
	}
	return string(out)
}
