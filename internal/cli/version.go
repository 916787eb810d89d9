package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version that this binary was built from",
		Example: "  coltsfootbay version",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), version())
			return err
		},
	}
}

// version returns the module version, the commit and the Go version.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "coltsfootbay unknown"
	}
	commit, modified := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = " (modified)"
		}
	}
	return fmt.Sprintf("coltsfootbay %s commit %s%s %s", info.Main.Version, commit, modified, info.GoVersion)
}
