package integration

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
)

const (
	// maxPlatformCalls is 2% of the 2,000 reads a second that the platform
	// serves.
	maxPlatformCalls = 40
	// targetZones and targetEntries are the zones and entry VMs of the target size.
	targetZones   = 8
	targetEntries = 380
)

// callRate returns the calls per second that an idle fleet makes to the platform.
func callRate(t *testing.T, zones []string, entries int) float64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f, err := harness.Start(ctx, harness.Options{Bin: *binaries, Zones: zones, Entries: entries, Models: []harness.ModelSpec{{Name: "small"}}})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	time.Sleep(2 * time.Second)
	before := platformCalls(t, ctx, f)
	began := time.Now()
	time.Sleep(time.Duration(amount(5, 20)) * time.Second)
	return float64(platformCalls(t, ctx, f)-before) / time.Since(began).Seconds()
}

func platformCalls(t *testing.T, ctx context.Context, f *harness.Fleet) int {
	t.Helper()
	calls, err := f.PlatformCalls(ctx)
	if err != nil {
		t.Fatal(err)
	}
	sum := 0
	for _, n := range calls {
		sum += n
	}
	return sum
}

// Guards against calls to the platform that grow with the fleet: two additional
// zones add only the calls of their readers, and at the target size the calls stay
// below 2% of what the platform serves.
func TestPlatformCalls(t *testing.T) {
	var one, three float64
	t.Run("fleets", func(t *testing.T) {
		t.Run("1", func(t *testing.T) {
			t.Parallel()
			one = callRate(t, []string{"zone-1"}, 9)
		})
		t.Run("3", func(t *testing.T) {
			t.Parallel()
			three = callRate(t, []string{"zone-1", "zone-2", "zone-3"}, 9)
		})
	})
	if t.Failed() {
		return
	}
	perZone := (three - one) / 2
	target := three + (targetZones-3)*perZone
	if target > maxPlatformCalls {
		t.Errorf("%.1f calls a second at the target size, limit %d", target, maxPlatformCalls)
	}
	// If every process polled, each would make one call a second for documents and
	// one for the VM list.
	proved(t, "platform_calls", "zone1_per_s", one, "zone3_per_s", three, "per_zone_per_s", perZone,
		"target_per_s", target, "limit_per_s", maxPlatformCalls, "polling_by_entries_per_s", 2*targetEntries)
}
