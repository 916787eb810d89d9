package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/platform/platformtest"
)

const (
	rawName = "raw"
	// rawRequests is how many requests must reach the server for each answer, and rawCuts for
	// each cut one; maxRawAttempts bounds the attempts for one of them.
	rawRequests    = 3
	rawCuts        = 60
	maxRawAttempts = 40
	rawBodyBytes   = 4 << 20
)

var rawKinds = []string{"unsafe", "safe", "streaming"}

// Guards against an answer that was cut by a reset and that the caller gets as whole, and
// against bytes that are no answer in the protocol and that the caller gets as one: 190 of 300 cut
// answers to long uploads looked complete, a status of 000 ended the caller's connection, and
// a field with a blank in its name changed the body.
func TestAnswersThatAreNone(t *testing.T) {
	if *binaries == "" {
		t.Skip("-bin is not given")
	}
	f := startFleet(t)
	address := f.address()
	server, err := harness.StartRawServer(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	f.store.PutServer("r-0", rawName, address, zone(0), "ready", time.Now().UnixMilli())
	f.changeConfiguration(func(c *platformtest.Configuration) {
		c.BodyBytes = rawBodyBytes
		c.More = []string{rawName}
		for _, kind := range rawKinds {
			c.Routes = append(c.Routes, platformtest.Route{Name: "raw-" + kind, Host: host, Service: rawName, Kind: kind, TimeoutMS: 8000})
		}
	})
	gateway := f.gateways[0].callers
	if err := harness.AskUntilServed(http.MethodPost, "http://"+gateway+"/unsafe/x", host, map[string]string{platformtest.IDHeader: "ordinary", platformtest.KeyHeader: "key-0-0"}, 10); err != nil {
		t.Fatal(err)
	}
	for _, kind := range rawKinds {
		for _, a := range harness.RawAnswers() {
			if kind == "streaming" && !a.Reset {
				continue
			}
			for _, bytes := range []int{0, rawBodyBytes} {
				t.Run(fmt.Sprintf("%s/%s/%d", kind, a.Name, bytes), func(t *testing.T) {
					var arrived atomic.Int64
					server.SetAnswer(func(c *net.TCPConn, r *http.Request) {
						arrived.Add(1)
						lines := ""
						for name, value := range platformtest.AnswerHeaders(r, "r-0") {
							lines += name + ": " + value + "\r\n"
						}
						a.Write(c, lines)
					})
					requests := rawRequests
					if a.Reset && bytes > 0 {
						requests = rawCuts
					}
					checkRawAnswers(t, "http://"+gateway+"/raw-"+kind+"/x", a, requests, bytes, &arrived)
				})
			}
		}
	}
}

// checkRawAnswers sends requests until some of them have reached the server, and checks what
// their callers got.
func checkRawAnswers(t *testing.T, url string, a harness.RawAnswer, requests, bytes int, arrived *atomic.Int64) {
	t.Helper()
	wrong := map[string]int{}
	served := 0
	for attempt := 0; int(arrived.Load()) < requests; attempt++ {
		if attempt == maxRawAttempts*requests {
			t.Fatalf("%d of %d attempts reached the server", arrived.Load(), attempt)
		}
		before := arrived.Load()
		status, body, err := askRaw(url, attempt, bytes)
		switch {
		case arrived.Load() == before:
			// The gateway avoids a server that fails, for a while.
			time.Sleep(50 * time.Millisecond)
		case a.Want != "" && status == http.StatusOK && body == a.Want && err == nil:
			served++
		case a.Want != "":
			wrong[fmt.Sprintf("status %d, body %q, error %v", status, body, err)]++
		case err == nil && (status < http.StatusInternalServerError || status > 599):
			wrong[fmt.Sprintf("status %d with the body %.40q", status, body)]++
		case !a.Reset && status == 0:
			wrong[fmt.Sprintf("no answer: %v", err)]++
		}
	}
	for what, n := range wrong {
		t.Errorf("%d of %d callers: %s", n, arrived.Load(), what)
	}
	if a.Want != "" && served == 0 {
		t.Error("no caller was served")
	}
}

// askRaw sends one request and returns the status and the body of the answer; err is set if the
// answer is not whole.
func askRaw(url string, n, bytes int) (status int, body string, err error) {
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(strings.Repeat("y", bytes)))
	if err != nil {
		return 0, "", err
	}
	r.Host = host
	r.Header.Set(platformtest.IDHeader, fmt.Sprintf("raw-%d-%d", bytes, n))
	r.Header.Set(platformtest.KeyHeader, "key-0-0")
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}
