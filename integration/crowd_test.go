package integration

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

const (
	// crowdConnections is the limit of connections in the tests with crowds, and
	// crowdDescriptors that of the descriptors of each process.
	crowdConnections = 300
	crowdDescriptors = 600
	// crowdMemoryBytes is the memory of the machine: 32 MiB for requests, as much unread, and
	// 64 MiB for the rest of the process.
	crowdMemoryBytes = 128 << 20
	// crowdTime is how long the usage of a process is measured before an ordinary caller
	// sends its request.
	crowdTime = 2 * time.Second
)

// Guards against clients that make an entry process or an agent run out of memory or
// descriptors, or that leave no place for ordinary callers, at each of their addresses.
func TestClientsThatDoNotBehave(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	const key = "key-of-shop"
	f, err := harness.Start(ctx, harness.Options{
		Bin: *binaries, Entries: 1,
		Agents:    []harness.AgentSpec{{Kind: settings.KindService, Backend: "records"}},
		Services:  []harness.ServiceSpec{{Name: "records", Rules: []dynamic.Rule{{Method: "POST", PathPrefix: "/", Idempotent: true}}}},
		Templates: []harness.TemplateSpec{{Name: "standard", Rank: "top", Share: 1, Services: []string{"records"}}},
		Accounts:  []harness.AccountSpec{{ID: "shop", Key: key, Template: "standard"}},
		EntrySettings: func(c *settings.EntryConfig) {
			c.Limits.Connections = crowdConnections
		},
		AgentSettings: func(c *settings.AgentConfig) { c.Limits.Connections = crowdConnections },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	e, a := f.Entries[0], f.Agents[0]
	for _, p := range []*harness.Process{e.Process, a.Process} {
		if err := p.LimitDescriptors(crowdDescriptors); err != nil {
			t.Fatal(err)
		}
	}
	callers := "http://" + e.Settings.CallerAddress
	keyed := harness.CrowdRequest{Line: "POST /v1/services/records/x HTTP/1.1", Headers: "Authorization: Bearer " + key + "\r\n", IDHeader: "Client-Id", BodyBytes: 1 << 20}
	unkeyed := harness.CrowdRequest{Line: "POST /v1/none HTTP/1.1", IDHeader: "Client-Id", BodyBytes: 1 << 20}
	every := []harness.ClientShape{
		harness.IdleClient, harness.TricklingHead, harness.LongHead, harness.WholeBody, harness.PiecewiseBody, harness.LargeChunks,
		harness.SmallChunks, harness.AnnouncedBodyLimit, harness.SentBodyLimit, harness.UnreadAnswers, harness.LongNames,
	}
	others := []harness.ClientShape{
		harness.IdleClient, harness.LongHead, harness.WholeBody, harness.SentBodyLimit, harness.UnreadAnswers, harness.LongNames,
	}
	for _, x := range []struct {
		name, address, url string
		process            *harness.Process
		request            harness.CrowdRequest
		shapes             []harness.ClientShape
	}{
		{"callers", e.Settings.CallerAddress, callers + "/v1/addresses", e.Process, keyed, every},
		{"callers without a key", e.Settings.CallerAddress, callers + "/v1/addresses", e.Process, unkeyed, every},
		{"administration of an entry", e.Settings.AdminAddress, "http://" + e.Settings.AdminAddress + "/readyz", e.Process, unkeyed, others},
		{"administration of an agent", a.Settings.AdminAddress, "http://" + a.Settings.AdminAddress + "/readyz", a.Process, unkeyed, others},
	} {
		for _, shape := range x.shapes {
			t.Run(x.name+"/"+string(shape), func(t *testing.T) {
				crowd := harness.StartCrowd(x.address, 2*crowdConnections, shape, x.request)
				defer crowd.Stop()
				checkUsage(t, x.process, crowdTime, x.address)
				ask(t, "a call beside the crowd", http.MethodGet, x.url, key, 0)
				ask(t, "a request beside the crowd", http.MethodPost, callers+"/v1/services/records/x", key, 100)
				crowd.Stop()
				ask(t, "the largest legal body after the crowd", http.MethodPost, callers+"/v1/services/records/x", key, 1<<20)
				checkUsage(t, x.process, time.Second, x.address)
			})
		}
	}
}

// ask sends an ordinary request until it is served.
func ask(t *testing.T, what, method, url, key string, body int) {
	t.Helper()
	if err := harness.AskUntilServed(method, url, "", map[string]string{"Authorization": "Bearer " + key}, body); err != nil {
		t.Errorf("%s: %v", what, err)
	}
}

// checkUsage checks the usage of a process within a time.
func checkUsage(t *testing.T, p *harness.Process, d time.Duration, addresses ...string) {
	t.Helper()
	peak, err := p.PeakUsage(d, addresses...)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(peak)
	if err := peak.Within(crowdMemoryBytes, crowdDescriptors); err != nil {
		t.Error(err)
	}
}
