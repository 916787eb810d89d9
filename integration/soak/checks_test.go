package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/platform/platformtest"
)

const (
	// settleTime is how long the fleet may take to recover after the last fault:
	// callers keep addresses for up to 5 s, a group has to form again, and delayed
	// orders still take effect.
	settleTime = 6 * time.Second
	// faultFreeTime is the time without faults during which recovery is checked.
	faultFreeTime = 3 * time.Second
	// startMargin is how long after its request was sent a run may begin.
	startMargin = 200 * time.Millisecond
	// handoverTime is how long a process that was frozen may take to deliver the
	// requests that it holds.
	handoverTime = 4 * time.Second
)

// soak runs one fleet with injected faults and checks the guarantees of the platform.
func soak(t *testing.T, seed int64, options ...func(*fleet)) {
	f := startFleet(t, options...)
	callers := startTraffic(f, seed)
	time.Sleep(time.Second)
	if f.refusing {
		time.Sleep(retryWindow) // new gateways send no retries for a window
	}
	x := newFaults(f, callers, seed)
	if f.withoutProxies {
		x.wait.Go(func() { x.sendCrashParts(seed) })
		x.wait.Go(func() { x.sendCrashRequests(seed) })
	}
	if f.refusing {
		x.wait.Go(func() { x.refuseRequests(seed) })
		x.wait.Go(func() { x.restartGateways(seed) })
		x.wait.Go(func() { x.addLoad(seed) })
	}
	observer := startRouteObserver(f)
	if f.restoring {
		x.wait.Go(func() { x.restoreStore(seed) })
	}
	if f.crowded {
		x.wait.Go(func() { x.sendCrowds(t, seed) })
	}
	x.run(*faultTime)
	x.note("faults have ended")
	f.store.RewriteLost()
	time.Sleep(settleTime)
	from := time.Now()
	time.Sleep(faultFreeTime)
	f.checkStop(t, callers)
	to := time.Now()
	observer.end(t)
	f.checkConfiguration(t, callers)
	f.checkDrain(t)
	attempts := callers.end()
	time.Sleep(handoverTime)
	checkInvariants(t, callers, attempts)
	checkRetryBudget(t, f.record, slices.Concat(attempts, observer.attempts), 1)
	checkRecovery(t, callers, attempts, from, to)
	f.checkCrashes(t)
	f.checkGroup(t)
	report(t, f, attempts)
	if t.Failed() {
		t.Logf("seed %d, faults:\n%s", seed, strings.Join(x.log, "\n"))
		for _, p := range f.processes() {
			t.Logf("%s:\n%s", p.Name, tail(p.Log(), 60))
		}
	}
}

func tail(text string, lines int) string {
	all := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(all[max(len(all)-lines, 0):], "\n")
}

// checkInvariants checks the guarantees that hold at all times, also during faults.
func checkInvariants(t *testing.T, callers *traffic, attempts []attempt) {
	record := callers.fleet.record
	runs := map[string][]platformtest.Run{}
	for _, r := range record.Runs() {
		runs[r.ID] = append(runs[r.ID], r)
	}
	known := map[string]bool{}
	for _, a := range attempts {
		known[a.ID] = true
		removed, ok := callers.removalOf(a)
		checkAttempt(t, a, runs[a.ID])
		if a.Outcome == platformtest.Denied && !ok {
			t.Errorf("DENIED: %s at %s, status %d, is permitted by every configuration", a.ID, a.gateway, a.Status)
		}
		if ok && !removed.acknowledged.IsZero() && a.from.Sub(removed.acknowledged) > revokeBound && len(runs[a.ID]) > 0 {
			t.Errorf("CONFIG: %s was sent %s after its key was removed and ran", a.ID, a.from.Sub(removed.acknowledged).Round(time.Millisecond))
		}
	}
	for id := range runs {
		if !known[id] && !strings.HasPrefix(id, probePrefix) {
			t.Errorf("UNASKED: %s ran but no caller sent it", id)
		}
	}
	for _, fault := range record.Faults() {
		t.Error(fault)
	}
}

// maxRunsPerAttempt is the number of servers at which one attempt may run.
const maxRunsPerAttempt = 2

func checkAttempt(t *testing.T, a attempt, runs []platformtest.Run) {
	at := fmt.Sprintf("%s (%s at %s, status %d %s)", a.ID, a.Kind, a.gateway, a.Status, a.Detail)
	if a.Outcome == platformtest.Wrong {
		t.Errorf("MIXED: %s", at)
	}
	if a.Outcome == platformtest.NotRun && len(runs) > 0 {
		t.Errorf("REFUSED: %s was reported as not run but ran at %s", at, runs[0].Server)
	}
	if a.Kind == "unsafe" && len(runs) > 1 {
		t.Errorf("TWICE: %s ran %d times", at, len(runs))
	}
	if len(runs) > maxRunsPerAttempt {
		t.Errorf("BUDGET: %s ran at %d servers", at, len(runs))
	}
	if a.Outcome == platformtest.Complete && len(runs) == 0 {
		t.Errorf("MIXED: %s has a complete response but did not run", at)
	}
	for _, r := range runs {
		if r.Account != a.account {
			t.Errorf("UNASKED: %s ran for account %q, want %q", at, r.Account, a.account)
		}
		if r.Path != a.Path {
			t.Errorf("UNASKED: %s ran with path %q", at, r.Path)
		}
		if (r.Service == modelName) != (a.Kind == "streaming") {
			t.Errorf("ROUTE: %s ran at service %s", at, r.Service)
		}
	}
}

