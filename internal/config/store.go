// Package config holds the platform's documents. Every process merges documents
// by the same rule, so the order, repetition and staleness of what it receives
// do not matter and nothing reverts.
package config

import (
	"iter"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// VMListDocument is the name under which the platform's VM list is kept and
// passed on. Its revision is the list's own revision and its body is JSON.
const VMListDocument = "platform/vms"

// VM is an entry of the platform's VM list.
type VM struct {
	Name         fleet.ProcessID        `json:"name"`
	Role         fleet.Role             `json:"role"`
	Address      string                 `json:"address"`
	AdminAddress string                 `json:"admin_address"`
	Zone         fleet.AvailabilityZone `json:"zone"`
	State        VMState                `json:"state"`
}

// VMState is what the platform says about a VM.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// DocumentStatus tells which revision of a document is in force.
type DocumentStatus struct {
	Name     string `json:"name"`
	Latest   uint64 `json:"latest"`
	InForce  uint64 `json:"in_force"`
	Deleted  bool   `json:"deleted,omitempty"`
	Rejected string `json:"rejected,omitempty"`
}

// neverHeard is the platform age of a process that has heard of no answer.
const neverHeard = 365 * 24 * time.Hour

// echoTolerance is above the time that a heartbeat travels. Ages do not include
// that time, so without it an age that peers tell each other would hardly grow.
const echoTolerance = 100 * time.Millisecond

// Store holds the latest and the last good revision of each document. It is
// safe for concurrent use.
type Store struct {
	recorder  *events.Recorder
	effective atomic.Pointer[dynamic.Effective]
	vms       atomic.Pointer[[]VM]

	// merging serialises merges, so that mu is never held during validation
	// and computation.
	merging sync.Mutex
	// computer belongs to the holder of merging.
	computer *dynamic.Computer

	mu       sync.Mutex
	records  map[string]*record
	hash     uint64
	revision uint64
	// listed is the highest revision of a full listing; documents that are
	// still unknown were absent from it.
	listed  uint64
	changed chan struct{}
	// heard is when the platform last answered this process or one it heard
	// from; zero means never.
	heard time.Time
}

// NewStore returns an empty store that records what it accepts and rejects.
func NewStore(recorder *events.Recorder) *Store {
	s := &Store{recorder: recorder, computer: dynamic.NewComputer(), records: map[string]*record{}, changed: make(chan struct{})}
	s.effective.Store(dynamic.Compute(nil))
	return s
}

// Merge adds documents from the platform or a peer and returns those that were
// new to this process, for passing on.
func (s *Store) Merge(documents []wire.Document, storeRevision uint64) []wire.Document {
	s.merging.Lock()
	defer s.merging.Unlock()
	m := s.newMerge()
	for _, d := range documents {
		m.add(bound(d))
	}
	return m.finish(storeRevision)
}

// MergeListing adds a complete listing at a platform revision: a document that
// the listing lacks and whose revision is lower becomes deleted. It returns the
// deletions and the small documents that were new, and offers of the large ones.
func (s *Store) MergeListing(documents iter.Seq[wire.Document], revision uint64) ([]wire.Document, []wire.DocumentOffer) {
	s.merging.Lock()
	defer s.merging.Unlock()
	m := s.newMerge()
	present := map[string]bool{VMListDocument: true}
	for d := range documents {
		present[d.Name] = true
		m.add(bound(d))
		m.offerLarge()
	}
	m.addAbsent(present, revision)
	return m.finish(revision), m.offers
}

// Effective returns the configuration in force. It is never nil.
func (s *Store) Effective() *dynamic.Effective { return s.effective.Load() }

// Ready reports whether the store holds any document of the configuration. The
// VM list alone does not count.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, vms := s.records[VMListDocument]
	return len(s.records) > 1 || (len(s.records) == 1 && !vms)
}

// VMs returns the newest VM list. The caller must not change it.
func (s *Store) VMs() []VM {
	if list := s.vms.Load(); list != nil {
		return *list
	}
	return nil
}

// Hash summarises the revisions held; equal stores have equal hashes.
func (s *Store) Hash() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hash
}

// Revision returns the highest platform revision seen.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Digest lists the revisions held.
func (s *Store) Digest() wire.ConfigDigest {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := wire.ConfigDigest{StoreRevision: s.revision}
	for _, name := range s.names() {
		r := s.records[name]
		d.Versions = append(d.Versions, wire.DocumentVersion{Name: name, Latest: r.latest.number, Good: r.good.number})
	}
	return d
}

// Missing returns what the sender of a digest lacks, both the latest and the
// last good revision where they differ: documents with a body of at most limit
// bytes, and offers of the others.
func (s *Store) Missing(d wire.ConfigDigest, limit int) (documents []wire.Document, offers []wire.DocumentOffer) {
	theirs := make(map[string]wire.DocumentVersion, len(d.Versions))
	for _, v := range d.Versions {
		theirs[v.Name] = v
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.names() {
		r, v := s.records[name], theirs[name]
		if r.latest.number <= v.Latest && r.good.number <= v.Good {
			continue
		}
		for _, held := range r.revisions() {
			if held.size <= limit {
				documents = append(documents, held.document(name))
			} else {
				offers = append(offers, held.offer(name))
			}
		}
	}
	return documents, offers
}

// Holds reports whether an offered document would be nothing new.
func (s *Store) Holds(o wire.DocumentOffer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[o.Name]
	return ok && r.holds(o)
}

// Documents returns the last good and the latest revision of a document, or
// none if the store does not hold it.
func (s *Store) Documents(name string) []wire.Document {
	s.mu.Lock()
	r := s.records[name]
	s.mu.Unlock()
	if r == nil {
		return nil
	}
	// Records in the store do not change, so the text needs no lock.
	var documents []wire.Document
	for _, held := range r.revisions() {
		documents = append(documents, held.document(name))
	}
	return documents
}

// Status lists every document with the revision in force.
func (s *Store) Status() []DocumentStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []DocumentStatus
	for _, name := range s.names() {
		r := s.records[name]
		list = append(list, DocumentStatus{Name: name, Latest: r.latest.number, InForce: r.good.number, Deleted: r.good.deleted, Rejected: r.rejected})
	}
	return list
}

// names returns the sorted names of the records. The caller holds mu.
func (s *Store) names() []string { return slices.Sorted(maps.Keys(s.records)) }

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// PlatformAge returns the time since this process, or one it heard from, last
// got an answer from the platform. It is a year if there was none.
func (s *Store) PlatformAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard.IsZero() {
		return neverHeard
	}
	return time.Since(s.heard)
}

// RecordPlatformContact notes that the platform answered somebody age ago.
func (s *Store) RecordPlatformContact(age time.Duration) {
	if age >= neverHeard {
		return
	}
	at := time.Now().Add(-max(age, 0))
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Sub(s.heard) > echoTolerance {
		s.heard = at
	}
}
