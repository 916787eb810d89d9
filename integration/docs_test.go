package integration

import (
	"context"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

var example = regexp.MustCompile("(?s)```sh\n(.*?)```\n```text\n(.*?)```")

// Guards against examples on the page for callers that do not work: each one runs
// against a real fleet and must print the output that the page shows.
func TestCallersPageExamples(t *testing.T) {
	page, err := os.ReadFile("../docs/callers.md")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	fleet, err := harness.Start(ctx, docsFleet())
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	examples := example.FindAllStringSubmatch(string(page), -1)
	if len(examples) < 8 {
		t.Fatalf("found %d examples, want at least 8", len(examples))
	}
	for _, e := range examples {
		runExample(ctx, t, fleet, e[1], e[2])
	}
	proved(t, "callers_page", "examples", len(examples))
}

func docsFleet() harness.Options {
	return harness.Options{
		Bin: *binaries, Zones: []string{"zone-a", "zone-b"}, Entries: 2,
		Agents: []harness.AgentSpec{
			{Kind: settings.KindModel, Backend: "assist"},
			{Kind: settings.KindService, Backend: "records"},
		},
		Models:    []harness.ModelSpec{{Name: "assist"}},
		Services:  []harness.ServiceSpec{{Name: "records"}},
		Templates: []harness.TemplateSpec{{Name: "clerk", Rank: "middle", Share: 0.5, Models: []string{"assist"}, Services: []string{"records"}}},
		Accounts:  []harness.AccountSpec{{ID: "docs", Key: "docs-account-key", Template: "clerk"}},
	}
}

func runExample(ctx context.Context, t *testing.T, fleet *harness.Fleet, script, want string) {
	t.Helper()
	c := exec.CommandContext(ctx, "bash", "-euo", "pipefail", "-c", script)
	c.Env = append(os.Environ(), "ENTRY="+fleet.Entries[0].Settings.CallerAddress, "KEY=docs-account-key")
	out, err := c.CombinedOutput()
	if err != nil {
		t.Errorf("%v\n%s\n%s", err, script, out)
	}
	for _, line := range strings.Split(strings.TrimSpace(want), "\n") {
		if !strings.Contains(string(out), line) {
			t.Errorf("missing %q in the output of\n%s\n%s", line, script, out)
		}
	}
}
