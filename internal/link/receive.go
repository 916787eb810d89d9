package link

import (
	"fmt"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// maxPlatformAgeMS is the platform age in milliseconds at and above which the
// age in a heartbeat is ignored. The limit prevents an overflow of the
// duration.
const maxPlatformAgeMS = int64(24 * time.Hour / time.Millisecond)

func (p *peer) read() error {
	for {
		p.stream.SetReadDeadline(time.Now().Add(controlTimeout))
		message, err := p.stream.Receive()
		if err != nil {
			return err
		}
		if err := p.receive(message); err != nil {
			return err
		}
	}
}

func (p *peer) receive(message wire.Message) error {
	switch message := message.(type) {
	case *wire.Heartbeat:
		p.receiveHeartbeat(message)
		return nil
	case *wire.ConfigDigest:
		p.receiveDigest(message)
		return nil
	case *wire.ConfigDocs:
		p.receiveDocuments(message)
		return nil
	case *wire.ConfigOffer:
		p.receiveOffer(message)
		return nil
	case *wire.ConfigRequest:
		p.post(documentReply{names: message.Names})
		return nil
	case *wire.Suspicions:
		p.receiveSuspicions(message)
		return nil
	case *wire.SuspicionAck:
		return p.receiveAck(message)
	}
	return p.receiveByRole(message)
}

func (p *peer) receiveByRole(message wire.Message) error {
	switch message := message.(type) {
	case *wire.Report:
		if p.hello.Role == fleet.RoleAgent {
			p.manager.View.RecordReport(p.hello, *message)
			return nil
		}
	case *wire.Members:
		if p.hello.Role == fleet.RoleEntry {
			p.manager.View.MergeGossip(message.Members)
			return nil
		}
	}
	return fmt.Errorf("%w: %T from %s", errProtocol, message, p.hello.Role)
}

func (p *peer) receiveHeartbeat(heartbeat *wire.Heartbeat) {
	p.manager.View.RecordHeartbeat(p.hello, *heartbeat)
	if age := heartbeat.PlatformAge; age >= 0 && age < maxPlatformAgeMS {
		p.manager.store.RecordPlatformContact(time.Duration(age) * time.Millisecond)
	}
	p.compareConfiguration(heartbeat.ConfigHash)
	if p.repliesToHeartbeats() && time.Since(p.repliedAt) >= replyGap {
		p.repliedAt = time.Now()
		p.push()
	}
	p.mu.Lock()
	first := !p.heartbeatReceived
	p.heartbeatReceived = true
	p.mu.Unlock()
	if first {
		p.notifyReady()
	}
}

// notifyReady wakes the goroutines that wait for a link.
func (p *peer) notifyReady() {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	p.manager.notifyChanged()
}
