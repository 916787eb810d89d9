package entry

import (
	"context"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

// leaveNoticeTime is the time within which linked peers learn that this process is
// leaving: a lost notice is repeated by the next heartbeat after 1 s. Until then
// the peers return this process in address answers, which callers keep for a whole
// address lifetime.
const leaveNoticeTime = time.Second

// drain starts a graceful shutdown and returns immediately. It cannot be undone.
func (p *process) drain() {
	p.leaveOnce.Do(func() {
		p.stop.Plan(time.Now().Add(p.serveTime() + time.Duration(p.config.DrainTimeout)))
		close(p.leaving)
	})
}

// serveTime is how long a leaving process serves callers whose address answers name it.
func (p *process) serveTime() time.Duration {
	return time.Duration(p.config.AddressLifetime) + leaveNoticeTime
}

func (p *process) isLeaving() bool {
	select {
	case <-p.leaving:
		return true
	default:
		return false
	}
}

// leave waits for the drain and then shuts down in three steps: it notifies the
// peers, serves callers until the address answers that they hold have expired, and
// waits for open requests to end.
func (p *process) leave(ctx context.Context) {
	defer func() { _ = p.server.Close() }()
	select {
	case <-p.leaving:
	case <-ctx.Done():
		return
	}
	p.recorder.Record("entry.leaving", "", events.F("in_flight", p.frontend.inFlight.Load()))
	p.view.SetLeaving()
	p.links.Push()
	select {
	case <-time.After(p.serveTime()):
	case <-ctx.Done():
		return
	}
	bounded, cancel := context.WithTimeout(ctx, time.Duration(p.config.DrainTimeout))
	defer cancel()
	if err := p.server.Shutdown(bounded); err != nil {
		p.recorder.Record("entry.drain_timeout", "", events.F("in_flight", p.frontend.inFlight.Load()))
	}
}
