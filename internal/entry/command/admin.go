package command

import (
	"context"
	"fmt"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Validate returns an error if a document is invalid. It does not publish it.
func (c *Commands) Validate(name, body string) error {
	return dynamic.Validate(wire.Document{Name: name, Body: body})
}

// Lift clears the suspicion of a fingerprint and notifies the other processes. It
// returns false if the fingerprint is not known.
func (c *Commands) Lift(ctx context.Context, fingerprint uint64) bool {
	s, ok := c.Quarantine.Lift(fingerprint)
	if !ok {
		return false
	}
	c.Recorder.Record("quarantine.lifted", "", events.F("fingerprint", FormatFingerprint(fingerprint)))
	c.Links.PublishSuspicions(ctx, []wire.Suspicion{s})
	return true
}

// FormatFingerprint returns a fingerprint in the format of the administration API.
func FormatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }
