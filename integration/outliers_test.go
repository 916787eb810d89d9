package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/standin"
)

const (
	outlierEngines = 6
	// minServed is the minimum served fraction of requests with a single attempt
	// while faulty engines are in the fleet; these fail requests until ejected.
	minServed = 0.93
	// recoveryTime exceeds the longest interval between probes of an ejected agent.
	recoveryTime = 20 * time.Second
)

// engineFaults are the engine faults that the health probe does not detect.
var engineFaults = []struct {
	name       string
	begin, end func(context.Context, *harness.Agent) error
}{
	{
		name: "fail",
		begin: func(ctx context.Context, a *harness.Agent) error {
			return a.SetFault(ctx, standin.EngineFault{Fail: true})
		},
		end: func(ctx context.Context, a *harness.Agent) error { return a.SetFault(ctx, standin.EngineFault{}) },
	},
	{
		name: "break",
		begin: func(ctx context.Context, a *harness.Agent) error {
			return a.SetFault(ctx, standin.EngineFault{BreakAfter: outageTokens / 2})
		},
		end: func(ctx context.Context, a *harness.Agent) error { return a.SetFault(ctx, standin.EngineFault{}) },
	},
	{
		name: "stall",
		begin: func(ctx context.Context, a *harness.Agent) error {
			return a.Stall(ctx, standin.StallSettings{Ranks: 1})
		},
		end: func(ctx context.Context, a *harness.Agent) error { return a.Stall(ctx, standin.StallSettings{}) },
	},
}

// Guards against engines that answer their health probe but fail requests: they
// must be ejected from routing without additional load on the others, and return
// after they recover.
func TestOutliersAreEjected(t *testing.T) {
	for _, fault := range engineFaults {
		for bad := 1; bad <= 2; bad++ {
			t.Run(fmt.Sprintf("%s_%d", fault.name, bad), func(t *testing.T) {
				f := startFleet(t, stopsOptions(3, outlierEngines, 0))
				defer f.Close()
				for _, a := range f.Agents[:bad] {
					if err := fault.begin(t.Context(), a); err != nil {
						t.Fatal(err)
					}
				}
				requests, served := sendSingleAttempts(f, amount(600, 4000))
				attempts, runs := countAttempts(t, f)
				if attempts > int(maxOffered*float64(requests)) || runs > int(maxOffered*float64(requests)) {
					t.Errorf("%d attempts and %d runs for %d requests", attempts, runs, requests)
				}
				if float64(served) < minServed*float64(requests) {
					t.Errorf("%d of %d requests were served", served, requests)
				}
				for _, a := range f.Agents[:bad] {
					if err := fault.end(t.Context(), a); err != nil {
						t.Fatal(err)
					}
				}
				proved(t, "outliers_ejected", "fault", fault.name, "bad", bad, "requests", requests, "served", served,
					"offered", fmt.Sprintf("%.2f", float64(attempts)/float64(requests)), "recovered", waitRecovered(t, f, bad))
			})
		}
	}
}

// waitRecovered sends load until each healed engine receives a share of it again,
// and returns the time that this took.
func waitRecovered(t *testing.T, f *harness.Fleet, bad int) time.Duration {
	t.Helper()
	const batch = 120
	for start := time.Now(); time.Since(start) < recoveryTime; {
		var before, after [outlierEngines]int
		readCompleted(t, f, &before)
		sendSingleAttempts(f, batch)
		readCompleted(t, f, &after)
		back := 0
		for i := range bad {
			if after[i]-before[i] > batch/outlierEngines/4 {
				back++
			}
		}
		if back == bad {
			return time.Since(start).Round(100 * time.Millisecond)
		}
	}
	t.Errorf("a healed engine got no load within %s", recoveryTime)
	return recoveryTime
}

func readCompleted(t *testing.T, f *harness.Fleet, counts *[outlierEngines]int) {
	t.Helper()
	for i, a := range f.Agents {
		c, err := a.EngineCounts(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		counts[i] = c.Completed
	}
}
