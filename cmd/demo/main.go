// Command demo starts a small fleet with stand-ins, sends a mix of work, kills
// an entry VM and a model engine in the middle, and shows what every caller
// got. It fails if a promise was broken.
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

// timeLimit bounds the whole run.
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
