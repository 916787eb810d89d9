package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
)

// controllers returns the gateways that take themselves for the controller.
func (f *fleet) controllers() []*gatewayProcess {
	var out []*gatewayProcess
	for _, g := range f.gateways {
		last := ""
		for _, line := range strings.Split(g.Log(), "\n") {
			if strings.Contains(line, " controls=") {
				last = line
			}
		}
		if strings.Contains(last, " controls=true") {
			out = append(out, g)
		}
	}
	return out
}

// Guards against two controllers that switch a group to two maps of one version: the
// controller is frozen shortly after the demand for experts has shifted, another gateway
// takes over and plans, and the first one wakes and plans too. Orders are lost meanwhile,
// so that some ranks carry out the orders of the one first and some those of the other.
func TestFrozenControllerChangesNoMapBesideItsSuccessor(t *testing.T) {
	if *binaries == "" {
		t.Skip("-bin is not given")
	}
	const rounds, lossRate, copyTime = 14, 0.5, 150 * time.Millisecond
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			f.group.SetCopy(copyTime)
			callers := startTraffic(f, int64(seed))
			time.Sleep(3 * time.Second)
			f.group.OrderLossRate.Set(lossRate)
			f.group.OrderDelayRate.Set(0.5)
			random := rand.New(rand.NewPCG(seed, 88))
			between := func(least, most time.Duration) time.Duration {
				return least + time.Duration(random.Int64N(int64(most-least)))
			}
			frozen := 0
			for range rounds {
				f.group.ShiftExpertLoad()
				time.Sleep(between(100*time.Millisecond, 200*time.Millisecond))
				var stopped []*harness.Process
				for _, g := range f.controllers() {
					if g.Freeze() == nil {
						stopped = append(stopped, g.Process)
						frozen++
					}
				}
				time.Sleep(between(500*time.Millisecond, 800*time.Millisecond))
				for _, p := range stopped {
					if err := p.Unfreeze(); err != nil {
						t.Error(err)
					}
				}
				time.Sleep(between(800*time.Millisecond, 1600*time.Millisecond))
			}
			f.group.OrderLossRate.Set(0)
			attempts := callers.end()
			if faults := f.record.Faults(); len(faults) > 0 {
				t.Errorf("%d faults, the first: %s", len(faults), faults[0])
			}
			f.checkGroup(t)
			report(t, f, attempts)
			if frozen == 0 || f.group.State().Switches == 0 {
				t.Errorf("%d controllers were frozen, the group was switched %d times", frozen, f.group.State().Switches)
			}
			if t.Failed() {
				for _, p := range f.gateways {
					t.Logf("%s:\n%s", p.Name, tail(p.Log(), 60))
				}
			}
		})
	}
}
