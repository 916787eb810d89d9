package link

import (
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// fetchTimeout is how long a peer may take to send a requested document before it
// is requested from another peer. After two peers that do not answer, 1 s is left
// of the 3 s within which a change must take effect.
const fetchTimeout = time.Second

// fetch is a document that was requested from a peer and has not arrived.
type fetch struct {
	from  *peer
	offer wire.DocumentOffer
	// alternatives holds the offers of other peers.
	alternatives []peerOffer
}

type peerOffer struct {
	sender *peer
	offer  wire.DocumentOffer
}

// receiveOffer requests the offered documents that are not in the store and that
// have not been requested from another peer.
func (p *peer) receiveOffer(message *wire.ConfigOffer) {
	m := p.manager
	var names []string
	m.fetchMu.Lock()
	for _, o := range message.Documents {
		if m.store.Holds(o) {
			continue
		}
		if f, requested := m.fetches[o.Name]; requested {
			f.alternatives = slices.DeleteFunc(f.alternatives, func(other peerOffer) bool { return other.sender == p })
			f.alternatives = append(f.alternatives, peerOffer{sender: p, offer: o})
			continue
		}
		m.fetches[o.Name] = &fetch{from: p, offer: o}
		names = append(names, o.Name)
	}
	m.fetchMu.Unlock()
	p.request(names)
}

// request requests documents from the peer, and requests those that do not arrive
// within fetchTimeout from other peers.
func (p *peer) request(names []string) {
	if len(names) == 0 {
		return
	}
	p.post(&wire.ConfigRequest{Names: names})
	time.AfterFunc(fetchTimeout, func() { p.manager.requestFromOthers(p, names) })
}

// documentReply is a placeholder in the outbox for the requested documents. The
// writing goroutine reads them from the store as it sends them, which avoids
// holding all of them in memory.
type documentReply struct {
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
		if size < splitBytes && i < len(names)-1 {
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

// completeFetches ends the fetches of documents that arrived. If a newer revision
// has been offered in the meantime, it is requested.
func (m *Manager) completeFetches(from *peer, documents []wire.Document) {
	m.fetchMu.Lock()
	requests := map[*peer][]string{}
	for _, d := range documents {
		if f, ok := m.fetches[d.Name]; ok && (f.from == from || m.store.Holds(f.offer)) {
			m.requestNext(d.Name, f, requests)
		}
	}
	m.fetchMu.Unlock()
	sendRequests(requests)
}

// requestFromOthers requests the documents that a peer did not send from other
// peers. If names is nil, the link to the peer ended, and all documents requested
// from it are requested from others.
func (m *Manager) requestFromOthers(from *peer, names []string) {
	m.fetchMu.Lock()
	requests := map[*peer][]string{}
	for name, f := range m.fetches {
		if names == nil {
			f.alternatives = slices.DeleteFunc(f.alternatives, func(o peerOffer) bool { return o.sender == from })
		}
		if f.from == from && (names == nil || slices.Contains(names, name)) {
			m.requestNext(name, f, requests)
		}
	}
	m.fetchMu.Unlock()
	sendRequests(requests)
}

// requestNext adds the document to the requests for the next peer whose offer is
// not in the store, or ends the fetch if there is none. A document that is still
// missing is then found by the comparison of configuration hashes. The caller must
// hold fetchMu.
func (m *Manager) requestNext(name string, f *fetch, requests map[*peer][]string) {
	for len(f.alternatives) > 0 {
		o := f.alternatives[0]
		f.alternatives = f.alternatives[1:]
		if !m.store.Holds(o.offer) {
			f.from, f.offer = o.sender, o.offer
			requests[o.sender] = append(requests[o.sender], name)
			return
		}
	}
	delete(m.fetches, name)
}

func sendRequests(requests map[*peer][]string) {
	for p, names := range requests {
		p.request(names)
	}
}
