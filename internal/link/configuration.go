package link

import (
	"slices"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// documentsBytes is the size at which ConfigDocs is split. With one more
	// document of 1 MiB a message stays within wire.MaxFrameBytes.
	documentsBytes = 512 << 10
	// documentOverhead estimates the encoded fields beside name and body.
	documentOverhead = 32
	// pushedBytes is the size up to which a document is sent over every link at
	// once. An entry VM has 40 links, so a larger one would be sent 40 times.
	pushedBytes = 4 << 10
	// offersPerMessage keeps offers with names of 256 bytes within a frame.
	offersPerMessage = 4096
)

// PublishDocuments sends documents over every link. The platform watcher calls
// it with what Store.Merge returned.
func (m *Manager) PublishDocuments(documents []wire.Document, storeRevision uint64) {
	m.forward(announce(documents, storeRevision), nil)
}

// PublishOffers offers documents over every link.
func (m *Manager) PublishOffers(offers []wire.DocumentOffer, storeRevision uint64) {
	m.forward(announcement(nil, offers, storeRevision), nil)
}

func (m *Manager) forward(messages []wire.Message, from *peer) {
	for _, p := range m.peers(from) {
		for _, message := range messages {
			p.post(message)
		}
	}
}

// announce returns the messages that tell a peer of documents: small ones
// themselves, and offers of the others.
func announce(documents []wire.Document, storeRevision uint64) []wire.Message {
	var small []wire.Document
	var offers []wire.DocumentOffer
	for _, d := range documents {
		if len(d.Body) <= pushedBytes {
			small = append(small, d)
		} else {
			offers = append(offers, config.Offer(d))
		}
	}
	return announcement(small, offers, storeRevision)
}

func announcement(small []wire.Document, offers []wire.DocumentOffer, storeRevision uint64) []wire.Message {
	messages := splitDocuments(small, storeRevision)
	for chunk := range slices.Chunk(offers, offersPerMessage) {
		messages = append(messages, &wire.ConfigOffer{Documents: chunk, StoreRevision: storeRevision})
	}
	return messages
}

// splitDocuments divides documents over messages that fit a frame.
func splitDocuments(documents []wire.Document, storeRevision uint64) []wire.Message {
	var messages []wire.Message
	for start := 0; start < len(documents); {
		end, size := start, 0
		for end < len(documents) && size < documentsBytes {
			size += len(documents[end].Name) + len(documents[end].Body) + documentOverhead
			end++
		}
		messages = append(messages, &wire.ConfigDocs{Documents: documents[start:end], StoreRevision: storeRevision})
		start = end
	}
	return messages
}

// compareConfiguration starts an exchange on the dialing side when the hashes
// differ at the first heartbeat, or at two in a row: a single difference is
// usually a pushed document that is still under way.
func (p *peer) compareConfiguration(hash uint64) {
	p.heartbeats++
	if hash == p.manager.store.Hash() {
		p.mismatches = 0
		return
	}
	p.mismatches++
	if p.dialed && (p.heartbeats == 1 || p.mismatches >= 2) {
		p.mismatches = 0
		p.sendDigest(true)
	}
}

func (p *peer) sendDigest(reply bool) {
	digest := p.manager.store.Digest()
	digest.Reply = reply
	p.post(&digest)
}

func (p *peer) receiveDigest(digest *wire.ConfigDigest) {
	if digest.Reply {
		p.sendDigest(false)
	}
	small, offers := p.manager.store.Missing(*digest, pushedBytes)
	for _, message := range announcement(small, offers, p.manager.store.Revision()) {
		p.post(message)
	}
}

func (p *peer) receiveDocuments(message *wire.ConfigDocs) {
	news := p.manager.store.Merge(message.Documents, message.StoreRevision)
	p.manager.fetched(p, message.Documents)
	// Entry VMs push to each other. An agent passes documents on only when a
	// heartbeat shows that an entry VM lacks them.
	if p.manager.View.Self().Role == fleet.RoleEntry {
		p.manager.forward(announce(news, message.StoreRevision), p)
	}
}
