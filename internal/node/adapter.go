// Package node puts the processes together that run on a platform: the gateway,
// which serves callers, and the rank agent beside each engine.
package node

import (
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/feed"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/gateway"
	"github.com/coltsfootbay/coltsfootbay/internal/rankagent"
)

// Addresses returns where callers in a zone may connect, and for how long they
// may keep the answer.
type Addresses func(zone fleet.AvailabilityZone) ([]string, time.Duration)

// Adapter is what a process needs of the platform it runs on.
type Adapter struct {
	Source    feed.Source
	Documents feed.Documents
	Headers   gateway.Headers
	// Directory returns the handler of callers' address queries, Ready that of
	// the platform's readiness checks.
	Directory func(Addresses) http.Handler
	Ready     func(ready func() bool) http.Handler
	// Engine returns a client for the engine at an address.
	Engine func(address string) rankagent.Engine
}
