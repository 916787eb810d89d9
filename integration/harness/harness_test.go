package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/standin"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// Guards against settings files that the processes reject or read differently.
func TestWrittenSettings(t *testing.T) {
	is := is.New(t)
	f := &Fleet{Dir: t.TempDir(), PlatformURL: "http://127.0.0.1:1",
		options: Options{Bin: "bin", Zones: []string{"zone-1", "zone-2"}, UDPFaults: true, TCPFaults: true}}
	f.Platform = NewProcess(f.Dir, "platform", "none")
	defer f.Close()
	is.NoErr(f.prepareAgent(0, AgentSpec{Kind: settings.KindModel, Backend: "small"}))
	is.NoErr(f.prepareEntry(0))
	is.NoErr(f.prepareEntry(1))
	is.NoErr(f.writeSettings())
	agent, err := settings.LoadAgent(f.settingsFile("agent-1"))
	is.NoErr(err)
	is.Equal(agent, f.Agents[0].Settings)
	entry, err := settings.LoadEntry(f.settingsFile("entry-2"))
	is.NoErr(err)
	is.Equal(entry, f.Entries[1].Settings)
	is.Equal(entry.Seeds, []string{f.Entries[0].Relay.Address()})
}

// echo starts a server that echoes UDP packets until the test ends and returns
// its address.
func echo(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	go func() {
		buffer := make([]byte, 1500)
		for {
			n, from, err := c.ReadFrom(buffer)
			if err != nil {
				return
			}
			_, _ = c.WriteTo(buffer[:n], from)
		}
	}()
	return c.LocalAddr().String()
}

// Guards against a relay that forwards packets in a cut direction or cuts all
// senders instead of one.
func TestUDPRelay(t *testing.T) {
	is := is.New(t)
	relay, err := NewUDPRelay("127.0.0.1:0", echo(t))
	is.NoErr(err)
	defer relay.Close()
	dial := func() net.Conn {
		c, err := net.Dial("udp", relay.Address())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	answered := func(c net.Conn) bool {
		_, err := c.Write([]byte("x"))
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Now().Add(150 * time.Millisecond)))
		_, err = c.Read(make([]byte, 8))
		return err == nil
	}
	a, b := dial(), dial()
	is.True(answered(a))
	is.NoErr(relay.SetFaultsFor(a.LocalAddr().String(), LinkFault{}, LinkFault{Cut: true}))
	is.True(!answered(a))
	is.True(answered(b))
	relay.Heal()
	relay.SetFaults(LinkFault{Delay: 60 * time.Millisecond}, LinkFault{})
	began := time.Now()
	is.True(answered(b))
	is.True(time.Since(began) >= 60*time.Millisecond)
}

// Guards against a proxy that stays cut after healing.
func TestTCPProxy(t *testing.T) {
	is := is.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer target.Close()
	p, err := NewTCPProxy("test", "127.0.0.1:0", strings.TrimPrefix(target.URL, "http://"))
	is.NoErr(err)
	defer p.Close()
	get := func() error { return getJSON(t.Context(), "http://"+p.Address()+"/", nil) }
	is.NoErr(get())
	p.Cut()
	is.True(get() != nil)
	is.NoErr(p.Heal())
	is.NoErr(get())
	is.NoErr(p.Add(Toxic{Type: "latency", Stream: "downstream", Attributes: map[string]int{"latency": 80}}))
	began := time.Now()
	is.NoErr(get())
	is.True(time.Since(began) >= 80*time.Millisecond)
}

// refuse writes a refusal in the form in which an entry VM sends it.
func refuse(w http.ResponseWriter, status int, v verdict.Verdict, spent bool) {
	w.Header().Set("Content-Type", problemContentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"verdict": v, "reason": "overloaded", "ticket_spent": spent})
}

// Guards against a client that files twice: it must keep its ticket while the
// outcome is unknown and must not conclude not_run from a later refusal.
func TestCallServiceKeepsTicket(t *testing.T) {
	is := is.New(t)
	var tickets, attempts []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/tickets" {
			tickets = append(tickets, "")
			_, _ = fmt.Fprintf(w, `{"ticket":"t%d","expires_seconds":60}`, len(tickets))
			return
		}
		attempts = append(attempts, r.Header.Get("Ticket")+"/"+r.Header.Get("Ticket-Attempt"))
		switch len(attempts) {
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			refuse(w, 503, verdict.NotRun, false)
		case 3:
			refuse(w, 503, verdict.NotRun, true)
		default:
			refuse(w, 503, verdict.NotRun, false)
		}
	}))
	defer server.Close()
	client := NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, "key", "")
	call := ServiceCall{Service: "records", Method: "POST", Path: "/filings", Body: []byte("{}"), Ticketed: true, MaxAttempts: 2}
	o := client.CallService(t.Context(), call)
	is.Equal(attempts, []string{"t1/1", "t1/2"})
	is.Equal(o.Verdict, verdict.MayHaveRun)
	call.MaxAttempts = 2
	o = client.CallService(t.Context(), call)
	is.Equal(attempts[2:], []string{"t2/1", "t3/1"}) // after a spent ticket, the call uses a new one
	is.Equal(o.Verdict, verdict.NotRun)
}

// Guards against a client that loses or repeats text when a stream is cut.
func TestCompleteResumes(t *testing.T) {
	is := is.New(t)
	const tokens = 6
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		var body completionBody
		_ = json.NewDecoder(r.Body).Decode(&body)
		first := 0
		if body.Resume != nil {
			first = body.Resume.NextPart - 1 // repeats one part
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := first; i < tokens; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"stream_token\":\"s\",\"choices\":[{\"text\":%q}]}\n\n", i, standin.Token("small", "p", i))
			if calls == 1 && i == 2 {
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}))
	defer server.Close()
	client := NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, "key", "")
	o := client.Complete(t.Context(), Completion{Model: "small", Prompt: "p", MaxTokens: tokens})
	is.True(o.Complete)
	is.Equal(o.Text, standin.Text("small", "p", tokens))
	is.Equal(len(o.Attempts), 2)
	is.Equal(o.RepeatedParts, 1)
	is.Equal(o.MissingParts, 0)
}

// Guards against a harness that keeps polling a process that has exited early.
func TestPollStopsAtEndedProcess(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err := poll(ctx, func() error { return fmt.Errorf("entry-1: %w", errProcessExited) })
	is.True(errors.Is(err, errProcessExited))
	is.NoErr(ctx.Err())
}
