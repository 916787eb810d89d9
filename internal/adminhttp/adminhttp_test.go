package adminhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

const testKey = "0123456789abcdef0123"

type testServer struct {
	t       *testing.T
	server  *Server
	keyFile string
	stop    func() error
	client  *http.Client
}

func start(t *testing.T, change func(*Options)) *testServer {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	keyFile := filepath.Join(t.TempDir(), "admin.key")
	if err := os.WriteFile(keyFile, []byte(testKey+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	o := Options{Address: "127.0.0.1:0", KeyFile: keyFile, Limits: settings.DefaultLimits()}
	change(&o)
	server, err := Listen(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	r := &testServer{t: t, server: server, keyFile: keyFile, client: &http.Client{Transport: &http.Transport{}}}
	r.stop = func() error { cancel(); return <-done }
	t.Cleanup(func() { cancel(); r.client.CloseIdleConnections() })
	return r
}

func (r *testServer) get(path, key string) (int, string) {
	r.t.Helper()
	request, _ := http.NewRequest(http.MethodGet, "http://"+r.server.Address()+path, nil)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := r.client.Do(request)
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	_, _ = body.ReadFrom(response.Body)
	return response.StatusCode, body.String()
}

// Guards against administration calls with a missing, wrong or replaced key, and
// against a half-written key file that locks operators out.
func TestKeyIsRequiredAndReloaded(t *testing.T) {
	is := is.New(t)
	r := start(t, func(*Options) {})
	for _, path := range []string{"/admin/v1/status", "/admin/v1/events", "/admin/v1/other"} {
		for _, key := range []string{"", "wrong", testKey + "x"} {
			status, _ := r.get(path, key)
			is.Equal(status, http.StatusUnauthorized)
		}
	}
	status, _ := r.get("/admin/v1/status", testKey)
	is.Equal(status, http.StatusOK)

	is.NoErr(os.WriteFile(r.keyFile, nil, 0o600))
	time.Sleep(keyCheckInterval + 50*time.Millisecond)
	status, _ = r.get("/admin/v1/status", testKey)
	is.Equal(status, http.StatusOK)
	is.NoErr(os.WriteFile(r.keyFile, []byte("another-key-of-20-ch"), 0o600))
	time.Sleep(keyCheckInterval + 50*time.Millisecond)
	status, _ = r.get("/admin/v1/status", testKey)
	is.Equal(status, http.StatusUnauthorized)
	is.NoErr(r.stop())
}

// Guards against an event that is lost or sent twice between two pages.
func TestEventsPageWithoutGap(t *testing.T) {
	is := is.New(t)
	recorder := events.NewRecorder("e1", 1, &bytes.Buffer{})
	for i := range 25 {
		recorder.Record(fmt.Sprintf("test.%d", i), "")
	}
	r := start(t, func(o *Options) { o.Recorder = recorder })
	var names []string
	answer := EventsAnswer{More: true}
	for answer.More {
		status, body := r.get(fmt.Sprintf("/admin/v1/events?after=%d&limit=10", answer.Next), testKey)
		is.Equal(status, http.StatusOK)
		answer = EventsAnswer{}
		is.NoErr(json.Unmarshal([]byte(body), &answer))
		for _, e := range answer.Events {
			names = append(names, e.Name)
		}
	}
	is.Equal(len(names), 25)
	is.Equal(names[24], "test.24")
	status, body := r.get("/admin/v1/events?limit=10001", testKey)
	is.Equal(status, http.StatusBadRequest)
	is.True(strings.Contains(body, "0 to 10000"))
	is.NoErr(r.stop())
}

// Guards against a process that reports ready before it can serve, and against a
// close that interrupts an open call.
func TestReadinessAndGracefulClose(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	r := start(t, func(o *Options) {
		o.Ready = func() error { return errors.New("no configuration yet") }
		o.Status = func() any { close(entered); time.Sleep(200 * time.Millisecond); return "done" }
	})
	status, body := r.get("/readyz", "")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "no configuration yet"))
	status, _ = r.get("/healthz", "")
	is.Equal(status, http.StatusOK)

	stopped := make(chan error, 1)
	go func() { <-entered; stopped <- r.stop() }()
	status, body = r.get("/admin/v1/status", testKey)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "\"done\"\n")
	is.NoErr(<-stopped)
}
