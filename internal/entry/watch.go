package entry

import (
	"context"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// newWatcher returns the reader of the platform's documents.
func (p *process) newWatcher() *config.Watcher {
	return config.NewWatcher(config.WatcherConfig{
		URL: p.config.PlatformURL, Store: p.store, Reader: p.view.Reader, Recorder: p.recorder,
		Push: func(documents []wire.Document) { p.links.PublishDocuments(documents, p.store.Revision()) },
	})
}

// feedVMs hands every new VM list to the member view and begins to leave when
// the list says so.
func (p *process) feedVMs(ctx context.Context) {
	for {
		changed := p.store.Changed()
		vms := p.store.VMs()
		p.view.SetVMs(vms)
		if p.listedLeaving(vms) {
			p.drain()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (p *process) listedLeaving(vms []config.VM) bool {
	for _, vm := range vms {
		if vm.Name == p.self.Process && vm.State == config.VMLeaving {
			return true
		}
	}
	return false
}
