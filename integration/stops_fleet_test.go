package integration

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
)

const (
	stopsModel   = "chat"
	stopsService = "records"
	stopsAccount = "clinic"
	// stopsLifetime is the lifetime of addresses and tickets. It is short to keep
	// the stops short; the defaults are 10 s for addresses and 60 s for tickets.
	stopsLifetime = time.Second
	// stopTimeout bounds one planned stop in these tests.
	stopTimeout = 30 * time.Second
)

// stopsOptions describes a fleet with short lifetimes.
func stopsOptions(entries, engines, services int) harness.Options {
	o := harness.Options{
		Bin:     *binaries,
		Zones:   []string{"zone-1", "zone-2", "zone-3"},
		Entries: entries,
		Models:  []harness.ModelSpec{{Name: stopsModel}},
		Services: []harness.ServiceSpec{{Name: stopsService, Rules: []dynamic.Rule{
			{Method: http.MethodPost, PathPrefix: "/filings"},
		}}},
		Templates: []harness.TemplateSpec{{
			Name: "routine", Rank: "middle", Share: 1, Models: []string{stopsModel}, Services: []string{stopsService},
			FirstToken: 10 * time.Second, BetweenTokens: time.Second, MaxAge: 10 * time.Second,
		}},
		Accounts: []harness.AccountSpec{{ID: stopsAccount, Key: "clinic-key", Template: "routine"}},
		EntrySettings: func(c *settings.EntryConfig) {
			c.AddressLifetime, c.TicketLifetime = tomlfile.Duration(stopsLifetime), tomlfile.Duration(stopsLifetime)
		},
		AgentSettings: func(c *settings.AgentConfig) { c.TicketLinger = tomlfile.Duration(stopsLifetime) },
	}
	for range engines {
		o.Agents = append(o.Agents, harness.AgentSpec{Kind: settings.KindModel, Backend: stopsModel})
	}
	for range services {
		o.Agents = append(o.Agents, harness.AgentSpec{Kind: settings.KindService, Backend: stopsService})
	}
	if services == 0 {
		o.Services, o.Templates[0].Services = nil, nil
	}
	return o
}

func startFleet(t *testing.T, o harness.Options) *harness.Fleet {
	t.Helper()
	f, err := harness.Start(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// wantNotReady waits until /readyz answers 503 and reports that the process is
// leaving, and returns how long that took.
func wantNotReady(t *testing.T, admin string) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < time.Second {
		status, body := readyz(admin)
		if status == http.StatusServiceUnavailable && strings.Contains(body, "leaving") {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	status, body := readyz(admin)
	t.Errorf("/readyz of a leaving process: status %d, body %q", status, body)
	return 0
}
