// Package soak runs the programs of the users' platform as separate processes,
// injects overlapping random faults from the outside, and checks the guarantees of
// the platform's rules from what callers and backend servers observe. The faults
// are derived from a seed.
//
//	go test ./integration/soak -v -args -bin $PWD/bin -seed 1 -seeds 50 -fault 12s
package soak

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// gateways and ranks are the numbers of processes of a fleet.
var gateways, ranks int

func init() {
	flag.IntVar(&gateways, "gateways", 4, "gateways of a fleet")
	flag.IntVar(&ranks, "ranks", 4, "ranks of a fleet's model group")
}

var (
	binaries  = flag.String("bin", "", "directory of the binaries; without it the soak is skipped")
	firstSeed = flag.Int64("seed", 0, "first seed; 0 derives it from the clock")
	seeds     = flag.Int("seeds", 1, "number of new seeds")
	faultTime = flag.Duration("fault", 8*time.Second, "duration of fault injection in each run")
	parallel  = flag.Int("fleets", 2, "number of fleets that run concurrently")
)

// failedSeeds holds the seeds of previous failures, each with its cause.
var failedSeeds = []failedSeed{
	{2, repeatedGet},
	{3, repeatedGet},
	{5, repeatedGet},
}

// failedSeedsWithParts is the same for TestSoakWithCrashingParts.
var failedSeedsWithParts = []failedSeed{
	{1008, "MAP: the stand-in of an engine was started twice and lost its map"},
}

type failedSeed struct {
	seed  int64
	cause string
}

const repeatedGet = "BUDGET: the HTTP client repeated a GET whose keep-alive connection was closed, so it ran at three servers"

// Guards against violated guarantees while requests with parts that crash servers arrive
// and gateways, agents and servers fail beside them.
func TestSoakWithCrashingParts(t *testing.T) {
	soakSeeds(t, failedSeedsWithParts, func(f *fleet) { f.withoutProxies = true })
}

// Guards against violated guarantees, the retry budget of the fleet above all, while servers
// refuse requests and gateways are restarted in series, beside all other faults.
func TestSoakWithRefusals(t *testing.T) {
	soakSeeds(t, nil, func(f *fleet) { f.refusing = true })
}

// Guards against violated guarantees, a configuration that goes back and revoked keys that
// return above all, while the store is restored from older copies beside all other faults.
func TestSoakWithRestores(t *testing.T) {
	soakSeeds(t, nil, func(f *fleet) { f.restoring = true })
}

// Guards against violated guarantees, and against gateways that take more than their machines
// have, while clients that do not behave come and go beside all other faults.
func TestSoakWithCrowds(t *testing.T) {
	soakSeeds(t, nil, func(f *fleet) { f.crowded, f.memoryMB, f.descriptors = true, crowdMemoryMB, crowdDescriptors })
}

// Guards against violated guarantees under combinations of faults that no
// dedicated test covers.
func TestSoak(t *testing.T) { soakSeeds(t, failedSeeds) }

// soakSeeds runs a soak with each of the failed seeds and the new ones.
func soakSeeds(t *testing.T, failed []failedSeed, options ...func(*fleet)) {
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
			soak(t, seed, options...)
		})
	}
	for _, x := range failed {
		run(x.seed, x.cause)
	}
	for n := range *seeds {
		run(first+int64(n), "")
	}
}
