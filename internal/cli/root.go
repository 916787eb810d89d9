// Package cli implements the commands of the coltsfootbay binary.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit statuses of the binary.
const (
	exitOK      = 0
	exitFailure = 1
)

// errReported makes Main return exitFailure without printing an error, because the
// command has already printed what is wrong.
var errReported = errors.New("faults were found")

// Main runs the command given by arguments and returns the exit status.
func Main(arguments []string, stdout, stderr io.Writer) int {
	ctx, stop := signalContext(context.Background())
	defer stop()
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	if !errors.Is(err, errReported) {
		_, _ = fmt.Fprintf(stderr, "coltsfootbay: %v\n", err)
	}
	return exitFailure
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "coltsfootbay",
		Short:         "Load balancer for expert-parallel model groups",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newEntry(), newAgent(), newCheck(), newStatus(), newTimeline(), newVersion(), newKeys(), newGateway(), newRankAgent())
	return root
}
