package transport

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// writeIdentity writes a new key with a self-signed certificate, which is also
// its authority.
func writeIdentity(t testing.TB, dir string) KeyFiles {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	files := KeyFiles{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "cert.pem")}
	is.NoErr(os.WriteFile(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
	return files
}

func endpoint(t testing.TB, files KeyFiles) *Endpoint {
	t.Helper()
	is := is.New(t)
	id, err := LoadIdentity(files)
	is.NoErr(err)
	e, err := NewEndpoint("127.0.0.1:0", id, events.NewClock(), true)
	is.NoErr(err)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// connect returns both ends of a new connection, or the error of Dial or
// Accept.
func connect(ctx context.Context, from, to *Endpoint) (near, far *Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if near, err = from.Dial(ctx, to.Address()); err != nil {
		return nil, nil, err
	}
	far, err = to.Accept(ctx)
	return near, far, err
}

// Guards against connections to or from processes of another fleet.
func TestOtherFleetIsRefused(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	own := writeIdentity(t, t.TempDir())
	a, b, foreign := endpoint(t, own), endpoint(t, own), endpoint(t, writeIdentity(t, t.TempDir()))
	_, _, err := connect(ctx, a, b)
	is.NoErr(err)
	_, _, err = connect(ctx, foreign, b)
	is.True(err != nil)
	_, _, err = connect(ctx, a, foreign)
	is.True(err != nil)
	// A client that trusts the fleet's authority is refused if its own
	// certificate is not signed by it.
	half := writeIdentity(t, t.TempDir())
	half.Authority = own.Authority
	_, _, err = connect(ctx, endpoint(t, half), b)
	is.True(err != nil)
}

// expireCheck makes the next use of the identity check the files for changes.
func expireCheck(id *Identity) {
	id.mu.Lock()
	defer id.mu.Unlock()
	id.checked = time.Time{}
}

// Guards against keys that change only with a restart, and against partly
// written files that replace valid keys.
func TestKeyReload(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	dir := t.TempDir()
	a := endpoint(t, writeIdentity(t, dir))
	is.NoErr(os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("half"), 0o600))
	expireCheck(a.identity)
	_, _, err := connect(ctx, a, a)
	is.NoErr(err)
	next := writeIdentity(t, dir)
	expireCheck(a.identity)
	_, _, err = connect(ctx, endpoint(t, next), a)
	is.NoErr(err)
}

// Guards against a peer that opens more streams than the limit, and against
// streams that count as open after they have ended.
func TestStreamLimit(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	files := writeIdentity(t, t.TempDir())
	near, far, err := connect(ctx, endpoint(t, files), endpoint(t, files))
	is.NoErr(err)
	var last *Stream
	for range maxIncomingStreams {
		last, err = near.OpenStream(ctx, wire.StreamRequest)
		is.NoErr(err)
	}
	is.Equal(near.OpenStreams(), maxIncomingStreams)
	short, stop := context.WithTimeout(ctx, 100*time.Millisecond)
	defer stop()
	_, err = near.OpenStream(short, wire.StreamRequest)
	is.True(errors.Is(err, context.DeadlineExceeded))
	for range maxIncomingStreams {
		s, err := far.AcceptStream(ctx)
		is.NoErr(err)
		kind, err := s.Kind()
		is.NoErr(err)
		is.Equal(kind, wire.StreamRequest)
		s.Abort()
	}
	last.Abort()
	_, err = near.OpenStream(ctx, wire.StreamRequest) // streams that have ended do not count
	is.NoErr(err)
}

// Guards against accepting a stream whose first message is not Open, and
// against reporting the regular end of a stream as a failure.
func TestStreamOpenAndEnd(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	files := writeIdentity(t, t.TempDir())
	near, far, err := connect(ctx, endpoint(t, files), endpoint(t, files))
	is.NoErr(err)
	s, err := near.OpenStream(ctx, wire.StreamControl)
	is.NoErr(err)
	s.CloseSend()
	accepted, err := far.AcceptStream(ctx)
	is.NoErr(err)
	kind, err := accepted.Kind()
	is.NoErr(err)
	is.Equal(kind, wire.StreamControl)
	_, err = accepted.Receive()
	is.Equal(err, io.EOF)
	q, err := near.quic.OpenStreamSync(ctx)
	is.NoErr(err)
	is.NoErr(newStream(q, near.clock).Send(&wire.Done{}))
	accepted, err = far.AcceptStream(ctx)
	is.NoErr(err)
	_, err = accepted.Kind()
	is.True(errors.Is(err, ErrUnexpectedMessage))
}
