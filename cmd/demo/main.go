// Command demo starts a small fleet with simulated backend servers, sends a mixed
// load, kills an entry VM and a model engine meanwhile, and prints the outcomes of
// all calls. It fails if a guarantee was violated.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// timeLimit limits the duration of the whole run.
const timeLimit = 28 * time.Second

func main() {
	var bin string
	command := &cobra.Command{
		Use:           "demo",
		Short:         "Run a small fleet through two failures",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, timeLimit)
			defer cancel()
			return run(ctx, bin, c.OutOrStdout())
		},
	}
	command.Flags().StringVar(&bin, "bin", "bin", "directory of the binaries")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}
