package link

import (
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// fetchTimeout is how long a peer may take to send an offered document before
// another one is asked. Two peers that do not answer leave 1 s of the 3 s in
// which a change must be in force.
const fetchTimeout = time.Second

// fetch is a document that one peer was asked for.
type fetch struct {
	from  *peer
	offer wire.DocumentOffer
	// others holds the offers of further peers.
	others []offered
}

type offered struct {
	by    *peer
	offer wire.DocumentOffer
}

// receiveOffer asks for the offered documents that the store lacks and that no
// other peer was asked for.
func (p *peer) receiveOffer(message *wire.ConfigOffer) {
	m := p.manager
	var names []string
	m.fetchMu.Lock()
	for _, o := range message.Documents {
		if m.store.Holds(o) {
			continue
		}
		if f, asked := m.fetches[o.Name]; asked {
			f.others = slices.DeleteFunc(f.others, func(other offered) bool { return other.by == p })
			f.others = append(f.others, offered{by: p, offer: o})
			continue
		}
		m.fetches[o.Name] = &fetch{from: p, offer: o}
		names = append(names, o.Name)
	}
	m.fetchMu.Unlock()
	p.ask(names)
}

// ask requests documents, and asks other peers for those that do not arrive.
func (p *peer) ask(names []string) {
	if len(names) == 0 {
		return
	}
	p.post(&wire.ConfigRequest{Names: names})
	time.AfterFunc(fetchTimeout, func() { p.manager.askElsewhere(p, names) })
}

// answer stands for the documents of a request in the outbox. The writing
// goroutine reads them as it sends them, so that they are not in memory together.
type answer struct {
	*wire.ConfigDocs
	names []string
}

func (p *peer) sendDocuments(names []string) error {
	store := p.manager.store
	var documents []wire.Document
	size := 0
	for i, name := range names {
		for _, d := range store.Documents(name) {
			documents = append(documents, d)
			size += len(d.Body)
		}
		if size < documentsBytes && i < len(names)-1 {
			continue
		}
		for _, message := range splitDocuments(documents, store.Revision()) {
			if err := p.send(message); err != nil {
				return err
			}
		}
		documents, size = nil, 0
	}
	return nil
}

// fetched ends the fetches of documents that arrived. A newer revision that was
// offered in the meantime is asked for.
func (m *Manager) fetched(from *peer, documents []wire.Document) {
	m.fetchMu.Lock()
	requests := map[*peer][]string{}
	for _, d := range documents {
		if f, ok := m.fetches[d.Name]; ok && (f.from == from || m.store.Holds(f.offer)) {
			m.next(d.Name, f, requests)
		}
	}
	m.fetchMu.Unlock()
	send(requests)
}

// askElsewhere asks other peers for the documents that a peer did not send. No
// names means all of them, because its link ended.
func (m *Manager) askElsewhere(from *peer, names []string) {
	m.fetchMu.Lock()
	requests := map[*peer][]string{}
	for name, f := range m.fetches {
		if names == nil {
			f.others = slices.DeleteFunc(f.others, func(o offered) bool { return o.by == from })
		}
		if f.from == from && (names == nil || slices.Contains(names, name)) {
			m.next(name, f, requests)
		}
	}
	m.fetchMu.Unlock()
	send(requests)
}

// next adds a request to the next peer that offered something new, or ends the
// fetch. What is still missing then is found by comparing the configuration.
// The caller holds fetchMu.
func (m *Manager) next(name string, f *fetch, requests map[*peer][]string) {
	for len(f.others) > 0 {
		o := f.others[0]
		f.others = f.others[1:]
		if !m.store.Holds(o.offer) {
			f.from, f.offer = o.by, o.offer
			requests[o.by] = append(requests[o.by], name)
			return
		}
	}
	delete(m.fetches, name)
}

func send(requests map[*peer][]string) {
	for p, names := range requests {
		p.ask(names)
	}
}
