// Package soak runs the programs of the users' platform as separate processes,
// injects random faults from outside them in series that overlap, and checks the
// promises of the platform's rules from what callers and backend servers see. The
// faults are drawn from a seed.
//
//	go test ./integration/soak -v -args -bin $PWD/bin -seed 1 -seeds 50 -fault 12s
package soak

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	binaries  = flag.String("bin", "", "directory of the binaries; without it the soak is not run")
	firstSeed = flag.Int64("seed", 0, "first seed; 0 takes one from the clock")
	seeds     = flag.Int("seeds", 1, "number of fresh seeds")
	faultTime = flag.Duration("fault", 8*time.Second, "time with faults in each run")
	parallel  = flag.Int("fleets", 2, "fleets that run at the same time")
)

// failedSeeds are the seeds of former failures, each with its cause.
var failedSeeds = []struct {
	seed  int64
	cause string
}{
	{2, repeatedGet},
	{3, repeatedGet},
	{5, repeatedGet},
}

const repeatedGet = "BUDGET: the HTTP client repeated a GET whose kept connection was closed, so that it ran at three servers"

// Guards against broken promises under faults that nobody thought of together.
func TestSoak(t *testing.T) {
	if *binaries == "" {
		t.Skip("-bin is not given")
	}
	first := *firstSeed
	if first == 0 {
		first = time.Now().UnixNano() % 1e6
	}
	slots := make(chan struct{}, *parallel)
	run := func(seed int64, cause string) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			if cause != "" {
				t.Log("failed before: ", cause)
			}
			soak(t, seed)
		})
	}
	for _, x := range failedSeeds {
		run(x.seed, x.cause)
	}
	for n := range *seeds {
		run(first+int64(n), "")
	}
}
