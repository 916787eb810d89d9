// Package deployment describes what operators and backend servers publish about
// a deployment: routes, services, client accounts and the servers that are
// present. The values are decoded once, by the platform adapter, and are not
// changed afterwards.
package deployment

import (
	"strings"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// Kind says what may be repeated on a route.
type Kind int

// Kinds of route. Any kind that is not known counts as Unsafe.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by a stream of events.
	Streaming
)

// Target is a service with its part of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the other targets of the route.
	Weight int
}

// Route says how the requests below a path are handled.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time for which a request is kept waiting; zero
	// means no limit.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event of a stream.
	TargetLatency time.Duration
	// TargetGap is the longest pause between the events of a stream.
	TargetGap time.Duration
	// Urgency is 0 for the most urgent requests.
	Urgency int
	Targets []Target
	// MaxServers is the number of backend servers to which one request may be
	// sent.
	MaxServers int
	// Anonymous requests carry no key.
	Anonymous bool
	// Resumable streams may go on at another backend server.
	Resumable bool
}

// Idempotent reports whether a request on the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Engine holds the physics of a model service; see docs/design.md.
type Engine struct {
	// Slots is how many requests a rank runs at a time.
	Slots int
	// Step is the time of a step without requests, StepPerRequest what each
	// running request adds, and StepsPerPass the steps of one pass.
	Step, StepPerRequest time.Duration
	StepsPerPass         int
	// PromptTokensPerSecond is the speed at which a rank reads prompts.
	PromptTokensPerSecond float64
	// Layers is the number of sets of layers with experts of their own, and
	// Experts the number of experts in each.
	Layers, Experts int
	// SlotsPerRank is the number of experts that a rank holds in a layer, and
	// MaxNewPerRank how many of them one change may replace.
	SlotsPerRank, MaxNewPerRank int
	// ExpertBytes is the size of an expert, LinkBytesPerSecond the speed at which
	// a rank copies it.
	ExpertBytes, LinkBytesPerSecond float64
	// ExpertShare is the part of a pass that depends on the experts' loads.
	ExpertShare float64
	// MeanPromptTokens and MeanAnswerTokens are mean token counts.
	MeanPromptTokens, MeanAnswerTokens float64
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections that one server accepts, from all
	// callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Account is a client account.
type Account struct {
	Name fleet.ClientAccount
	// Urgency replaces the route's, unless it is negative.
	Urgency int
}

// Configuration is one version of what operators publish.
type Configuration struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	// Keys maps a caller's key to its account. It is nil when the deployment
	// has no accounts.
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

// Route returns the route with the longest prefix that begins path, or nil.
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

// Routes calls f with every route.
func (c *Configuration) Routes(f func(*Route)) {
	for _, routes := range c.routes {
		for _, r := range routes {
			f(r)
		}
	}
}

// Server is a backend server that is present.
type Server struct {
	// ID names one start of the server, in most cases.
	ID string
	// Born is the Unix millisecond of the start; zero if unknown. A server may
	// start again under its former ID.
	Born    int64
	Service string
	// Address is the IP address and port for requests.
	Address string
	Zone    fleet.AvailabilityZone
	Slots   int
	// Leaving servers get no new work.
	Leaving bool
	// WarmUpTime is how long the server stays slow after its start.
	WarmUpTime time.Duration
}
