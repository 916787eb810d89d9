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
	// minReportInterval limits reports on changes to 20 per second.
	minReportInterval = 50 * time.Millisecond
	// drainPollInterval is how often a leaving agent checks for open runs.
	drainPollInterval = 20 * time.Millisecond
	// vmListPollInterval is how often the VM list is checked when no change is
	// signaled.
	vmListPollInterval = time.Second
)

// serve runs the agent until it has shut down gracefully or a listener fails.
func (a *agent) serve(ctx context.Context) error {
	// The links must outlive ctx, because open requests are answered over them.
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

// requestDrain starts the graceful shutdown.
func (a *agent) requestDrain() { a.drainOnce.Do(func() { close(a.drain) }) }

// startLeaving makes the agent refuse new requests and notify its peers that it
// is leaving.
func (a *agent) startLeaving(cause string) {
	if !a.leaving.CompareAndSwap(false, true) {
		return
	}
	if a.view != nil {
		a.view.SetLeaving()
	}
	a.recorder.Record("agent.leaving", "", events.F("cause", cause))
	a.triggerReport()
}

// shutDown waits until all open runs have ended, their answers are delivered
// and the linger time has passed, during which the agent still answers for
// issued tickets until they have expired. After the drain timeout it ends the
// remaining runs.
func (a *agent) shutDown(running context.Context) {
	a.startLeaving("shutdown")
	linger := time.After(a.config.TicketLinger.Std())
	timeout := time.After(a.config.DrainTimeout.Std())
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	lingered := false
	for !lingered || a.runs.openCount() > 0 || a.openCalls.Load() > 0 {
		select {
		case <-linger:
			lingered = true
		case <-poll.C:
		case <-running.Done():
			return
		case <-timeout:
			a.recorder.Record("agent.drain_timeout", "", events.F("open", a.runs.openCount()), events.F("streams", a.openCalls.Load()))
			a.stopRuns()
			return
		}
	}
	a.recorder.Record("agent.stopped", "")
}

// stopRuns ends the runs that are open at the drain timeout.
func (a *agent) stopRuns() {
	for _, r := range a.runs.openRuns() {
		r.stop(leavingError())
		r.cancel(leavingError())
	}
}

// reportLoop sends a report after each change, at most one per
// minReportInterval.
func (a *agent) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.changed:
			a.links.Push()
		}
		if !sleep(ctx, minReportInterval) {
			return
		}
	}
}

// watchVMList starts leaving when the platform's VM list requests it.
func (a *agent) watchVMList(ctx context.Context) {
	notice := config.NewLeaveNotice(a.process, a.started)
	for {
		changed := a.store.Changed()
		if notice.Leaving(a.store.VMs(), time.Now()) {
			a.startLeaving("vm_list")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(vmListPollInterval):
		}
	}
}

// sleep waits for d. It returns false if ctx is done earlier.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
