// Package config holds the platform's documents. Every process merges documents
// by the same rule, so the order, repetition and staleness of what it receives
// do not matter and nothing reverts.
package config

import (
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

// Store holds the latest and the last good revision of each document. It is
// safe for concurrent use.
type Store struct{}

// NewStore returns an empty store that records what it accepts and rejects.
func NewStore(recorder *events.Recorder) *Store { return &Store{} }

// Merge adds documents from the platform or a peer and returns those that were
// new to this process, for passing on.
func (s *Store) Merge(documents []wire.Document, storeRevision uint64) []wire.Document { return nil }

// MergeListing adds a complete listing at a platform revision: a document that
// the listing lacks and whose revision is lower becomes deleted.
func (s *Store) MergeListing(documents []wire.Document, revision uint64) []wire.Document { return nil }

// Effective returns the configuration in force. It is never nil.
func (s *Store) Effective() *dynamic.Effective { return &dynamic.Effective{ShareScale: 1} }

// Ready reports whether the store holds any document.
func (s *Store) Ready() bool { return false }

// VMs returns the newest VM list.
func (s *Store) VMs() []VM { return nil }

// Hash summarises the revisions held; equal stores have equal hashes.
func (s *Store) Hash() uint64 { return 0 }

// Revision returns the highest platform revision seen.
func (s *Store) Revision() uint64 { return 0 }

// Digest lists the revisions held.
func (s *Store) Digest() wire.ConfigDigest { return wire.ConfigDigest{} }

// Missing returns the documents that the sender of a digest lacks.
func (s *Store) Missing(d wire.ConfigDigest) []wire.Document { return nil }

// Status lists every document with the revision in force.
func (s *Store) Status() []DocumentStatus { return nil }

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} { return nil }

// PlatformAge returns the time since this process, or one it heard from, last
// got an answer from the platform.
func (s *Store) PlatformAge() time.Duration { return 0 }

// HeardPlatform notes that the platform answered somebody age ago.
func (s *Store) HeardPlatform(age time.Duration) {}
