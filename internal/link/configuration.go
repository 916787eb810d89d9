package link

import (
	"slices"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// splitBytes is the size in bytes at which a ConfigDocs message is full and
	// gets no more documents. A last document of 1 MiB still leaves the message
	// within wire.MaxFrameBytes.
	splitBytes = 512 << 10
	// documentOverheadBytes estimates the encoded size of a document's fields other
	// than its name and body.
	documentOverheadBytes = 32
	// maxPushedBytes is the size in bytes up to which a document is sent over every
	// link instead of being offered. An entry VM has 40 links, so a larger document
	// would be sent 40 times.
	maxPushedBytes = 4 << 10
	// offersPerMessage bounds the offers of a message. That many offers with names
	// of 256 bytes fit into a frame.
	offersPerMessage = 4096
)

// PublishDocuments sends documents over every link, or offers them if they are
// larger than 4 KiB. The platform watcher calls it with the result of
// Store.Merge.
func (m *Manager) PublishDocuments(documents []wire.Document, storeRevision uint64) {
	m.broadcast(announceDocuments(documents, storeRevision), nil)
}

// PublishOffers offers documents over every link.
func (m *Manager) PublishOffers(offers []wire.DocumentOffer, storeRevision uint64) {
	m.broadcast(announcements(nil, offers, storeRevision), nil)
}

func (m *Manager) broadcast(messages []wire.Message, from *peer) {
	for _, p := range m.peers(from) {
		for _, message := range messages {
			p.post(message)
		}
	}
}

// announceDocuments returns the messages that announce documents to a peer: the
// small documents themselves, and offers of the others.
func announceDocuments(documents []wire.Document, storeRevision uint64) []wire.Message {
	var small []wire.Document
	var offers []wire.DocumentOffer
	for _, d := range documents {
		if len(d.Body) <= maxPushedBytes {
			small = append(small, d)
		} else {
			offers = append(offers, config.Offer(d))
		}
	}
	return announcements(small, offers, storeRevision)
}

func announcements(small []wire.Document, offers []wire.DocumentOffer, storeRevision uint64) []wire.Message {
	messages := splitDocuments(small, storeRevision)
	for chunk := range slices.Chunk(offers, offersPerMessage) {
		messages = append(messages, &wire.ConfigOffer{Documents: chunk, StoreRevision: storeRevision})
	}
	return messages
}

// splitDocuments divides documents among messages that each fit into a frame.
func splitDocuments(documents []wire.Document, storeRevision uint64) []wire.Message {
	var messages []wire.Message
	for start := 0; start < len(documents); {
		end, size := start, 0
		for end < len(documents) && size < splitBytes {
			size += len(documents[end].Name) + len(documents[end].Body) + documentOverheadBytes
			end++
		}
		messages = append(messages, &wire.ConfigDocs{Documents: documents[start:end], StoreRevision: storeRevision})
		start = end
	}
	return messages
}

// compareConfiguration starts an exchange of digests on the dialing side if the
// configuration hashes differ at the first heartbeat or at two consecutive ones.
// A single later difference is usually due to a pushed document in transit.
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
	small, offers := p.manager.store.Missing(*digest, maxPushedBytes)
	for _, message := range announcements(small, offers, p.manager.store.Revision()) {
		p.post(message)
	}
}

func (p *peer) receiveDocuments(message *wire.ConfigDocs) {
	changed := p.manager.store.Merge(message.Documents, message.StoreRevision)
	p.manager.completeFetches(p, message.Documents)
	// Entry VMs push documents to each other. An agent sends documents only in
	// an exchange of digests, which a difference of the hashes in heartbeats
	// starts.
	if p.manager.View.Self().Role == fleet.RoleEntry {
		p.manager.broadcast(announceDocuments(changed, message.StoreRevision), p)
	}
}
