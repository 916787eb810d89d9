// Package integration tests the system's guarantees with real processes behind
// fault-injecting proxies.
package integration

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var (
	// long selects the schedules of make prove; CI runs the short ones.
	long = flag.Bool("long", false, "run the long schedules")
	// seed starts the random schedules, so that a run can be repeated.
	seed = flag.Int64("seed", 1, "seed of the random schedules")
	// binaries is the directory with the built commands.
	binaries = flag.String("bin", "../bin", "directory with the built commands")
)

// proved prints the line that make prove shows for a property. pairs holds
// alternating keys and values.
func proved(t *testing.T, property string, pairs ...any) {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "PROOF property=%s seed=%d", property, *seed)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintf(&b, " pass=%t\n", !t.Failed())
	fmt.Fprint(os.Stdout, b.String())
}

// amount returns the amount of work for the short or the long form of a schedule.
func amount(short, inLong int) int {
	if *long {
		return inLong
	}
	return short
}
