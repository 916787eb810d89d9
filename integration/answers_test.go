package integration

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

const (
	// rawRequests is how many requests must reach the server for each answer, and rawCuts for
	// each cut one; maxRawAttempts bounds the attempts for one of them.
	rawRequests    = 3
	rawCuts        = 60
	maxRawAttempts = 40
	rawBodyBytes   = 1 << 20
)

// Guards against an answer of a plain service that was cut by a reset and that the caller gets
// as whole, and against bytes that are no answer in the protocol and that it gets as one.
func TestAnswersOfServicesThatAreNone(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	server, err := harness.StartRawServer("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	server.SetAnswer(answerHealth)
	const key = "key-of-shop"
	f, err := harness.Start(ctx, harness.Options{
		Bin: *binaries, Entries: 1,
		Agents:    []harness.AgentSpec{{Kind: settings.KindService, Backend: "records", URL: "http://" + server.Address()}},
		Services:  []harness.ServiceSpec{{Name: "records"}},
		Templates: []harness.TemplateSpec{{Name: "standard", Rank: "top", Share: 1, Services: []string{"records"}}},
		Accounts:  []harness.AccountSpec{{ID: "shop", Key: key, Template: "standard"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	url := "http://" + f.Entries[0].Settings.CallerAddress + "/v1/services/records/x"
	for _, a := range harness.RawAnswers() {
		t.Run(a.Name, func(t *testing.T) {
			var arrived atomic.Int64
			server.SetAnswer(func(c *net.TCPConn, r *http.Request) {
				if r.Method == http.MethodGet {
					answerHealth(c, r)
					return
				}
				arrived.Add(1)
				a.Write(c, "")
			})
			requests := rawRequests
			if a.Reset {
				requests = rawCuts
			}
			wrong := map[string]int{}
			for attempt := 0; int(arrived.Load()) < requests; attempt++ {
				if attempt == maxRawAttempts*requests {
					t.Fatalf("%d of %d attempts reached the server", arrived.Load(), attempt)
				}
				before := arrived.Load()
				status, body, err := postRaw(url, key)
				switch {
				case arrived.Load() == before:
					time.Sleep(50 * time.Millisecond)
				case a.Want != "" && (status != http.StatusOK || body != a.Want || err != nil):
					wrong[fmt.Sprintf("status %d, body %.60q, error %v", status, body, err)]++
				case a.Want == "" && err == nil && (status < http.StatusInternalServerError || status > 599):
					wrong[fmt.Sprintf("status %d with the body %.60q", status, body)]++
				case a.Want == "" && !a.Reset && status == 0:
					wrong[fmt.Sprintf("no answer: %v", err)]++
				}
			}
			for what, n := range wrong {
				t.Errorf("%d of %d callers: %s", n, arrived.Load(), what)
			}
		})
	}
}

// answerHealth answers the agent's probes.
func answerHealth(c *net.TCPConn, r *http.Request) {
	if r.Method == http.MethodGet {
		harness.RawAnswer{Head: "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n", Body: `{"start":"1"}`, Drain: true}.Write(c, "")
	}
}

func postRaw(url, key string) (status int, body string, err error) {
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(strings.Repeat("y", rawBodyBytes)))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}
