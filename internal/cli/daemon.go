package cli

import (
	"github.com/spf13/cobra"

	"github.com/coltsfootbay/coltsfootbay/internal/agent"
	"github.com/coltsfootbay/coltsfootbay/internal/entry"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

const shutdownHelp = `SIGTERM or SIGINT begins a graceful shutdown. A SIGINT after it ends the process
at once with status 1; further SIGTERMs have no effect.`

func newEntry() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "entry --settings FILE",
		Short:   "Run the entry daemon, which serves callers",
		Long:    "Run the entry daemon, which serves callers.\n\n" + shutdownHelp,
		Example: "  coltsfootbay entry --settings /etc/coltsfootbay/entry.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadEntry(file)
			if err != nil {
				return err
			}
			return entry.Run(cmd.Context(), s, cmd.OutOrStdout())
		},
	}
	addSettingsFlag(c, &file)
	return c
}

func newAgent() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "agent --settings FILE",
		Short:   "Run the agent daemon in front of one backend server",
		Long:    "Run the agent daemon, the only client of one backend server.\n\n" + shutdownHelp,
		Example: "  coltsfootbay agent --settings /etc/coltsfootbay/agent.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadAgent(file)
			if err != nil {
				return err
			}
			return agent.Run(cmd.Context(), s, cmd.OutOrStdout())
		},
	}
	addSettingsFlag(c, &file)
	return c
}

func addSettingsFlag(c *cobra.Command, file *string) {
	c.Flags().StringVar(file, "settings", "", "settings file (TOML)")
	_ = c.MarkFlagRequired("settings")
}
