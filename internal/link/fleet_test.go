package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"maps"
	"math/big"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/transport"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// memoryStore keeps the highest revision per document.
type memoryStore struct {
	mu        sync.Mutex
	documents map[string]wire.Document
}

func (s *memoryStore) Merge(documents []wire.Document, _ uint64) (news []wire.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range documents {
		if d.Revision > s.documents[d.Name].Revision {
			s.documents[d.Name] = d
			news = append(news, d)
		}
	}
	return news
}

func (s *memoryStore) Hash() uint64 {
	h := xxhash.New()
	for _, v := range s.Digest().Versions {
		fmt.Fprintln(h, v.Name, v.Latest)
	}
	return h.Sum64()
}

func (s *memoryStore) Digest() (d wire.ConfigDigest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(s.documents)) {
		d.Versions = append(d.Versions, wire.DocumentVersion{Name: name, Latest: s.documents[name].Revision})
	}
	return d
}

func (s *memoryStore) Missing(d wire.ConfigDigest, limit int) (missing []wire.Document, offers []wire.DocumentOffer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := map[string]uint64{}
	for _, v := range d.Versions {
		held[v.Name] = v.Latest
	}
	for name, document := range s.documents {
		switch {
		case document.Revision <= held[name]:
		case len(document.Body) <= limit:
			missing = append(missing, document)
		default:
			offers = append(offers, config.Offer(document))
		}
	}
	return missing, offers
}

func (s *memoryStore) Holds(o wire.DocumentOffer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.documents[o.Name].Revision >= o.Revision
}

func (s *memoryStore) Documents(name string) []wire.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, ok := s.documents[name]; ok {
		return []wire.Document{d}
	}
	return nil
}

func (s *memoryStore) Revision() uint64                    { return 0 }
func (s *memoryStore) PlatformAge() time.Duration          { return 0 }
func (s *memoryStore) RecordPlatformContact(time.Duration) {}

type process struct {
	*Manager
	recorder *events.Recorder
	docs     *memoryStore
	stop     func()
}

func newIdentity(t testing.TB) *transport.Identity {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	check(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	check(t, err)
	dir := t.TempDir()
	certificate, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	check(t, os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	check(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
	id, err := transport.LoadIdentity(transport.KeyFiles{Certificate: certificate, Key: keyFile, Authority: certificate})
	check(t, err)
	return id
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// start runs a manager on a loopback port.
func start(t testing.TB, id *transport.Identity, role fleet.Role, n int, change func(*Config), seeds ...string) *process {
	t.Helper()
	name := fleet.ProcessID(fmt.Sprintf("%s-%03d", role, n))
	recorder := events.NewRecorder(name, 1, io.Discard)
	endpoint, err := transport.NewEndpoint("127.0.0.1:0", id, recorder.Clock, true)
	check(t, err)
	self := wire.Hello{
		Process: name, Start: fleet.NewStartID(), Role: role, Address: endpoint.Address(),
		Zone: fleet.AvailabilityZone(fmt.Sprintf("zone-%d", n%3)),
	}
	c := Config{
		Endpoint: endpoint, Quarantine: quarantine.NewRegistry(), Recorder: recorder,
		View: member.NewView(member.Config{Self: self, Seeds: seeds, AgentSubset: 32}),
	}
	if change != nil {
		change(&c)
	}
	p := &process{Manager: NewManager(c), recorder: recorder, docs: &memoryStore{documents: map[string]wire.Document{}}}
	p.store = p.docs
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	p.stop = sync.OnceFunc(func() {
		cancel()
		check(t, <-done)
		_ = endpoint.Close()
	})
	t.Cleanup(p.stop)
	return p
}

func eventually(t testing.TB, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}
