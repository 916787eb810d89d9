package agent

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
	"github.com/coltsfootbay/coltsfootbay/internal/transport"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// keys writes the key files of a fleet with a single certificate.
func keys(t *testing.T) settings.Keys {
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	is.NoErr(err)
	key, err := x509.MarshalPKCS8PrivateKey(private)
	is.NoErr(err)
	dir := t.TempDir()
	write := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, data, 0o600))
		return path
	}
	certificate := write("cert.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	return settings.Keys{
		Certificate: certificate,
		Authority:   certificate,
		Key:         write("key.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})),
		Ticket:      write("ticket", []byte("1 "+strings.Repeat("ab", 32)+"\n")),
		Admin:       write("admin", []byte("0123456789abcdef0123456789abcdef")),
	}
}

// Guards against a process that does not exit after its context is canceled,
// and against one that starts with unusable keys.
func TestRunStartsAndStops(t *testing.T) {
	is := is.New(t)
	c := settings.DefaultAgentConfig()
	c.Name, c.Zone, c.PeerAddress, c.AdminAddress = "a1", "z", "127.0.0.1:0", "127.0.0.1:0"
	c.BackendServer.Kind, c.BackendServer.Name, c.BackendServer.URL = settings.KindService, "records", "http://127.0.0.1:1"
	c.Keys, c.TicketLinger = keys(t), tomlfile.Duration(50*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	started := time.Now()
	time.AfterFunc(50*time.Millisecond, cancel)
	is.NoErr(Run(ctx, c, io.Discard))
	is.True(time.Since(started) >= 100*time.Millisecond) // it stayed for the ticket linger time
	c.Keys.Ticket = c.Keys.Key
	is.True(Run(ctx, c, io.Discard) != nil)
}

// connectQUIC serves the agent's request streams on a QUIC connection, as
// package link does in production, and returns the client side.
func connectQUIC(t *testing.T, a *agent) *transport.Conn {
	is := is.New(t)
	k := keys(t)
	identity, err := transport.LoadIdentity(transport.KeyFiles{Certificate: k.Certificate, Key: k.Key, Authority: k.Authority})
	is.NoErr(err)
	server, err := transport.NewEndpoint("127.0.0.1:0", identity, events.NewClock(), true)
	is.NoErr(err)
	client, err := transport.NewEndpoint("127.0.0.1:0", identity, events.NewClock(), false)
	is.NoErr(err)
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	go func() {
		conn, err := server.Accept(context.Background())
		for err == nil {
			var s *transport.Stream
			if s, err = conn.AcceptStream(context.Background()); err == nil {
				go func() { _, _ = s.Kind(); a.handle(context.Background(), s) }()
			}
		}
	}()
	conn, err := client.Dial(context.Background(), server.Address())
	is.NoErr(err)
	return conn
}

// Guards against a slow receiver that blocks other streams of its connection,
// against a lost link that is not detected, and against a large answer that is
// truncated.
func TestQUICStreamsAreIndependentAndComplete(t *testing.T) {
	is := is.New(t)
	const size = 3 << 20
	f := start(t, settings.KindService, nil, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) })
	conn := connectQUIC(t, f.agent)
	open := func(m wire.Message) *transport.Stream {
		s, err := conn.OpenStream(context.Background(), wire.StreamRequest)
		is.NoErr(err)
		is.NoErr(s.Send(m))
		return s
	}
	slow := open(filing("r1", f.ticket("t1")))
	eventually(t, "the first run has ended", func() bool { return f.queue.Stats().Running == 0 && f.runs.openCount() == 0 })
	is.Equal(readBody(t, open(filing("r2", ""))), size)
	is.Equal(readBody(t, slow), size)
	is.Equal(readBody(t, open(filing("r3", f.ticket("t1")))), 0) // body too large for the ledger
	open(filing("r4", ""))
	conn.Close()
	eventually(t, "all streams ended", func() bool { return f.openCalls.Load() == 0 })
}

// readBody returns the size of the answer's body and closes the stream.
func readBody(t *testing.T, s *transport.Stream) int {
	t.Helper()
	s.SetReadDeadline(time.Now().Add(testWait))
	defer s.CloseSend()
	size := 0
	for {
		m, err := s.Receive()
		if err != nil {
			t.Fatalf("after %d bytes: %v", size, err)
		}
		switch m := m.(type) {
		case *wire.Chunk:
			size += len(m.Data)
		case *wire.Refused:
			t.Fatal(m.Error())
		case *wire.Done:
			return size
		}
	}
}

// Guards against requests that wait until their deadline after a server restart
// because their connections never report an error.
func TestServerRestartEndsRuns(t *testing.T) {
	is := is.New(t)
	f := start(t, settings.KindService, nil, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	s := f.open(filing("r1", f.ticket("t1")))
	waitFor[*wire.Begun](t, s)
	f.probe(context.Background(), 1) // update lastSeen after the run began
	f.probeSucceeded(context.Background(), health{Start: []byte(`"s2"`)})
	refused := waitFor[*wire.Refused](t, s)
	is.Equal(refused.Verdict, verdict.MayHaveRun)
	is.Equal(refused.Reason, verdict.ReasonServerCrashed)
	is.Equal(f.links.published.Load(), int32(1))
}
