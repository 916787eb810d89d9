// Package gateway takes callers' requests and forwards them to backend servers
// over connections of its own: plain requests with retries where the route
// allows them, streams event by event with resumption at another server.
package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/feed"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
	"github.com/coltsfootbay/coltsfootbay/internal/retry"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	// staleAfter is the age of the copy of the configuration from which a missing
	// route or key may be newer than the copy. Such a request is refused with 503
	// and not with 404 or 401. The feed confirms the copy every 2.4 s.
	staleAfter = 2600 * time.Millisecond
	// elsewhereAfter is when a caller may come back that another gateway can
	// probably serve: the store turns single machines away for seconds.
	elsewhereAfter = 40 * time.Millisecond
	// revokeMargin is kept from the time for which a key may be used on an old
	// copy, for the way from here to the backend server.
	revokeMargin = 300 * time.Millisecond
	// defaultPatience is the time for a request that names none.
	defaultPatience = 30 * time.Second
	// defaultBodyBytes bounds a body while the configuration names no limit.
	defaultBodyBytes = 1 << 20
	// bodyMemoryShare is the part of the process's memory for bodies.
	bodyMemoryShare = 0.25
	// dialTimeout bounds the opening of a connection to a backend server, which
	// takes a round trip of about 1 ms and the server's handshake of 1 ms.
	dialTimeout = 350 * time.Millisecond
	// idlePerServer and idleLifetime bound the kept connections to a server.
	idlePerServer = 32
	idleLifetime  = 10 * time.Second
	// ratioShare is the part of the fleet's ratio of repeated sends that is used. A
	// process that ends and starts again has forgotten what it sent.
	ratioShare = 0.8
	// slackShare is the part of the fleet's fixed number of repeated sends that
	// gateways use; callers' own repeats count in other ways, and gateways that
	// don't see each other take more than their part.
	slackShare = 0.7
	// maxAnswerBytes bounds a plain answer that is kept until it is complete, so
	// that a broken one can be replaced. Longer ones are passed on unchecked.
	maxAnswerBytes = 256 << 10
)

// Config is what a Gateway works with.
type Config struct {
	Zone     fleet.AvailabilityZone
	Feed     *feed.Feed
	Headers  Headers
	Recorder *events.Recorder
	Metrics  *Metrics
	// RevocationDelay is how long after its removal a key may be used.
	RevocationDelay time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound this process's repeated sends.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// MemoryBytes is the memory of the process.
	MemoryBytes int64
}

// Gateway handles callers' requests. It is an http.Handler.
type Gateway struct {
	Config
	services *services
	budget   *retry.Window
	kept     *http.Client
	fresh    *http.Client
	bodies   atomic.Int64
	leaving  atomic.Bool
	// revoke is Config.RevocationDelay in nanoseconds, which a reload may change.
	revoke atomic.Int64
}

// SetRevocationDelay sets how long after its removal a key may be used.
func (g *Gateway) SetRevocationDelay(d time.Duration) { g.revoke.Store(int64(d)) }

// New returns a gateway. Run must be called too.
func New(c Config) *Gateway {
	g := &Gateway{
		Config:   c,
		services: newServices(c.Zone, c.Recorder),
		budget:   retry.NewWindow(c.RetryRatio*ratioShare, 0, c.RetryWindow),
		kept:     &http.Client{Transport: newTransport(false), CheckRedirect: noRedirect},
		fresh:    &http.Client{Transport: newTransport(true), CheckRedirect: noRedirect},
	}
	g.SetRevocationDelay(c.RevocationDelay)
	return g
}

func newTransport(once bool) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		DisableKeepAlives:      once,
		MaxIdleConnsPerHost:    idlePerServer,
		IdleConnTimeout:        idleLifetime,
		ExpectContinueTimeout:  0,
		MaxResponseHeaderBytes: 64 << 10,
	}
}

// dial opens a connection that is reset when it is closed. A request that was
// given up must not be run when a machine that stood still reads it later.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return nil, errors.Join(err, conn.Close())
		}
	}
	return conn, nil
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run follows the feed until ctx is done.
func (g *Gateway) Run(ctx context.Context) {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.Feed.Changed():
			g.services.update(g.Feed.Snapshot())
		case <-tick.C:
			g.services.expire()
		}
	}
}

// StartDrain makes the gateway close callers' connections after their answers.
func (g *Gateway) StartDrain() { g.leaving.Store(true) }

// Ready reports whether the gateway can serve requests.
func (g *Gateway) Ready() bool {
	return !g.leaving.Load() && g.Feed.Snapshot().Configuration != nil
}

// keysExpired reports whether the copy of the configuration is too old for the
// use of keys.
func (g *Gateway) keysExpired() bool {
	return g.Feed.Age() > time.Duration(g.revoke.Load())-revokeMargin
}

// KeysUsable reports whether the gateway can serve requests with keys.
func (g *Gateway) KeysUsable() bool { return !g.keysExpired() }

// avoidFor is how long a server is out of use that the controller wants avoided.
// The controller repeats that many times in this time.
const avoidFor = 700 * time.Millisecond

// UpdateRankLoad takes a backend server's load as its group's controller tells it.
func (g *Gateway) UpdateRankLoad(service, server string, load peers.RankLoad) {
	pool := g.services.get(service).pool
	if load.Evacuate {
		pool.Evacuate(server, avoidFor)
	}
	if load.Avoid {
		pool.Avoid(server, avoidFor)
		return
	}
	pool.Report(server, load.Load)
}

