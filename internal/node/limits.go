package node

import (
	"errors"
	"net/http"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/inbound"
	"github.com/coltsfootbay/coltsfootbay/internal/metrics"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

const (
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// callerShare, directoryShare and callShare are the fractions of the other descriptors
	// that connections to these addresses may take. Callers' requests need as many again to
	// backend servers; the rest is for idle ones there, the store and other processes.
	callerShare    = 0.375
	directoryShare = 0.0625
	callShare      = 0.03125
	// idleShare is the fraction that idle connections to backend servers may take.
	idleShare = 0.125
	// agentShare is the same for the calls to a rank agent.
	agentShare = 0.25
	// connectionMemoryShare and requestMemoryShare are the fractions of the process's memory
	// that callers' connections and requests may take.
	connectionMemoryShare = 0.3
	requestMemoryShare    = 0.2
	// callMemoryShare and agentMemoryShare are the same for the requests to another address
	// and for the calls to a rank agent.
	callMemoryShare  = 0.01
	agentMemoryShare = 0.2
	// minConnections is the smallest limit of connections to an address.
	minConnections = 8
)

// callerLimits returns the limits of the callers' address.
func callerLimits(l settings.NodeLimits) inbound.Limits {
	memory := float64(l.MemoryMB) * 1e6
	connections := min(callerShare*sockets(l), connectionMemoryShare*memory/inbound.ConnectionBytes)
	return inbound.Limits{Connections: max(int(connections), minConnections), RequestBytes: int64(requestMemoryShare * memory)}
}

// callLimits returns the limits of another address that may take these shares of the
// descriptors and of the memory.
func callLimits(l settings.NodeLimits, descriptors, memory float64) inbound.Limits {
	return inbound.Limits{
		Connections:  max(int(descriptors*sockets(l)), minConnections),
		RequestBytes: int64(memory * float64(l.MemoryMB) * 1e6),
	}
}

// sockets returns how many sockets the process may have.
func sockets(l settings.NodeLimits) float64 {
	return float64(max(l.Descriptors-reservedDescriptors, 0))
}

// boundedServer is a server of one address with the limits of its clients.
type boundedServer struct {
	name string
	*http.Server
	limits inbound.Limits
}

// serve serves until the server is closed.
func (s boundedServer) serve(m *metrics.Metrics, r *events.Recorder) error {
	l, err := inbound.Listen(s.Addr, s.limits, inbound.Report(s.name, m, r))
	if err != nil {
		return err
	}
	l.Configure(s.Server)
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
