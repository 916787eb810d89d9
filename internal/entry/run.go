// Package entry is the entry daemon.
package entry

import (
	"context"
	"errors"
	"io"

	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

// Run serves until ctx is done and returns nil after a graceful shutdown.
func Run(ctx context.Context, c settings.EntryConfig, w io.Writer) error {
	return errors.New("the entry daemon is not written yet")
}
