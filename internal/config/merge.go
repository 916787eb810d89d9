package config

import (
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// merge collects the changes of one call. It works on copies of the records,
// so readers see either all of its changes or none.
type merge struct {
	store   *Store
	records map[string]*record
	// order holds the names of changed records in the order of their change.
	order []string
	// fresh holds the revisions to pass on.
	fresh  []wire.Document
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

func (m *merge) addAll(documents []wire.Document) {
	for _, d := range documents {
		m.add(bound(d))
	}
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
	m.order = append(m.order, d.Name)
	m.fresh = append(m.fresh, d)
}

// addAbsent notes that a full listing lacks documents. Documents that become
// known later were absent too, which listed keeps.
func (m *merge) addAbsent(listing []wire.Document, revision uint64) {
	present := make(map[string]bool, len(listing)+1)
	present[VMListDocument] = true
	for _, d := range listing {
		present[d.Name] = true
	}
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
		m.store.effective.Store(m.store.computer.Compute(m.store.inForce()))
	}
	m.publishVMs()
	if len(m.order) > 0 {
		m.store.signal()
	}
	m.recordEvents(before)
	return m.fresh
}

func (m *merge) goodBefore() map[string]wire.Document {
	before := make(map[string]wire.Document, len(m.records))
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

func (m *merge) configurationChanged(before map[string]wire.Document) bool {
	for name, r := range m.records {
		if name != VMListDocument && r.good != before[name] {
			return true
		}
	}
	return false
}

func (m *merge) publishVMs() {
	r, ok := m.records[VMListDocument]
	if !ok || r.good.Revision == 0 {
		return
	}
	if vms, err := parseVMs(r.good); err == nil {
		m.store.vms.Store(&vms)
	}
}

// inForce returns the last good documents of the configuration.
func (s *Store) inForce() []wire.Document {
	var good []wire.Document
	for name, r := range s.records {
		if name != VMListDocument && r.good.Revision > 0 && !r.good.Deleted {
			good = append(good, r.good)
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
func (m *merge) recordEvents(before map[string]wire.Document) {
	if m.store.recorder == nil {
		return
	}
	for _, d := range m.fresh {
		r := m.records[d.Name]
		repeated := d.Deleted && before[d.Name].Deleted
		if r.latest == d && !repeated {
			m.recordOutcome(d, r.rejected)
		}
	}
}

func (m *merge) recordOutcome(d wire.Document, rejected string) {
	fields := []events.Field{events.F("document", d.Name), events.F("revision", d.Revision)}
	switch {
	case rejected != "":
		m.store.recorder.Record("config.rejected", "", append(fields, events.F("reason", rejected))...)
	case d.Deleted:
		m.store.recorder.Record("config.deleted", "", fields...)
	default:
		m.store.recorder.Record("config.accepted", "", fields...)
	}
}
