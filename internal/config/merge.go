package config

import (
	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// merge collects the changes of one Merge or MergeListing call. It works on copies
// of the records, so readers see either all of its changes or none.
type merge struct {
	store   *Store
	records map[string]*record
	// changes holds the new revisions in the order in which they were merged.
	changes []wire.DocumentOffer
	// newDocuments holds the new revisions to push to peers. Large ones are listed
	// in offers instead.
	newDocuments []wire.Document
	offers       []wire.DocumentOffer
	listings     listings
	// highestRevision is the highest platform revision among the merged documents.
	highestRevision uint64
}

func (s *Store) newMerge() *merge {
	return &merge{store: s, records: map[string]*record{}, listings: s.listings}
}

// record returns the working copy of a record. Only merges write to the store,
// and the caller holds mergeMu, so reading the store needs no lock.
func (m *merge) record(name string) *record {
	if r, ok := m.records[name]; ok {
		return r
	}
	r := &record{}
	if kept, ok := m.store.records[name]; ok {
		*r = *kept
	} else if name != VMListDocument {
		r.lackedBy = m.listings
	}
	m.records[name] = r
	return r
}

// maxNameBytes bounds a document's name; documents with longer names are ignored.
const maxNameBytes = 256

func (m *merge) add(d wire.Document) {
	if d.Name == "" || len(d.Name) > maxNameBytes || d.Revision == 0 {
		return
	}
	if d.Name != VMListDocument {
		m.highestRevision = max(m.highestRevision, d.Revision)
	}
	r := m.record(d.Name)
	r.applyAbsences(d.Name, historyOf(d.Revision))
	if !r.needs(d) {
		return
	}
	reason := ""
	if err := validate(d); err != nil {
		reason = err.Error()
	}
	if r.advance(d, reason) {
		m.changed(d)
	}
}

func (m *merge) changed(d wire.Document) {
	m.changes = append(m.changes, Offer(d))
	m.newDocuments = append(m.newDocuments, d)
}

// convertLargeToOffer replaces the last new document with an offer if its body has
// at least compressThresholdBytes bytes.
func (m *merge) convertLargeToOffer() {
	last := len(m.newDocuments) - 1
	if last < 0 || len(m.newDocuments[last].Body) < compressThresholdBytes {
		return
	}
	m.offers = append(m.offers, Offer(m.newDocuments[last]))
	m.newDocuments[last] = wire.Document{}
	m.newDocuments = m.newDocuments[:last]
}

// addAbsent records which known documents a full listing lacks. The listing covers documents
// that become known later: they were absent from it too.
func (m *merge) addAbsent(present map[string]bool, l listing) {
	for _, name := range m.store.names() {
		if present[name] {
			continue
		}
		if r := m.record(name); r.recordAbsence(name, l) {
			m.changed(wire.Document{Name: name, Revision: r.good.number, Deleted: true})
		}
	}
	m.listings = m.listings.with(l)
	m.highestRevision = max(m.highestRevision, l.revision)
}

// finish puts the changes in force and returns the new documents to push to peers.
func (m *merge) finish(storeRevision uint64) []wire.Document {
	before := m.previousGood()
	m.publish(storeRevision)
	if m.configurationChanged(before) {
		m.store.effective.Store(m.store.evaluator.ComputeSources(m.store.effectiveSources()))
	}
	m.publishVMs()
	if len(m.changes) > 0 {
		m.store.notifyChange()
	}
	m.recordEvents(before)
	return m.newDocuments
}

func (m *merge) previousGood() map[string]revision {
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
	s.listings = m.listings
	s.revision = max(s.revision, storeRevision, m.highestRevision)
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

// effectiveSources returns the last valid revision of each configuration document.
func (s *Store) effectiveSources() []dynamic.Source {
	var good []dynamic.Source
	for name, r := range s.records {
		if name != VMListDocument && r.good.number > 0 && !r.good.deleted {
			good = append(good, r.good.source(name))
		}
	}
	return good
}

func (s *Store) notifyChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// recordEvents records an event for each change that is still the latest revision
// of its document. A listing raises the revision of earlier deletions; that is not
// recorded again.
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
	case r.rejectReason != "":
		m.store.recorder.Record("config.rejected", "", append(fields, events.F("reason", r.rejectReason))...)
	case r.latest.deleted:
		m.store.recorder.Record("config.deleted", "", fields...)
	default:
		m.store.recorder.Record("config.accepted", "", fields...)
	}
}
