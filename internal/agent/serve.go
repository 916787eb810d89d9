package agent

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

const (
	// reportSpacing keeps the reports on changes at 20 a second.
	reportSpacing = 50 * time.Millisecond
	// openRunsPoll is how often a leaving agent checks for open runs.
	openRunsPoll = 20 * time.Millisecond
	// vmListPoll is how often the VM list is read when no change is signaled.
	vmListPoll = time.Second
)

// serve runs the agent's parts until a graceful shutdown has ended.
func (a *agent) serve(ctx context.Context) error {
	// The links outlive ctx, because open requests are answered over them.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return a.manager.Run(running) })
	group.Go(func() error { return a.admin.Run(running) })
	group.Go(func() error { a.probeLoop(running); return nil })
	group.Go(func() error { a.reportLoop(running); return nil })
	group.Go(func() error { a.watchVMList(running); return nil })
	group.Go(func() error { a.newCoordinator().Run(running); return nil })
	a.recorder.Record("agent.started", "", events.F("server", a.config.BackendServer.Name))
	a.waitForLeaving(ctx, running)
	a.shutDown(running)
	stop()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (a *agent) waitForLeaving(ctx, running context.Context) {
	select {
	case <-ctx.Done():
	case <-a.drain:
	case <-running.Done(): // a listener failed
	}
}

// requestDrain begins the graceful shutdown.
func (a *agent) requestDrain() { a.drainOnce.Do(func() { close(a.drain) }) }

// leave makes the agent refuse new work from now on.
func (a *agent) leave(cause string) {
	if !a.leaving.CompareAndSwap(false, true) {
		return
	}
	if a.view != nil {
		a.view.SetLeaving()
	}
	a.recorder.Record("agent.leaving", "", events.F("cause", cause))
	a.notify()
}

// shutDown finishes open runs and answers for tickets until they have expired.
func (a *agent) shutDown(running context.Context) {
	a.leave("shutdown")
	linger := time.After(a.config.TicketLinger.Std())
	timeout := time.After(a.config.DrainTimeout.Std())
	poll := time.NewTicker(openRunsPoll)
	defer poll.Stop()
	lingered := false
	for !lingered || a.runs.open() > 0 || a.calls.Load() > 0 {
		select {
		case <-linger:
			lingered = true
		case <-poll.C:
		case <-running.Done():
			return
		case <-timeout:
			a.recorder.Record("agent.drain_timeout", "", events.F("open", a.runs.open()), events.F("streams", a.calls.Load()))
			a.stopRuns()
			return
		}
	}
	a.recorder.Record("agent.stopped", "")
}

// stopRuns ends the runs that are still open after the drain timeout.
func (a *agent) stopRuns() {
	for _, r := range a.runs.all() {
		r.stop(leavingError())
		r.cancel(leavingError())
	}
}

// reportLoop pushes a report after changes.
func (a *agent) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.changed:
			a.links.Push()
		}
		if !sleep(ctx, reportSpacing) {
			return
		}
	}
}

// watchVMList starts leaving when the platform's VM list says so.
func (a *agent) watchVMList(ctx context.Context) {
	notice := config.NewLeaveNotice(a.process, a.started)
	for {
		changed := a.store.Changed()
		if notice.Leaving(a.store.VMs(), time.Now()) {
			a.leave("vm_list")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(vmListPoll):
		}
	}
}

// sleep waits for d and returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
