package transport

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// ALPN is the protocol name that both sides must offer. It changes with every
// incompatible change to package wire.
const ALPN = "coltsfootbay/1"

// reloadInterval is the minimum time between two checks of the key files'
// modification times.
const reloadInterval = time.Second

// KeyFiles holds the paths of the PEM files of a process's identity.
type KeyFiles struct {
	Certificate string
	Key         string
	// Authority contains the certificates of the fleet's certificate authority.
	// It can contain several during a change of the authority. It is empty for
	// an identity that is used only for callers.
	Authority string
}

// Identity holds a process's certificate and the fleet's certificate authority.
// It reloads the files when they change, so that keys can be rotated without a
// restart. It is safe for concurrent use.
type Identity struct {
	files KeyFiles

	mu          sync.Mutex
	certificate *tls.Certificate
	authority   *x509.CertPool
	modified    [3]time.Time
	checked     time.Time
}

// LoadIdentity loads the key files. It returns an error that names the file
// that cannot be loaded.
func LoadIdentity(files KeyFiles) (*Identity, error) {
	id := &Identity{files: files}
	if err := id.load(); err != nil {
		return nil, err
	}
	return id, nil
}

func (id *Identity) load() error {
	certificate, err := tls.LoadX509KeyPair(id.files.Certificate, id.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate %s with key %s: %w", id.files.Certificate, id.files.Key, err)
	}
	pool, err := loadAuthority(id.files.Authority)
	if err != nil {
		return err
	}
	id.certificate, id.authority = &certificate, pool
	id.modified, id.checked = id.modificationTimes(), time.Now()
	return nil
}

// loadAuthority returns the certificates in the file. Without a file, it
// returns an empty pool, with which no peer can be verified.
func loadAuthority(file string) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	if file == "" {
		return pool, nil
	}
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read certificate authority: %w", err)
	}
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no PEM certificate", file)
	}
	return pool, nil
}

func (id *Identity) modificationTimes() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{id.files.Certificate, id.files.Key, id.files.Authority} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// current returns the last keys that loaded without an error. Partly written
// files fail to load and leave the previous keys in use.
func (id *Identity) current() (*tls.Certificate, *x509.CertPool) {
	id.mu.Lock()
	defer id.mu.Unlock()
	if time.Since(id.checked) >= reloadInterval {
		id.checked = time.Now()
		if id.modificationTimes() != id.modified {
			_ = id.load()
		}
	}
	return id.certificate, id.authority
}

// CallerConfig returns the TLS configuration for listeners that accept callers,
// which have no client certificate.
func (id *Identity) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := id.current()
			return certificate, nil
		},
	}
}

func (id *Identity) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{ALPN},
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := id.current()
			return certificate, nil
		},
		VerifyConnection: id.verifyPeer,
		// A resumed session would skip the verification against the current
		// authority.
		SessionTicketsDisabled: true,
	}
}

func (id *Identity) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{ALPN},
		// Processes connect by IP address and addresses may change, so the
		// certificate is verified against the fleet's authority and not against
		// a host name.
		InsecureSkipVerify: true,
		VerifyConnection:   id.verifyPeer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := id.current()
			return certificate, nil
		},
	}
}

func (id *Identity) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	_, authority := id.current()
	options := x509.VerifyOptions{
		Roots:         authority,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("peer certificate: %w", err)
	}
	return nil
}
