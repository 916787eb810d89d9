package entry

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/command"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/query"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/usage"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
)

// writeKeys writes a self-signed identity, ticket keys and an admin key.
func writeKeys(t *testing.T) settings.Keys {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	write := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, data, 0o600))
		return path
	}
	chain := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate})
	return settings.Keys{
		Certificate: write("cert.pem", chain), Authority: write("ca.pem", chain),
		Key:    write("key.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})),
		Ticket: write("ticket.keys", []byte("1 "+strings.Repeat("ab", 32)+"\n")),
		Admin:  write("admin.key", []byte("0123456789abcdef0123456789abcdef\n")),
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against a planned shutdown that refuses callers whose address answer is
// still valid, against a shutdown that ends with an error, and against a caller
// certificate that is not used.
func TestLeavingProcessServesForTheAddressLifetime(t *testing.T) {
	is := is.New(t)
	c := settings.DefaultEntryConfig()
	c.Name, c.Zone, c.Keys = "entry-1", "a", writeKeys(t)
	c.Keys.CallerCertificate, c.Keys.CallerKey = c.Keys.Certificate, c.Keys.Key
	callers := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	c.CallerAddress, c.PeerAddress, c.AdminAddress = freeAddress(t), "127.0.0.1:0", freeAddress(t)
	c.PlatformURL = "http://" + freeAddress(t)
	c.AddressLifetime = tomlfile.Duration(time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, c, io.Discard) }()
	get := func() (*http.Response, error) { return callers.Get("https://" + c.CallerAddress + "/v1/addresses") }
	for range 200 {
		if r, err := get(); err == nil {
			r.Body.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	time.Sleep(200 * time.Millisecond)
	r, err := get()
	is.NoErr(err)
	r.Body.Close()
	is.True(r.Close) // Connection: close
	select {
	case err := <-ended:
		is.NoErr(err)
	case <-time.After(10 * time.Second):
		t.Fatal("the process did not exit within 10 s after its context was canceled")
	}
}

// Guards against administration answers whose refusals lack the problem format,
// and against lists that are null in JSON.
func TestAdministrationAnswers(t *testing.T) {
	registry := quarantine.NewRegistry()
	recorder := events.NewRecorder("entry-1", 1, io.Discard)
	queries := &query.Queries{View: &oneAgent{}, Store: config.NewStore(recorder), Quarantine: registry, Usage: usage.New(tally.NoopScope)}
	commands := &command.Commands{Quarantine: registry, Links: &oneAgent{}, Recorder: recorder}
	s := httptest.NewServer((&adminAPI{commands: commands, queries: queries, bodyBytes: 1024}).handler())
	defer s.Close()
	for _, c := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"GET", "/admin/v1/usage", "", 200, "[]"},
		{"GET", "/admin/v1/quarantine", "", 200, "[]"},
		{"GET", "/admin/v1/members", "", 200, `"process":"agent-1"`},
		{"GET", "/admin/v1/configuration", "", 200, `"inactive":[]`},
		{"POST", "/admin/v1/validate", `{"name":"templates/x","body":"rank = \"none\""}`, 200, `"valid":false`},
		{"POST", "/admin/v1/validate", `{`, 400, `"reason":"bad_request"`},
		{"DELETE", "/admin/v1/quarantine/00000000000000ff", "", 404, `"status":404`},
		{"DELETE", "/admin/v1/quarantine/ff", "", 400, `"status":400`},
		{"POST", "/admin/v1/usage", "", 405, `"status":405`},
		{"GET", "/admin/v1/other", "", 404, `"status":404`},
	} {
		is := is.New(t)
		response, body := send(t, s, c.method, c.path, c.body, nil)
		is.Equal(response.StatusCode, c.status)
		is.True(strings.Contains(body, c.want))
	}
}

// Guards against counters that grow without bound with the number of accounts.
func TestUsageIsBounded(t *testing.T) {
	is := is.New(t)
	u := usage.New(tally.NoopScope)
	for i := range 10000 {
		u.AddTokens(fleet.ClientAccount(strconv.Itoa(i)), 1, 1)
	}
	is.True(len(u.Accounts()) <= 4097)
}

// Guards against counting a scheduling delay as a pause and against missing a
// pause.
func TestLateTicks(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for _, late := range []time.Duration{time.Second, 3 * time.Second} {
		p := &pauses{}
		p.tick(now)
		is.Equal(p.tick(now.Add(late)) > expiryThreshold, late > expiryThreshold)
	}
}
