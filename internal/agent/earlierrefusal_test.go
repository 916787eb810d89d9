package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Guards against an earlier refusal that a backend server writes once more on a kept
// connection and that is taken for the response to a later request, which runs.
func TestEarlierRefusalIsNotTheResponseToALaterRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 7\r\n\r\nearlier"
	for kind, answer := range map[string]string{
		settings.KindService: "HTTP/1.1 201 Created\r\nContent-Length: %d\r\n\r\n%s",
		settings.KindModel:   "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
	} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			// The server keeps its connections, and answers each request with its own number
			// followed by an earlier refusal.
			handle := func(conn net.Conn, in *bufio.Reader) {
				for {
					body := fmt.Sprintf("run %d", runs.Add(1))
					if kind == settings.KindModel {
						body = fmt.Sprintf("data: {\"choices\":[{\"text\":%q}]}\n\ndata: [DONE]\n\n", body)
					}
					if _, err := io.WriteString(conn, fmt.Sprintf(answer, len(body), body)+refusal); err != nil {
						return
					}
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
				}
			}
			f := start(t, kind, nil, func(w http.ResponseWriter, _ *http.Request) {
				conn, in, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				handle(conn, in.Reader)
			})
			for n := range 20 {
				id := fleet.RequestID(fmt.Sprintf("r%d", n))
				want := fmt.Sprintf("run %d", n+1)
				if kind == settings.KindService {
					s := f.open(filing(id, f.ticket(id)))
					is.Equal(waitFor[*wire.Response](t, s).Status, http.StatusCreated)
					is.Equal(string(waitFor[*wire.Chunk](t, s).Data), want)
					continue
				}
				is.Equal(waitFor[*wire.Part](t, f.open(completion(id))).Text, want)
			}
			is.Equal(runs.Load(), int64(20))
		})
	}
}

// Guards against a failure of the engine after the first parts of a stream that is taken for
// the end of a complete answer, and against its text among the parts.
func TestEngineErrorAfterPartsIsNoCompleteAnswer(t *testing.T) {
	const parts = "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\n"
	const done = "data: [DONE]\n\n"
	for name, rest := range map[string]string{
		"closed connection":                "",
		"error event":                      "data: {\"error\":{\"message\":\"out of memory\",\"code\":500}}\n\n" + done,
		"error event of a type":            "event: error\ndata: {\"message\":\"out of memory\"}\n\n" + done,
		"error text":                       "data: \"out of memory\"\n\n" + done,
		"error event and finish reason":    "data: {\"error\":{\"message\":\"x\"},\"choices\":[{\"text\":\"\",\"finish_reason\":\"error\"}]}\n\n" + done,
		"head of another response":         "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror",
		"head in the data":                 "data: HTTP/1.1 500 Internal Server Error\n\n" + done,
		"end of stream within [DONE]":      "data: [DO",
		"end of stream within an event":    "data: {\"choices\":[{\"te",
		"refusal as JSON without an event": "{\"error\":\"busy\"}\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, settings.KindModel, nil, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, parts+rest)
			})
			s := f.open(completion("r1"))
			text := ""
			for {
				switch m := (<-s.out).(type) {
				case *wire.Part:
					text += m.Text
					continue
				case *wire.Done:
					t.Fatal("the answer counts as complete")
				case *wire.Refused:
					is.Equal(m.Verdict, verdict.MayHaveRun)
				default:
					continue
				}
				break
			}
			is.Equal(text, "ab")
		})
	}
}