// minServedFraction is the fraction of requests that must be served without faults;
// 3 in 100 may fail because the test shares its machine with other work.
const minServedFraction = 0.97

// checkRecovery checks that requests are served again after the faults have ended.
func checkRecovery(t *testing.T, callers *traffic, attempts []attempt, from, to time.Time) {
	sent, served := 0, 0
	for _, a := range attempts {
		if _, removed := callers.removalOf(a); removed {
			continue
		}
		if a.from.Before(from) || a.to.After(to) || a.Outcome == platformtest.Unreachable {
			continue
		}
		sent++
		if a.Outcome == platformtest.Complete {
			served++
		}
	}
	if float64(served) < minServedFraction*float64(sent) || sent == 0 {
		t.Errorf("RECOVER: %d of %d requests were served after the faults", served, sent)
	}
}

// checkStop restarts a gateway under load and checks that no request that it
// had accepted is cut off.
func (f *fleet) checkStop(t *testing.T, callers *traffic) {
	g := f.gateways[0]
	from := time.Now()
	if err := g.Stop(stopBound); err != nil {
		t.Errorf("DRAIN: %v", err)
	}
	if err := g.Start(); err != nil {
		t.Error(err)
	}
	time.Sleep(time.Second)
	ran := map[string]bool{}
	for _, r := range f.record.Runs() {
		ran[r.ID] = true
	}
	crossed := 0
	for _, a := range callers.all() {
		switch {
		case a.gateway != g.callers || !a.from.After(from) || a.Outcome != platformtest.Broken:
		case ran[a.ID]:
			t.Errorf("LOST: %s at the stopped gateway: %s", a.ID, a.Detail)
		default:
			crossed++
		}
	}
	if crossed > maxCrossed {
		t.Errorf("LOST: %d requests that were not passed on met a closed connection", crossed)
	}
}

// probePrefix is the id prefix of requests that check the configuration.
const probePrefix = "probe-"

// checkConfiguration checks that every gateway uses the newest configuration
// within configBound. A gateway may answer 503 for anything missing from its copy
// as long as it cannot know that the copy is the newest.
func (f *fleet) checkConfiguration(t *testing.T, callers *traffic) {
	account := "account-0"
	keys := f.config.Keys[account]
	fresh, gone := "key-fresh", keys[0]
	callers.removeKey(gone, func() {
		f.changeConfiguration(func(c *platformtest.Configuration) {
			c.Keys[account] = append(slices.Clone(keys[1:]), fresh)
			c.Routes = append(slices.Clone(c.Routes[:3]), platformtest.Route{Name: "newest", Host: host, Service: plainName, Kind: "safe", TimeoutMS: 1500})
		})
	})
	time.Sleep(configBound)
	for n, g := range f.gateways {
		probe := func(what, key, path string, want ...platformtest.Outcome) {
			q := platformtest.Request{ID: fmt.Sprintf("%s%d-%s", probePrefix, n, what), Host: host, Kind: "safe", Limit: time.Second, Path: path, Key: key}
			r := platformtest.Send(context.Background(), &http.Client{}, g.callers, q)
			if !slices.Contains(want, r.Outcome) {
				t.Errorf("CONFIG: %s: %s: outcome %d, status %d, %s", g.Name, what, r.Outcome, r.Status, r.Detail)
			}
		}
		probe("new-route", fresh, "/newest/1", platformtest.Complete)
		probe("no-route", fresh, "/never/1", platformtest.Denied, platformtest.NotRun)
		probe("removed-key", gone, "/newest/2", platformtest.Denied, platformtest.NotRun)
	}
}

// checkDrain checks that a draining server gets no new work after drainBound, although the
// store carries out earlier writes of it late, before and, twice, after it has removed its
// entry.
func (f *fleet) checkDrain(t *testing.T) {
	s := f.plain[0]
	f.publish(s, "draining")
	time.Sleep(drainBound)
	from := time.Now().Add(startMargin)
	f.publish(s, "ready")
	time.Sleep(faultFreeTime)
	f.store.DeleteServer(s.id)
	for range 2 {
		time.Sleep(time.Second)
		f.publish(s, "ready")
	}
	time.Sleep(faultFreeTime)
	for _, r := range f.record.Runs() {
		if r.Server == s.id && r.At.After(from) {
			t.Errorf("DRAIN: %s ran at %s, which began to drain %s earlier", r.ID, s.id, r.At.Sub(from)+drainBound)
			return
		}
	}
}

// checkGroup checks that the group makes passes and logs its state.
func (f *fleet) checkGroup(t *testing.T) {
	s := f.group.State()
	if s.Passes == 0 {
		t.Error("the group made no passes")
	}
	t.Logf("group: %d passes, %d switches of the map, epoch %d, mean imbalance %.2f, longest hold %s", s.Passes, s.Switches, s.Epoch, s.Imbalance, s.LongestHold)
}

func report(t *testing.T, f *fleet, attempts []attempt) {
	counts := map[platformtest.Outcome]int{}
	for _, a := range attempts {
		counts[a.Outcome]++
	}
	resumed := 0
	for _, r := range f.record.Runs() {
		if r.LastEvent != "" {
			resumed++
		}
	}
	t.Logf("%d attempts: %d complete, %d refused, %d denied, %d failed, %d broken, %d unreachable; %d runs, %d of resumed streams", len(attempts),
		counts[platformtest.Complete], counts[platformtest.NotRun], counts[platformtest.Denied], counts[platformtest.Failed],
		counts[platformtest.Broken], counts[platformtest.Unreachable], len(f.record.Runs()), resumed)
}
