package link

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// acknowledgeTimeout bounds the wait for acknowledgements in PublishSuspicions.
	acknowledgeTimeout = 300 * time.Millisecond
	// suspicionsPerMessage bounds the suspicions of a message, which keeps it far
	// below wire.MaxFrameBytes.
	suspicionsPerMessage = 512
)

// PublishSuspicions sends suspicions over every link and waits until they are
// acknowledged or the links ended, for at most 300 ms.
func (m *Manager) PublishSuspicions(ctx context.Context, suspicions []wire.Suspicion) {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	for _, acknowledged := range m.broadcastSuspicions(suspicions, nil) {
		select {
		case <-acknowledged:
		case <-ctx.Done():
			return
		}
	}
}

// broadcastSuspicions sends suspicions over every link except the given one, which
// may be nil. It returns channels that are closed when a message is acknowledged
// or its link ends.
func (m *Manager) broadcastSuspicions(suspicions []wire.Suspicion, without *peer) []chan struct{} {
	var waits []chan struct{}
	for _, p := range m.peers(without) {
		for part := range slices.Chunk(suspicions, suspicionsPerMessage) {
			waits = append(waits, p.postSuspicions(part))
		}
	}
	return waits
}

func (p *peer) postSuspicions(suspicions []wire.Suspicion) chan struct{} {
	sequence := p.manager.suspicionSequence.Add(1)
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

// postSuspicionList queues the full list of suspicions, or an empty message if
// there are none, for sending before the first heartbeat.
func (p *peer) postSuspicionList() {
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
		p.notifyReady()
	}()
}

func (p *peer) receiveSuspicions(message *wire.Suspicions) {
	changed, cleared := p.manager.Quarantine.Receive(quarantine.Update{Suspicions: message.Suspicions})
	p.post(&wire.SuspicionAck{Sequence: message.Sequence})
	if len(changed) > 0 {
		p.manager.broadcastSuspicions(changed, p)
	}
	if len(cleared) > 0 {
		p.manager.broadcastSuspicions(cleared, nil)
	}
}

func (p *peer) receiveAck(message *wire.SuspicionAck) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	acknowledged, ok := p.pending[message.Sequence]
	if !ok {
		return fmt.Errorf("%w: acknowledged sequence number %d is not pending", errProtocol, message.Sequence)
	}
	close(acknowledged)
	delete(p.pending, message.Sequence)
	return nil
}

// endPending releases all waits for acknowledgements after the link has ended.
func (p *peer) endPending() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, acknowledged := range p.pending {
		close(acknowledged)
	}
	p.pending = nil
}
