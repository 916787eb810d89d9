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
	// listLag is how late the platform's VM list shows a change.
	listLag = 30 * time.Second
	// arrivalPoll is how often a server's count of begun runs is read.
	arrivalPoll = 20 * time.Millisecond
)

// arrivals watches when a backend server got new work.
type arrivals struct {
	stop chan struct{}
	done chan struct{}
	// last is when the last new run was seen, and total the number of runs.
	last  time.Time
	total int
	err   error
}

// runsOf returns the number of runs that began at an agent's backend server.
func runsOf(ctx context.Context, a *harness.Agent) (int, error) {
	if a.Settings.BackendServer.Kind == settings.KindModel {
		return a.EngineRuns(ctx)
	}
	counts, err := a.ServiceCounts(ctx)
	return counts.Total, err
}

// watchArrivals reads the server's own count, past every process of the fleet.
func watchArrivals(a *harness.Agent) *arrivals {
	w := &arrivals{stop: make(chan struct{}), done: make(chan struct{})}
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
			case <-time.After(arrivalPoll):
			}
		}
	}()
	return w
}

func (w *arrivals) end(t *testing.T) {
	t.Helper()
	close(w.stop)
	<-w.done
	if w.err != nil {
		t.Errorf("read the server's counts: %v", w.err)
	}
}

// leavingFleet has relays in front of the agents and a VM list that lags. The
// agents stay long enough to show what still arrives.
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

// checkLeft checks that work arrived before the notice and none after 3 s.
func checkLeft(t *testing.T, name string, w *arrivals, began time.Time) time.Duration {
	t.Helper()
	w.end(t)
	last := w.last.Sub(began)
	if last > leavingBound {
		t.Errorf("%s got new work %s after it began leaving", name, last)
	}
	if last < -time.Second {
		t.Errorf("%s got no work in the second before it began leaving: nothing is shown", name)
	}
	return max(last, 0)
}

// Guards against new work for a server whose agent was told to stop while the
// VM list still calls it live, while one entry VM is frozen during the notice
// and while the link between one entry VM and the agent is cut.
func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	f := leavingFleet(t, listLag)
	load := f.StartLoad(harness.LoadOptions{Account: stopsAccount, Model: stopsModel, Tokens: 30, Service: stopsService, Callers: 6, Pinned: true})
	time.Sleep(settle)
	frozen := f.Entries[0]
	cut := f.Entries[1]
	engine, service := f.Agents[0], f.Agents[2]
	watches := []*arrivals{watchArrivals(engine), watchArrivals(service)}
	time.Sleep(settle)
	if err := frozen.Freeze(); err != nil {
		t.Fatal(err)
	}
	// Packets of an entry VM come from its own peer address.
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
	lastEngine := checkLeft(t, "the engine", watches[0], began)
	lastService := checkLeft(t, "the service", watches[1], began)
	counts := load.Stop()
	checkFrozenLoad(t, f, counts)
	proved(t, "leaving_agent", "list_lag_s", listLag.Seconds(), "calls", counts.Calls, "last_new_work_engine_ms", lastEngine.Milliseconds(),
		"last_new_work_service_ms", lastService.Milliseconds(), "runs_engine", watches[0].total, "runs_service", watches[1].total)
}

// checkFrozenLoad allows calls that fail because of the frozen entry VM or the
// cut link, but no filing that ran twice.
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

// Guards against new work for a server that only the platform's VM list calls
// leaving: its agent and the entry VMs have to act on the list.
func TestLeavingByVMListAlone(t *testing.T) {
	f := leavingFleet(t, 0)
	load := f.StartLoad(harness.LoadOptions{Account: stopsAccount, Model: stopsModel, Tokens: 30, Service: stopsService, Callers: 6, Pinned: true})
	time.Sleep(settle)
	engine, service := f.Agents[1], f.Agents[3]
	watches := []*arrivals{watchArrivals(engine), watchArrivals(service)}
	time.Sleep(settle)
	began := time.Now()
	for _, a := range []*harness.Agent{engine, service} {
		if err := f.SetVMState(context.Background(), a.Name, "leaving"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(time.Until(began.Add(leavingBound + 500*time.Millisecond)))
	lastEngine := checkLeft(t, "the engine", watches[0], began)
	lastService := checkLeft(t, "the service", watches[1], began)
	wantNotReady(t, engine.Settings.AdminAddress)
	wantNotReady(t, service.Settings.AdminAddress)
	counts := load.Stop()
	checkLoad(t, f, counts)
	proved(t, "leaving_by_vm_list", "calls", counts.Calls, "cut_or_failed", counts.Faults, "refused_then_served", counts.Refused,
		"last_new_work_engine_ms", lastEngine.Milliseconds(), "last_new_work_service_ms", lastService.Milliseconds())
}