// SetGateways tells how many gateways share the backend servers and the budget
// of repeated sends. Until the number is settled, the fixed part of the budget is
// left to those that know it.
func (g *Gateway) SetGateways(n int, settled bool) {
	slack := 0.0
	if settled {
		slack = g.RetrySlack * slackShare / float64(max(n, 1))
	}
	g.budget.SetSlack(slack)
	g.services.setGateways(n, settled)
}

// SetLimit sets how many requests a rank of a model service runs at a time, and how
// long a pass of its group takes, 0 if that is unknown.
func (g *Gateway) SetLimit(service string, perRank float64, pass time.Duration) {
	g.services.setLimit(service, perRank, pass)
}

// RefusedRecently reports whether callers of a service were refused lately because places
// are short.
func (g *Gateway) RefusedRecently(service string) bool { return g.services.get(service).refusing() }

// request is a caller's request on its way.
type request struct {
	RequestInfo
	in      *http.Request
	body    []byte
	route   *deployment.Route
	service *deployment.Service
	account fleet.ClientAccount
	// urgency is the client account's rank, or the route's where the account has
	// none.
	urgency int
	arrived time.Time
	// deadline is when the caller or the route stops waiting.
	deadline time.Time
	// tried holds the servers that the request was sent to.
	tried []string
	// runs counts the servers that may have run the request.
	runs int
}

// routeRanks is the number of ranks of routes within a rank of accounts: top,
// middle and bottom.
const routeRanks = 3

// order is the request's place among those that wait, 0 first. An account's rank
// goes before the route's, which decides between requests of the same rank.
func (r *request) order() int {
	return routeRanks*r.urgency + min(r.route.Urgency, routeRanks-1)
}

func (r *request) left() time.Duration { return time.Until(r.deadline) }

// ServeHTTP handles one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	r, refusal := g.accept(w, in)
	if refusal != nil {
		g.refuse(w, r, refusal)
		return
	}
	defer g.bodies.Add(-int64(len(r.body)))
	ctx, cancel := context.WithDeadline(in.Context(), r.deadline)
	defer cancel()
	if r.route.Kind == deployment.Streaming {
		g.serveStream(ctx, w, r)
		return
	}
	g.servePlain(ctx, w, r)
}

// accept reads a request and decides whether it is served.
func (g *Gateway) accept(w http.ResponseWriter, in *http.Request) (*request, *verdict.Error) {
	r := &request{RequestInfo: g.Headers.Call(in.Header), in: in, arrived: time.Now()}
	c := g.Feed.Snapshot().Configuration
	if c == nil {
		return r, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, "no configuration was read yet").WithRetryAfter(time.Second)
	}
	if refusal := g.authorize(c, r); refusal != nil {
		return r, refusal
	}
	patience := defaultPatience
	if r.HasTimeout {
		patience = r.Timeout
	}
	if r.route.Timeout > 0 {
		patience = min(patience, r.route.Timeout)
	}
	r.deadline = r.arrived.Add(patience)
	return r, g.readBody(w, r, c.Limits)
}

// authorize finds the route, the service and the client account.
func (g *Gateway) authorize(c *deployment.Configuration, r *request) *verdict.Error {
	age := g.Feed.Age()
	r.route = c.Route(r.in.Host, r.in.URL.EscapedPath())
	if r.route == nil {
		return g.unknown(age, http.StatusNotFound, verdict.ReasonUnknownService, "no route for this host and path")
	}
	r.urgency = r.route.Urgency
	if !r.route.Anonymous && c.Keys != nil {
		account := c.Keys[r.Key]
		if account == nil {
			return g.unknown(age, http.StatusUnauthorized, verdict.ReasonUnauthenticated, "the key is not known")
		}
		if g.keysExpired() {
			return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoConfiguration,
				"the keys were last confirmed %s ago", age.Round(time.Millisecond)).WithRetryAfter(elsewhereAfter)
		}
		r.account = account.Name
		if account.Urgency >= 0 {
			r.urgency = account.Urgency
		}
	}
	r.service = c.Services[pickTarget(r.route.Targets)]
	if r.service == nil {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonUnknownService, "the route's service is not described").WithRetryAfter(time.Second)
	}
	return nil
}

// unknown refuses what the copy of the configuration does not have. An old copy
// proves nothing.
func (g *Gateway) unknown(age time.Duration, status int, reason verdict.Reason, detail string) *verdict.Error {
	if age > staleAfter {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, "%s; the configuration was last confirmed %s ago",
			detail, age.Round(time.Millisecond)).WithRetryAfter(elsewhereAfter)
	}
	return verdict.Refuse(status, reason, "%s", detail)
}

// pickTarget draws a service by weight.
func pickTarget(targets []deployment.Target) string {
	total := 0
	for _, t := range targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, t := range targets {
		n -= max(t.Weight, 0)
		if n < 0 {
			return t.Service
		}
	}
	return ""
}

// readBody reads the whole body: a repeated send needs it, and a backend server
// must not wait for a slow caller.
func (g *Gateway) readBody(w http.ResponseWriter, r *request, limits deployment.Limits) *verdict.Error {
	limit := int64(limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.in.ContentLength > limit {
		return verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.ReasonBadRequest, "the body has more than %d bytes", limit)
	}
	if float64(g.bodies.Load()+max(r.in.ContentLength, 0)) > bodyMemoryShare*float64(g.MemoryBytes) {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, "the bodies of other requests fill the memory").WithRetryAfter(time.Second)
	}
	if r.in.Body == nil || r.in.Body == http.NoBody {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.in.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.ReasonBadRequest, "the body has more than %d bytes", limit)
	}
	if err != nil {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "the body did not arrive in full: %v", err)
	}
	r.body = body
	g.bodies.Add(int64(len(body)))
	return nil
}
