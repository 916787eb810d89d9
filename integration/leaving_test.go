package integration

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
)

const (
	// leavingBound is the time after which a leaving server gets no new work.
	leavingBound = 3 * time.Second
	// listLag is the delay after which the platform's VM list shows a change.
	listLag = 30 * time.Second
	// arrivalPollInterval is the interval between reads of a server's count of
	// started runs.
	arrivalPollInterval = 20 * time.Millisecond
)

// arrivalWatch records when a backend server got new work.
type arrivalWatch struct {
	stop chan struct{}
	done chan struct{}
	// last is when the last new run was observed, and total the number of runs.
	last  time.Time
	total int
	err   error
}

// runsOf returns the number of runs started at an agent's backend server.
func runsOf(ctx context.Context, a *harness.Agent) (int, error) {
	if a.Settings.BackendServer.Kind == settings.KindModel {
		return a.EngineRuns(ctx)
	}
	counts, err := a.ServiceCounts(ctx)
	return counts.Total, err
}

// watchArrivals polls the server's own count, independently of the fleet's processes.
func watchArrivals(a *harness.Agent) *arrivalWatch {
	w := &arrivalWatch{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for {
			n, err := runsOf(context.Background(), a)
			if err != nil {
				w.err = err
				return
			}
			if n > w.total {
				w.total, w.last = n, time.Now()
			}
			select {
			case <-w.stop:
				return
			case <-time.After(arrivalPollInterval):
			}
		}
	}()
	return w
}

func (w *arrivalWatch) end(t *testing.T) {
	t.Helper()
	close(w.stop)
	<-w.done
	if w.err != nil {
		t.Errorf("read the server's counts: %v", w.err)
	}
}

// leavingFleet starts a fleet with relays in front of the agents and a VM list that
// shows changes after lag. The agents keep running long enough to show work that
// still arrives.
func leavingFleet(t *testing.T, lag time.Duration) *harness.Fleet {
	t.Helper()
	o := stopsOptions(3, 2, 2)
	o.UDPFaults = true
	linger := leavingBound + 3*time.Second
	o.AgentSettings = func(c *settings.AgentConfig) { c.TicketLinger = tomlfile.Duration(linger) }
	f := startFleet(t, o)
	if err := f.SetVMLag(context.Background(), lag); err != nil {
		t.Fatal(err)
	}
	return f
}

// checkNoNewWork checks that work arrived before began, the time of the leaving
// notice, and none more than 3 s after it.
func checkNoNewWork(t *testing.T, name string, w *arrivalWatch, began time.Time) time.Duration {
	t.Helper()
	w.end(t)
	last := w.last.Sub(began)
	if last > leavingBound {
		t.Errorf("%s got new work %s after it began leaving", name, last)
	}
	if last < -time.Second {
		t.Errorf("%s got no work in the second before it began leaving: the check proves nothing", name)
	}
	return max(last, 0)
}

// Guards against new work for a server whose agent received SIGTERM while the VM
// list still shows it as live, one entry VM is frozen during the notice, and the
// link between another entry VM and an agent is cut.
func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	f := leavingFleet(t, listLag)
	load := f.StartLoad(harness.LoadOptions{Account: stopsAccount, Model: stopsModel, Tokens: 30, Service: stopsService, Callers: 6, Pinned: true})
	time.Sleep(loadMargin)
	frozen := f.Entries[0]
	cut := f.Entries[1]
	engine, service := f.Agents[0], f.Agents[2]
	watches := []*arrivalWatch{watchArrivals(engine), watchArrivals(service)}
	time.Sleep(loadMargin)
	if err := frozen.Freeze(); err != nil {
		t.Fatal(err)
	}
	// Packets from an entry VM have its peer address as their source.
	drop := harness.LinkFault{Cut: true}
	if err := service.Relay.SetFaultsFor(cut.Settings.PeerAddress, drop, drop); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	for _, a := range []*harness.Agent{engine, service} {
		if err := f.SetVMState(context.Background(), a.Name, "leaving"); err != nil {
			t.Fatal(err)
		}
		if err := a.Terminate(); err != nil {
			t.Fatal(err)
		}
	}
	wantNotReady(t, engine.Settings.AdminAddress)
	wantNotReady(t, service.Settings.AdminAddress)
	time.Sleep(time.Until(began.Add(leavingBound + 200*time.Millisecond)))
	if err := frozen.Unfreeze(); err != nil {
		t.Fatal(err)
	}
	service.Relay.Heal()
	time.Sleep(time.Until(began.Add(leavingBound + 1700*time.Millisecond)))
	lastEngine := checkNoNewWork(t, "the engine", watches[0], began)
	lastService := checkNoNewWork(t, "the service", watches[1], began)
	counts := load.Stop()
	checkFrozenLoad(t, f, counts)
	proved(t, "leaving_agent", "list_lag_s", listLag.Seconds(), "calls", counts.Calls, "last_new_work_engine_ms", lastEngine.Milliseconds(),
		"last_new_work_service_ms", lastService.Milliseconds(), "runs_engine", watches[0].total, "runs_service", watches[1].total)
}

// checkFrozenLoad tolerates failed calls, which the frozen entry VM or the cut link
// can cause, but no filing that ran twice.
func checkFrozenLoad(t *testing.T, f *harness.Fleet, counts harness.LoadCounts) {
	t.Helper()
	for _, text := range counts.FaultTexts {
		t.Log(text)
	}
	runs, err := f.Runs()
	if err != nil {
		t.Fatal(err)
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("filing %s ran %d times", id, n)
		}
	}
}

// Guards against new work for a server that only the platform's VM list shows as
// leaving: its agent and the entry VMs have to act on the list.
func TestLeavingByVMListAlone(t *testing.T) {
	f := leavingFleet(t, 0)
	load := f.StartLoad(harness.LoadOptions{Account: stopsAccount, Model: stopsModel, Tokens: 30, Service: stopsService, Callers: 6, Pinned: true})
	time.Sleep(loadMargin)
	engine, service := f.Agents[1], f.Agents[3]
	watches := []*arrivalWatch{watchArrivals(engine), watchArrivals(service)}
	time.Sleep(loadMargin)
	began := time.Now()
	for _, a := range []*harness.Agent{engine, service} {
		if err := f.SetVMState(context.Background(), a.Name, "leaving"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(time.Until(began.Add(leavingBound + 500*time.Millisecond)))
	lastEngine := checkNoNewWork(t, "the engine", watches[0], began)
	lastService := checkNoNewWork(t, "the service", watches[1], began)
	wantNotReady(t, engine.Settings.AdminAddress)
	wantNotReady(t, service.Settings.AdminAddress)
	counts := load.Stop()
	checkLoad(t, f, counts)
	proved(t, "leaving_by_vm_list", "calls", counts.Calls, "cut_or_failed", counts.Faults, "refused_then_served", counts.Refused,
		"last_new_work_engine_ms", lastEngine.Milliseconds(), "last_new_work_service_ms", lastService.Milliseconds())
}
