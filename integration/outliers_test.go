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
	// minServed is the least served share of single tries with bad engines in
	// the fleet; the engines fail requests until they are ejected.
	minServed = 0.93
	// recoveryTime is above the longest time between probes of an ejected agent.
	recoveryTime = 20 * time.Second
)

// engineFaults are ways to be bad that the health probe does not show.
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

// Guards against engines that answer their health probe and fail requests: they
// must leave routing, without more load on the others, and come back.
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
				requests, served := outageLoad(f, amount(600, 4000))
				attempts, runs := offered(t, f)
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
					"offered", fmt.Sprintf("%.2f", float64(attempts)/float64(requests)), "recovered", recovered(t, f, bad))
			})
		}
	}
}

// recovered sends load until each healed engine has its part of it again, and
// returns the time that this took.
func recovered(t *testing.T, f *harness.Fleet, bad int) time.Duration {
	t.Helper()
	const batch = 120
	for start := time.Now(); time.Since(start) < recoveryTime; {
		var before, after [outlierEngines]int
		completedAt(t, f, &before)
		outageLoad(f, batch)
		completedAt(t, f, &after)
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

func completedAt(t *testing.T, f *harness.Fleet, counts *[outlierEngines]int) {
	t.Helper()
	for i, a := range f.Agents {
		c, err := a.EngineCounts(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		counts[i] = c.Completed
	}
}
