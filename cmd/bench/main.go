// Command bench runs load scenarios against a fleet of real processes with
// simulated backend servers, once for the product and once for each baseline, and
// compares the measurements with targets.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	var o options
	command := &cobra.Command{
		Use:           "bench SCENARIO...",
		Short:         "Run load scenarios and compare the product with baselines",
		Args:          cobra.MinimumNArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, files []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return runAll(ctx, o, files, c.OutOrStdout())
		},
	}
	f := command.Flags()
	f.StringVar(&o.bin, "bin", "bin", "directory of the binaries")
	f.StringVar(&o.json, "json", "", "file for the figures as JSON; empty writes none")
	f.Uint64Var(&o.seed, "seed", 0, "seed that replaces the scenarios' own; 0 keeps theirs")
	f.StringSliceVar(&o.variants, "variants", nil, "names of the variants to run; empty runs all")
	f.StringVar(&o.keep, "keep", "", "directory for settings and logs of the fleets; empty keeps none")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
