// Package node assembles and runs the processes of a deployment on the users'
// platform: the gateway, which serves callers, and the rank agent beside each
// engine.
package node

import (
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/feed"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/gateway"
	"github.com/coltsfootbay/coltsfootbay/internal/rankagent"
)

// Addresses returns the gateway addresses for callers in a zone and how long
// callers may cache them.
type Addresses func(zone fleet.AvailabilityZone) ([]string, time.Duration)

// Adapter holds the platform-specific parts of a process.
type Adapter struct {
	Source    feed.Source
	Documents feed.Documents
	Headers   gateway.Headers
	// Directory returns the handler of callers' address queries; Ready returns
	// the handler of the platform's readiness checks.
	Directory func(Addresses) http.Handler
	Ready     func(ready func() bool) http.Handler
	// Engine returns a client for the engine at an address.
	Engine func(address string) rankagent.Engine
}
