// Package config reads the platform's documents and VM list, merges them into a
// store and decides which revision of each document is in force. Every process
// merges by the same rule, so reordered, repeated or stale documents lead to the same
// state, and no document returns to an older revision.
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

// VMListDocument is the name under which the platform's VM list is stored and
// distributed. Its revision is the list's own revision and its body is JSON.
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

// VMState is the state of a VM according to the platform.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// DocumentStatus describes which revision of a document is in force and, if the
// latest one was rejected, why.
type DocumentStatus struct {
	Name     string `json:"name"`
	Latest   uint64 `json:"latest"`
	InForce  uint64 `json:"in_force"`
	Deleted  bool   `json:"deleted,omitempty"`
	Rejected string `json:"rejected,omitempty"`
}

// noContactAge is the platform age of a process that knows of no response from the
// platform.
const noContactAge = 365 * 24 * time.Hour

// echoTolerance exceeds the transit time of a heartbeat. Ages in heartbeats do not
// include that time, so without the tolerance an age that peers report back to each
// other would hardly grow.
const echoTolerance = 100 * time.Millisecond

// Store holds the latest and the last valid revision of each document and the
// configuration that results from them. It is safe for concurrent use.
type Store struct {
	recorder  *events.Recorder
	effective atomic.Pointer[dynamic.Effective]
	vms       atomic.Pointer[[]VM]

	// mergeMu serializes merges. It is separate from mu, which is never held
	// during validation and computation.
	mergeMu sync.Mutex
	// evaluator is guarded by mergeMu.
	evaluator *dynamic.Evaluator

	mu       sync.Mutex
	records  map[string]*record
	hash     uint64
	revision uint64
	// listings holds the full listings. Documents that are still unknown were absent from
	// them.
	listings listings
	changed  chan struct{}
	// lastPlatformContact is the last time at which the platform is known to have
	// answered this process or a peer; zero means never.
	lastPlatformContact time.Time
}

// NewStore returns an empty store that records accepted, rejected and deleted
// documents as events. recorder may be nil.
func NewStore(recorder *events.Recorder) *Store {
	s := &Store{recorder: recorder, evaluator: dynamic.NewEvaluator(), records: map[string]*record{}, changed: make(chan struct{})}
	s.effective.Store(dynamic.Compute(nil))
	return s
}

// Merge adds documents from the platform or a peer and returns those that are new to
// this process and should be sent to peers.
func (s *Store) Merge(documents []wire.Document, storeRevision uint64) []wire.Document {
	s.mergeMu.Lock()
	defer s.mergeMu.Unlock()
	m := s.newMerge()
	for _, d := range documents {
		m.add(truncateBody(d))
	}
	return m.finish(storeRevision)
}

// MergeListing adds a complete listing at a platform revision. A document that the
// listing lacks is marked as deleted, unless its revision is higher or was lost when the
// platform was restored from a copy; start is the number of the revision of that copy. It
// returns the deletions and the new small documents, and offers of the new large ones.
func (s *Store) MergeListing(documents iter.Seq[wire.Document], revision, start uint64) ([]wire.Document, []wire.DocumentOffer) {
	s.mergeMu.Lock()
	defer s.mergeMu.Unlock()
	m := s.newMerge()
	present := map[string]bool{VMListDocument: true}
	for d := range documents {
		present[d.Name] = true
		m.add(truncateBody(d))
		m.convertLargeToOffer()
	}
	m.addAbsent(present, listing{revision, start})
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

// Hash returns a hash of the names and revisions in the store; equal stores have
// equal hashes.
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

// Digest returns the latest and the last valid revision number of each document.
func (s *Store) Digest() wire.ConfigDigest {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := wire.ConfigDigest{StoreRevision: s.revision}
	for _, name := range s.names() {
		r := s.records[name]
		d.Versions = append(d.Versions, wire.DocumentVersion{Name: name, Latest: r.latest.number, LastValid: r.good.number})
	}
	return d
}

// Missing returns what the sender of a digest lacks, both the latest and the last
// valid revision where they differ: documents with a body of at most limit bytes, and
// offers of the others.
func (s *Store) Missing(d wire.ConfigDigest, limit int) (documents []wire.Document, offers []wire.DocumentOffer) {
	theirs := make(map[string]wire.DocumentVersion, len(d.Versions))
	for _, v := range d.Versions {
		theirs[v.Name] = v
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.names() {
		r, v := s.records[name], theirs[name]
		if r.latest.number <= v.Latest && r.good.number <= v.LastValid {
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

// Holds reports whether the store already covers an offered document.
func (s *Store) Holds(o wire.DocumentOffer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[o.Name]
	return ok && r.holds(o)
}

// Documents returns the last valid and the latest revision of a document, or none if
// the store does not have it.
func (s *Store) Documents(name string) []wire.Document {
	s.mu.Lock()
	r := s.records[name]
	s.mu.Unlock()
	if r == nil {
		return nil
	}
	// Records in the store are immutable, so reading them needs no lock.
	var documents []wire.Document
	for _, held := range r.revisions() {
		documents = append(documents, held.document(name))
	}
	return documents
}

// Status returns the status of every document, sorted by name.
func (s *Store) Status() []DocumentStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []DocumentStatus
	for _, name := range s.names() {
		r := s.records[name]
		list = append(list, DocumentStatus{Name: name, Latest: r.latest.number, InForce: r.good.number, Deleted: r.good.deleted, Rejected: r.rejectReason})
	}
	return list
}

// names returns the sorted names of the records. The caller holds mu.
func (s *Store) names() []string { return slices.Sorted(maps.Keys(s.records)) }

// Changed returns a channel that is closed when the store next changes.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// PlatformAge returns the time since the platform last answered this process or, as
// far as known, a peer. It is a year if there was no response.
func (s *Store) PlatformAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastPlatformContact.IsZero() {
		return noContactAge
	}
	return time.Since(s.lastPlatformContact)
}

// RecordPlatformContact records that the platform answered this process or a peer
// age ago.
func (s *Store) RecordPlatformContact(age time.Duration) {
	if age >= noContactAge {
		return
	}
	at := time.Now().Add(-max(age, 0))
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Sub(s.lastPlatformContact) > echoTolerance {
		s.lastPlatformContact = at
	}
}
