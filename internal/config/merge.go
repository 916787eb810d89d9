package config

import (
	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// merge collects the changes of one call. It works on copies of the records,
// so readers see either all of its changes or none.
type merge struct {
	store   *Store
	records map[string]*record
	// changes holds the new revisions in their order.
	changes []wire.DocumentOffer
	// fresh holds the revisions to pass on, and offers names those of them that
	// are not kept here.
	fresh  []wire.Document
	offers []wire.DocumentOffer
	listed uint64
	// highest is the highest platform revision of the documents.
	highest uint64
}

func (s *Store) newMerge() *merge {
	return &merge{store: s, records: map[string]*record{}, listed: s.listed}
}

// record returns the working copy of a record. Only merges write to the store,
// and the caller holds merging, so reading it needs no lock.
func (m *merge) record(name string) *record {
	if r, ok := m.records[name]; ok {
		return r
	}
	r := &record{}
	if kept, ok := m.store.records[name]; ok {
		*r = *kept
	} else if name != VMListDocument && m.listed > 0 {
		r.noteAbsent(name, m.listed)
	}
	m.records[name] = r
	return r
}

// maxNameBytes bounds the name of a document that is kept at all.
const maxNameBytes = 256

func (m *merge) add(d wire.Document) {
	if d.Name == "" || len(d.Name) > maxNameBytes || d.Revision == 0 {
		return
	}
	if d.Name != VMListDocument {
		m.highest = max(m.highest, d.Revision)
	}
	r := m.record(d.Name)
	if !r.needs(d) {
		return
	}
	reason := ""
	if err := validate(d); err != nil {
		reason = err.Error()
	}
	if r.raise(d, reason) {
		m.changed(d)
	}
}

func (m *merge) changed(d wire.Document) {
	m.changes = append(m.changes, Offer(d))
	m.fresh = append(m.fresh, d)
}

// offerLarge replaces the last new document by an offer if it is large.
func (m *merge) offerLarge() {
	last := len(m.fresh) - 1
	if last < 0 || len(m.fresh[last].Body) < packedBytes {
		return
	}
	m.offers = append(m.offers, Offer(m.fresh[last]))
	m.fresh[last] = wire.Document{}
	m.fresh = m.fresh[:last]
}

// addAbsent notes that a full listing lacks documents. Documents that become
// known later were absent too, which listed keeps.
func (m *merge) addAbsent(present map[string]bool, revision uint64) {
	for _, name := range m.store.names() {
		if present[name] {
			continue
		}
		if r := m.record(name); r.noteAbsent(name, revision) {
			m.changed(wire.Document{Name: name, Revision: revision, Deleted: true})
		}
	}
	m.listed = max(m.listed, revision)
	m.highest = max(m.highest, revision)
}

// finish puts the changes in force and returns the revisions to pass on.
func (m *merge) finish(storeRevision uint64) []wire.Document {
	before := m.goodBefore()
	m.publish(storeRevision)
	if m.configurationChanged(before) {
		m.store.effective.Store(m.store.computer.ComputeSources(m.store.inForce()))
	}
	m.publishVMs()
	if len(m.changes) > 0 {
		m.store.signal()
	}
	m.recordEvents(before)
	return m.fresh
}

func (m *merge) goodBefore() map[string]revision {
	before := make(map[string]revision, len(m.records))
	for name := range m.records {
		if r, ok := m.store.records[name]; ok {
			before[name] = r.good
		}
	}
	return before
}

func (m *merge) publish(storeRevision uint64) {
	s := m.store
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, r := range m.records {
		if old, ok := s.records[name]; ok {
			s.hash -= old.hash(name)
		}
		s.hash += r.hash(name)
		s.records[name] = r
	}
	s.listed = m.listed
	s.revision = max(s.revision, storeRevision, m.highest)
}

func (m *merge) configurationChanged(before map[string]revision) bool {
	for name, r := range m.records {
		if name != VMListDocument && r.good != before[name] {
			return true
		}
	}
	return false
}

func (m *merge) publishVMs() {
	r, ok := m.records[VMListDocument]
	if !ok || r.good.number == 0 {
		return
	}
	if vms, err := parseVMs(r.good.document(VMListDocument)); err == nil {
		m.store.vms.Store(&vms)
	}
}

// inForce returns the last good documents of the configuration.
func (s *Store) inForce() []dynamic.Source {
	var good []dynamic.Source
	for name, r := range s.records {
		if name != VMListDocument && r.good.number > 0 && !r.good.deleted {
			good = append(good, r.good.source(name))
		}
	}
	return good
}

func (s *Store) signal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// recordEvents records the outcome for each changed document that is still the
// latest. A listing moves old deletions to its revision, which is not recorded.
func (m *merge) recordEvents(before map[string]revision) {
	if m.store.recorder == nil {
		return
	}
	for _, c := range m.changes {
		r := m.records[c.Name]
		repeated := r.latest.deleted && before[c.Name].deleted
		if r.latest.offer(c.Name) == c && !repeated {
			m.recordOutcome(c, r)
		}
	}
}

func (m *merge) recordOutcome(c wire.DocumentOffer, r *record) {
	fields := []events.Field{events.F("document", c.Name), events.F("revision", c.Revision)}
	switch {
	case r.rejected != "":
		m.store.recorder.Record("config.rejected", "", append(fields, events.F("reason", r.rejected))...)
	case r.latest.deleted:
		m.store.recorder.Record("config.deleted", "", fields...)
	default:
		m.store.recorder.Record("config.accepted", "", fields...)
	}
}
