package feed

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

// rewritePeriod is how long a version that is known to have been accepted is expected to be
// written again after a restore of the store. Until then no copy without it is confirmed.
const rewritePeriod = 10 * time.Second

// configuration decides which version of the configuration is in force. Versions are
// numbered by the operator, and their order holds in every history of the store: a lower
// version never replaces a higher one.
type configuration struct {
	documents Documents
	recorder  *events.Recorder
	inForce   *deployment.Configuration
	// digest, revision and history identify what is in force; see Feed.history.
	digest   uint64
	revision int64
	history  int
	// stored is the version that the store last had.
	stored int64
	// heard is the highest version that another process said to have in force.
	heard int64
	// behindSince is when a version was first known to be missing; zero if none is.
	behindSince time.Time
}

func newConfiguration(documents Documents, recorder *events.Recorder) *configuration {
	return &configuration{documents: documents, recorder: recorder}
}

// apply puts the configuration of an item in force if it is readable and is not older than
// the one in force.
func (c *configuration) apply(i Item, history int) {
	next, err := c.decode(i)
	if err != nil {
		c.recorder.Record("configuration_unreadable", "", events.F("revision", i.Revision), events.F("error", err.Error()))
		return
	}
	c.stored = next.Version
	digest := xxhash.Sum64(i.Value)
	if c.inForce != nil && !c.replaces(next, digest, i.Revision, history) {
		if next.Version < c.inForce.Version {
			c.recorder.Record("configuration_kept", "", events.F("version", c.inForce.Version), events.F("stored", next.Version), events.F("revision", i.Revision))
		}
		return
	}
	c.inForce, c.digest, c.revision, c.history = next, digest, i.Revision, history
	c.recorder.Record("configuration_taken", "", events.F("version", next.Version), events.F("revision", i.Revision))
}

func (c *configuration) decode(i Item) (*deployment.Configuration, error) {
	if i.Err != nil {
		return nil, i.Err
	}
	return c.documents.Configuration(i.Value)
}

// replaces reports whether a configuration replaces the one in force. Two contents have the
// same version if the first one was lost in a restore and its number was given to the next
// change.
func (c *configuration) replaces(next *deployment.Configuration, digest uint64, revision int64, history int) bool {
	if next.Version != c.inForce.Version {
		return next.Version > c.inForce.Version
	}
	later := history > c.history || history == c.history && revision > c.revision
	return later && digest != c.digest
}

// behind reports whether the store or this process is known to lack a version that was
// accepted: the store has a lower one than is in force here, or another process has or had a
// higher one in force; it may have ended since. known is false if other processes may not
// have been heard yet.
func (c *configuration) behind(others int64, known bool) bool {
	var version int64
	if c.inForce != nil {
		version = c.inForce.Version
	}
	c.heard = max(c.heard, others)
	if !c.behindSince.IsZero() && time.Since(c.behindSince) >= rewritePeriod {
		c.heard = others
	}
	if c.stored >= version && c.heard <= version && known {
		c.behindSince = time.Time{}
		return false
	}
	if c.behindSince.IsZero() {
		c.behindSince = time.Now()
		c.recorder.Record("configuration_behind", "", events.F("version", version), events.F("stored", c.stored), events.F("others", c.heard), events.F("others_known", known))
	}
	return time.Since(c.behindSince) < rewritePeriod
}
