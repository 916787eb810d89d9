package agent

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Guards against a response that ends in its head, or in a chunk, at any byte, and is passed
// on as a whole answer or as a request that did not run.
func TestResponseThatEndsInItsHeadIsNoAnswer(t *testing.T) {
	const service = "HTTP/1.1 201 Created\r\nContent-Length: 5\r\nX: y\r\n\r\nfiled"
	const events = "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"
	chunks := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n%x\r\n%s\r\n0\r\nT: z\r\n\r\n", len(events), events)
	// A completion is whole with its last event, whatever follows.
	lastEvent := len(chunks) - len("\n\r\n0\r\nT: z\r\n\r\n") - len("\n")
	for kind, x := range map[string]struct {
		response string
		cuts     int
	}{
		settings.KindService: {service, len(service)},
		settings.KindModel:   {chunks, lastEvent},
	} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			var cut atomic.Int64
			f := start(t, kind, nil, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(conn, x.response[:cut.Load()])
				_ = conn.Close()
			})
			for n := range x.cuts {
				cut.Store(int64(n))
				id := fleet.RequestID(fmt.Sprintf("r%d", n))
				m := completion(id)
				m.Completion.Prompt = string(id)
				if kind == settings.KindService {
					m = filing(id, f.ticket(id))
				}
				refused := waitFor[*wire.Refused](t, f.open(m))
				is.Equal(refused.Verdict, verdict.MayHaveRun)
			}
		})
	}
}
