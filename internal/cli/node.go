package cli

import (
	"github.com/spf13/cobra"

	"github.com/coltsfootbay/coltsfootbay/internal/node"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/platform"
)

func newGateway() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "gateway [--settings FILE]",
		Short:   "Run a gateway, which serves callers on the users' platform",
		Long:    "Run a gateway, which serves callers on the users' platform.\n\n" + shutdownHelp,
		Example: "  coltsfootbay gateway --settings /etc/coltsfootbay/node.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			load := func() (settings.NodeConfig, error) { return settings.LoadNode(file, settings.NodeGateway) }
			return node.RunGateway(cmd.Context(), load, platform.Adapter, cmd.OutOrStdout())
		},
	}
	addNodeSettingsFlag(c, &file)
	return c
}

func newRankAgent() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "rank-agent [--settings FILE]",
		Short:   "Run the agent beside the engine of one rank on the users' platform",
		Long:    "Run the agent beside the engine of one rank on the users' platform.\n\n" + shutdownHelp,
		Example: "  coltsfootbay rank-agent --settings /etc/coltsfootbay/node.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			load := func() (settings.NodeConfig, error) { return settings.LoadNode(file, settings.NodeRankAgent) }
			return node.RunRankAgent(cmd.Context(), load, platform.Adapter, cmd.OutOrStdout())
		},
	}
	addNodeSettingsFlag(c, &file)
	return c
}

func addNodeSettingsFlag(c *cobra.Command, file *string) {
	c.Flags().StringVar(file, "settings", platform.SettingsPath(), "settings file (TOML); by default the one that the platform wrote")
}
