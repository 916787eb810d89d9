// Package entry implements the entry process: it terminates callers' HTTP, admits
// and routes requests, and relays the answers of the agents.
package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

// Run runs an entry process and logs to w. It returns nil after a graceful
// shutdown, which starts when ctx is done, and an error if the process cannot
// start or a component fails.
func Run(ctx context.Context, c settings.EntryConfig, w io.Writer) error {
	if err := validate(c); err != nil {
		return err
	}
	p, err := provision(c, w)
	if err != nil {
		return err
	}
	return errors.Join(p.run(ctx), p.cleanup())
}

// run serves until the process has left or a component fails. The components
// outlive ctx, because a leaving process still serves.
func (p *process) run(ctx context.Context) error {
	defer context.AfterFunc(ctx, p.drain)()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return p.links.Run(running) })
	group.Go(func() error { return p.newWatcher().Run(running) })
	group.Go(func() error { return p.admin.Run(running) })
	group.Go(func() error { p.updateVMs(running); return nil })
	group.Go(func() error { p.pauses.watch(running, p.handlePause); return nil })
	group.Go(func() error { p.newController().Run(running); return nil })
	group.Go(p.serve)
	group.Go(func() error {
		p.leave(running)
		stop()
		return nil
	})
	p.recorder.Record("entry.started", "", events.F("callers", p.self.CallerAddress))
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (p *process) serve() error {
	if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// handlePause expires the view of the fleet after a pause of the process.
func (p *process) handlePause(late time.Duration) {
	p.view.ExpireAll()
	p.recorder.Record("entry.paused", "", events.F("late_ms", late.Milliseconds()))
}
