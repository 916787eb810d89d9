package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/platform/platformtest"
)

// The retry budget of the fleet: in each window, a service may get retryRatio repeated
// requests per request of a caller, and retrySlack more.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 30
	// retryTarget is the part of the budget that gateways use at most, whatever happens at the
	// same time.
	retryTarget = 0.9
)

// checkRetryBudget checks that the repeated requests that reached the servers in any window,
// over all processes, are at most target of what is allowed.
func checkRetryBudget(t *testing.T, record *platformtest.RunLog, attempts []attempt, target float64) {
	requests := map[string][]time.Time{}
	for _, a := range attempts {
		service := plainName
		if a.Kind == "streaming" {
			service = modelName
		}
		requests[service] = append(requests[service], a.from)
	}
	seen := map[string]bool{}
	repeats := map[string][]time.Time{}
	for _, a := range record.Arrivals() {
		if seen[a.ID] {
			repeats[a.Service] = append(repeats[a.Service], a.At)
		}
		seen[a.ID] = true
	}
	for service, times := range repeats {
		most, largestShare := 0, 0.0
		for _, from := range times {
			n := countIn(times, from)
			// Requests count in the window, the one before it or the one half a window
			// before, whichever has most.
			sent := max(countIn(requests[service], from), countIn(requests[service], from.Add(-retryWindow/2)), countIn(requests[service], from.Add(-retryWindow)))
			allowed := retryRatio*float64(sent) + retrySlack
			if share := float64(n) / allowed; share > largestShare {
				most, largestShare = n, share
			}
		}
		probes := 0
		for _, a := range record.Arrivals() {
			if a.Service == service && strings.HasPrefix(a.ID, probePrefix) {
				probes++
			}
		}
		t.Logf("%s: %d arrivals of probes", service, probes)
		t.Logf("%s: at most %d repeats in %s, %.2f of what is allowed; %d in all", service, most, retryWindow, largestShare, len(times))
		if largestShare > target {
			t.Errorf("BUDGET: %s got %d repeats in %s, %.3f times what is allowed, the target is %.1f", service, most, retryWindow, largestShare, target)
		}
	}
}

// countIn returns how many times lie in the window that begins at from.
func countIn(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(retryWindow)) {
			n++
		}
	}
	return n
}

// Guards against a retry budget that restarts renew or a rising load exceeds: while backend
// servers refuse requests, gateways that are killed or stopped and started again together
// send no more retries than gateways that go on.
func TestRestartsKeepRetryBudget(t *testing.T) {
	if *binaries == "" {
		t.Skip("-bin is not given")
	}
	kill := func(gateways ...*gatewayProcess) {
		for _, g := range gateways {
			g.Kill()
		}
		for _, g := range gateways {
			if err := g.Start(); err != nil {
				t.Error(err)
			}
		}
	}
	for name, restart := range map[string]func(*fleet){
		"no restart":  func(*fleet) {},
		"half killed": func(f *fleet) { kill(f.gateways[:gateways/2]...) },
		"all killed":  func(f *fleet) { kill(f.gateways...) },
		"all killed twice": func(f *fleet) {
			kill(f.gateways...)
			time.Sleep(3 * time.Second)
			kill(f.gateways...)
		},
		"stopped in turn": func(f *fleet) {
			for _, g := range f.gateways {
				if err := g.Stop(stopBound); err != nil {
					f.t.Error(err)
				}
				if err := g.Start(); err != nil {
					f.t.Error(err)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			traffic := startTraffic(f, 1)
			time.Sleep(retryWindow - time.Second) // with the next sleep, a whole window of requests, which pay for retries
			// No window that contains all retries has all requests of the rising load.
			traffic.addCallers(6*callers, time.Now().Add(retryWindow))
			time.Sleep(2 * time.Second)
			f.group.RefusalRate.Set(0.7)
			time.Sleep(2500 * time.Millisecond)
			restart(f)
			time.Sleep(retryWindow - 3*time.Second)
			attempts := traffic.end()
			checkRetryBudget(t, f.record, attempts, retryTarget)
			report(t, f, attempts)
			if t.Failed() {
				for _, g := range f.gateways {
					t.Logf("%s:\n%s", g.Name, tail(g.Log(), 40))
				}
			}
		})
	}
}
