package entry

import (
	"context"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// newWatcher returns the watcher that reads the platform's documents.
func (p *process) newWatcher() *config.Watcher {
	return config.NewWatcher(config.WatcherConfig{
		URL: p.config.PlatformURL, Store: p.store, IsReader: p.view.ReadsPlatform, Recorder: p.recorder,
		Push:  func(documents []wire.Document) { p.links.PublishDocuments(documents, p.store.Revision()) },
		Offer: func(offers []wire.DocumentOffer) { p.links.PublishOffers(offers, p.store.Revision()) },
	})
}

// vmListPollInterval is how often the VM list is read if no change is signaled.
const vmListPollInterval = 5 * time.Second

// updateVMs passes every new VM list to the member view and starts the drain when
// the list marks this process as leaving.
func (p *process) updateVMs(ctx context.Context) {
	notice := config.NewLeaveNotice(p.self.Process, time.Now())
	for {
		changed := p.store.Changed()
		vms := p.store.VMs()
		p.view.SetVMs(vms)
		if notice.Leaving(vms, time.Now()) {
			p.drain()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(vmListPollInterval):
		case <-changed:
		}
	}
}
