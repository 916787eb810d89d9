// Package deployment defines what operators and backend servers publish about a
// deployment: routes, services, client accounts and the registered backend servers.
// The platform adapter decodes the values once; they are not changed afterwards.
package deployment

import (
	"strings"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// Kind states whether requests on a route may be repeated and how they are answered.
type Kind int

// Kinds of route. An unknown kind counts as Unsafe.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by a stream of events.
	Streaming
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the other targets of the route.
	Weight int
}

// Route defines how requests to a host with a path prefix are handled.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time for which a request may wait; zero means no limit.
	Timeout time.Duration
	// TargetLatency is the latency target: the time to the response, or to the first
	// event of a stream.
	TargetLatency time.Duration
	// TargetGap is the target for the longest gap between two events of a stream.
	TargetGap time.Duration
	// Urgency is 0 for the most urgent requests and higher for less urgent ones.
	Urgency int
	Targets []Target
	// MaxServers is the largest number of backend servers to which one request may
	// be sent.
	MaxServers int
	// Anonymous reports whether requests carry no key.
	Anonymous bool
	// Resumable reports whether a stream may be continued by another backend server.
	Resumable bool
}

// Idempotent reports whether a request on the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Engine holds the engine parameters of a model service; see docs/design.md.
type Engine struct {
	// Slots is the number of requests that a rank runs concurrently.
	Slots int
	// Step is the duration of a step without requests, StepPerRequest the time that
	// each running request adds, and StepsPerPass the number of steps in a forward
	// pass.
	Step, StepPerRequest time.Duration
	StepsPerPass         int
	// PromptTokensPerSecond is the rate at which a rank processes prompts.
	PromptTokensPerSecond float64
	// Layers is the number of sets of layers that have their own experts, and Experts
	// the number of experts in each set.
	Layers, Experts int
	// SlotsPerRank is the number of experts that a rank holds per layer, and
	// MaxNewPerRank the number of them that one change may replace.
	SlotsPerRank, MaxNewPerRank int
	// ExpertBytes is the size of an expert, and LinkBytesPerSecond the rate at which
	// a rank copies it.
	ExpertBytes, LinkBytesPerSecond float64
	// ExpertShare is the fraction of a forward pass's duration that depends on the
	// load of the experts.
	ExpertShare float64
	// MeanPromptTokens and MeanAnswerTokens are mean token counts per request.
	MeanPromptTokens, MeanAnswerTokens float64
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from all
	// clients together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bounds the size and duration of callers' requests.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Account is a client account.
type Account struct {
	Name fleet.ClientAccount
	// Urgency replaces the route's urgency unless it is negative.
	Urgency int
}

// Configuration is one version of the configuration that operators publish.
type Configuration struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	// Keys maps a caller's key to its account. It is nil if the deployment has no
	// accounts.
	Keys   map[string]*Account
	routes map[string][]*Route
}

// NewConfiguration returns a configuration with the given routes.
func NewConfiguration(version int64, limits Limits, services map[string]*Service, keys map[string]*Account, routes []*Route) *Configuration {
	c := &Configuration{Version: version, Limits: limits, Services: services, Keys: keys, routes: map[string][]*Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	return c
}

// Route returns the host's route with the longest prefix of path, or nil. Case and
// port of the host are ignored.
func (c *Configuration) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var found *Route
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) && (found == nil || len(r.Prefix) > len(found.Prefix)) {
			found = r
		}
	}
	return found
}

// Routes calls f for every route, in no particular order.
func (c *Configuration) Routes(f func(*Route)) {
	for _, routes := range c.routes {
		for _, r := range routes {
			f(r)
		}
	}
}

// Server is a registered backend server.
type Server struct {
	// ID usually identifies one start of the server, but see StartMS.
	ID string
	// StartMS is the start time in Unix milliseconds; zero if unknown. A server may
	// restart under its previous ID.
	StartMS int64
	// Sequence grows with each entry that one start of the server writes; 0 if unknown.
	Sequence int64
	Service  string
	// Address is the IP address and port for requests.
	Address string
	Zone    fleet.AvailabilityZone
	Slots   int
	// Leaving reports whether the server gets no new requests.
	Leaving bool
	// WarmUpTime is how long the server is slow after its start.
	WarmUpTime time.Duration
}
