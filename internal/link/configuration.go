package link

import (
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// documentsBytes is the size at which ConfigDocs is split. With one more
	// document of 1 MiB a message stays within wire.MaxFrameBytes.
	documentsBytes = 512 << 10
	// documentOverhead estimates the encoded fields beside name and body.
	documentOverhead = 32
)

// PublishDocuments sends documents over every link. The platform watcher calls
// it with what Store.Merge returned.
func (m *Manager) PublishDocuments(documents []wire.Document, storeRevision uint64) {
	m.forward(documents, storeRevision, nil)
}

func (m *Manager) forward(documents []wire.Document, storeRevision uint64, from *peer) {
	messages := splitDocuments(documents, storeRevision)
	for _, p := range m.peers(from) {
		for _, message := range messages {
			p.post(message)
		}
	}
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
	missing := p.manager.store.Missing(*digest)
	for _, message := range splitDocuments(missing, p.manager.store.Revision()) {
		p.post(message)
	}
}

func (p *peer) receiveDocuments(message *wire.ConfigDocs) {
	news := p.manager.store.Merge(message.Documents, message.StoreRevision)
	// Entry VMs push to each other. An agent passes documents on only when a
	// heartbeat shows that an entry VM lacks them.
	if p.manager.View.Self().Role == fleet.RoleEntry {
		p.manager.forward(news, message.StoreRevision, p)
	}
}
