// Package agent is the agent daemon.
package agent

import (
	"context"
	"errors"
	"io"

	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

// Run serves until ctx is done and returns nil after a graceful shutdown.
func Run(ctx context.Context, c settings.AgentConfig, w io.Writer) error {
	return errors.New("the agent daemon is not written yet")
}
