package link

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// acknowledgeLimit bounds the wait in PublishSuspicions.
	acknowledgeLimit = 300 * time.Millisecond
	// suspicionsPerMessage keeps a message far below the frame bound.
	suspicionsPerMessage = 512
)

// PublishSuspicions sends suspicions over every link and waits for the
// acknowledgements, at most 300 ms.
func (m *Manager) PublishSuspicions(ctx context.Context, suspicions []wire.Suspicion) {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeLimit)
	defer cancel()
	for _, acknowledged := range m.spreadSuspicions(suspicions, nil) {
		select {
		case <-acknowledged:
		case <-ctx.Done():
			return
		}
	}
}

// spreadSuspicions sends over every link but one and returns channels that are
// closed at the acknowledgement or the end of the link.
func (m *Manager) spreadSuspicions(suspicions []wire.Suspicion, without *peer) []chan struct{} {
	var waits []chan struct{}
	for _, p := range m.peers(without) {
		for part := range slices.Chunk(suspicions, suspicionsPerMessage) {
			waits = append(waits, p.postSuspicions(part))
		}
	}
	return waits
}

func (p *peer) postSuspicions(suspicions []wire.Suspicion) chan struct{} {
	sequence := p.manager.sequence.Add(1)
	acknowledged := make(chan struct{})
	p.mu.Lock()
	if p.pending == nil {
		close(acknowledged)
	} else {
		p.pending[sequence] = acknowledged
	}
	p.mu.Unlock()
	p.post(&wire.Suspicions{Sequence: sequence, Suspicions: suspicions})
	return acknowledged
}

// sendList sends the full list directly, before the first heartbeat.
func (p *peer) sendList() {
	var waits []chan struct{}
	for part := range slices.Chunk(p.manager.Quarantine.List(), suspicionsPerMessage) {
		waits = append(waits, p.postSuspicions(part))
	}
	if len(waits) == 0 {
		waits = append(waits, p.postSuspicions(nil))
	}
	go func() {
		for _, acknowledged := range waits {
			<-acknowledged
		}
		p.mu.Lock()
		p.listAcked = p.pending != nil
		p.mu.Unlock()
		p.signalReady()
	}()
}

func (p *peer) receiveSuspicions(message *wire.Suspicions) {
	news := p.manager.Quarantine.Merge(message.Suspicions)
	p.post(&wire.SuspicionAck{Sequence: message.Sequence})
	if len(news) > 0 {
		p.manager.spreadSuspicions(news, p)
	}
}

func (p *peer) receiveAck(message *wire.SuspicionAck) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	acknowledged, ok := p.pending[message.Sequence]
	if !ok {
		return fmt.Errorf("%w: acknowledgement of %d, which is not pending", errProtocol, message.Sequence)
	}
	close(acknowledged)
	delete(p.pending, message.Sequence)
	return nil
}

// endPending ends the waits when the link is gone.
func (p *peer) endPending() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, acknowledged := range p.pending {
		close(acknowledged)
	}
	p.pending = nil
}
