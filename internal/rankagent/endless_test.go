package rankagent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/endless"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

// Guards against a controller that keeps what an agent sends without end.
func TestAgentThatSendsBytesWithoutEndIsBounded(t *testing.T) {
	for _, shape := range endless.Shapes {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, pause %s", shape, pause), func(t *testing.T) {
				is := is.New(t)
				faulty := endless.Start(t, shape, pause)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				began := time.Now()
				_, err := NewClient(faulty.Address).Report(context.Background())
				is.True(err != nil)
				is.True(time.Since(began) < 2*callTimeout)
				runtime.ReadMemStats(&after)
				is.True(after.TotalAlloc-before.TotalAlloc < 32<<20)
			})
		}
	}
}

// Guards against an agent that keeps what a caller sends without end.
func TestCallWithBodyWithoutEndIsRefused(t *testing.T) {
	is := is.New(t)
	a := New(Config{Engine: newFakeGroup(1, 1, 0).ranks[0], Recorder: events.NewRecorder("agent", 1, &strings.Builder{})})
	server := httptest.NewServer(a.Handler())
	defer server.Close()
	for _, path := range []string{pathClaim, pathPrepare} {
		resp, err := http.Post(server.URL+path, "application/cbor", endlessBody{})
		if err == nil {
			is.Equal(resp.StatusCode, http.StatusBadRequest)
			_ = resp.Body.Close()
		}
	}
}

type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }
