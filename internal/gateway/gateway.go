// Package gateway accepts callers' requests and forwards them to backend servers over
// its own connections. Requests to plain services are retried where the route allows
// it; streams are relayed event by event and resumed at another server after a failure.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/bounded"
	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/feed"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/inbound"
	"github.com/coltsfootbay/coltsfootbay/internal/outbound"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/retry"
	"github.com/coltsfootbay/coltsfootbay/internal/shutdown"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	// staleAfter is the age of the configuration copy above which a missing route or
	// key may be newer than the copy. Such a request is refused with 503 instead of 404
	// or 401. The feed confirms the copy every 2.4 s.
	staleAfter = 2600 * time.Millisecond
	// otherGatewayRetryAfter is the Retry-After value of a request that another gateway
	// can probably serve: the store may be unavailable to a single machine for seconds.
	otherGatewayRetryAfter = 40 * time.Millisecond
	// revocationMargin is subtracted from the time for which a key may be used on an
	// old copy, to cover the transfer from the gateway to the backend server.
	revocationMargin = 300 * time.Millisecond
	// defaultTimeout applies to requests without a timeout.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes limits request bodies when the configuration sets no limit.
	defaultBodyBytes = 1 << 20
	// answerMemoryShare is the fraction of the process's memory that buffered responses may
	// use.
	answerMemoryShare = 0.2
	// freeAnswerBytes is the part of each response that does not count: faulty servers that
	// fill the memory for responses must not keep short ones of other servers out.
	freeAnswerBytes = 16 << 10
	// writeGrace is how long an answer may still be written after the request's deadline.
	writeGrace = 2 * time.Second
	// dialTimeout limits connecting to a backend server, which takes a round trip of
	// about 1 ms and the server's handshake of 1 ms.
	dialTimeout = 350 * time.Millisecond
	// maxIdleConnsPerServer and idleConnTimeout limit the idle connections to a server.
	maxIdleConnsPerServer = 32
	idleConnTimeout       = 10 * time.Second
	// maxBufferedBytes limits a plain response that is buffered until it is complete,
	// which allows a retry if it breaks off. A longer one counts as a failed attempt.
	maxBufferedBytes = 256 << 10
)

// Config holds the dependencies and settings of a Gateway.
type Config struct {
	Zone     fleet.AvailabilityZone
	Feed     *feed.Feed
	Headers  Headers
	Recorder *events.Recorder
	Metrics  *Metrics
	// RevocationDelay is how long a key may still be used after it was removed.
	RevocationDelay time.Duration
	// Retries limits the retries, and AnnounceRetry is called with a service before a retry
	// is sent there.
	Retries       *retry.ServiceBudgets
	AnnounceRetry func(service string)
	// MemoryBytes is the memory available to the process.
	MemoryBytes int64
	// IdleConnections limits the idle connections to all backend servers; 0 means no limit.
	IdleConnections int
	// Quarantine holds the suspicions that this gateway knows, and Suspicions exchanges
	// them with the other gateways.
	Quarantine *quarantine.Registry
	Suspicions Suspicions
}

// Gateway is the http.Handler for callers' requests.
type Gateway struct {
	Config
	services        *services
	keepAliveClient *http.Client
	oneShotClient   *http.Client
	answers         *bounded.Budget
	stop            *shutdown.Stop
	waiting         waitingRequests // queued requests
	// revocationDelay is Config.RevocationDelay in nanoseconds; a reload may change it.
	revocationDelay atomic.Int64
}

// SetRevocationDelay sets how long a key may still be used after it was removed.
func (g *Gateway) SetRevocationDelay(d time.Duration) { g.revocationDelay.Store(int64(d)) }

// New returns a gateway. The caller must also call Run.
func New(c Config) *Gateway {
	g := &Gateway{
		Config:          c,
		services:        newServices(c.Zone, c.Recorder),
		keepAliveClient: outbound.NewClient(newTransport(c.IdleConnections, false)),
		oneShotClient:   outbound.NewClient(newTransport(0, true)),
		answers:         bounded.NewBudget(int64(answerMemoryShare * float64(c.MemoryBytes))),
		stop:            shutdown.New(),
	}
	g.SetRevocationDelay(c.RevocationDelay)
	return g
}

func newTransport(idleConnections int, disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext:           dial,
		DisableCompression:    true,
		DisableKeepAlives:     disableKeepAlives,
		MaxIdleConns:          idleConnections,
		MaxIdleConnsPerHost:   maxIdleConnsPerServer,
		IdleConnTimeout:       idleConnTimeout,
		ExpectContinueTimeout: 0,
	}
}

// dial opens a connection that is reset when it is closed. Otherwise a machine that was
// frozen could read and run a request that the gateway has already abandoned.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second, Control: bounded.LimitUnread}
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

// Run applies the snapshots of the feed and refuses queued requests that are too late,
// until ctx is done.
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

// Ready reports whether the gateway can serve requests.
func (g *Gateway) Ready() bool {
	return !g.leaving() && g.Feed.Snapshot().Configuration != nil
}

// keysExpired reports whether a copy of the configuration is too old to accept its keys.
func (g *Gateway) keysExpired(age time.Duration) bool {
	return age > time.Duration(g.revocationDelay.Load())-revocationMargin
}

// KeysUsable reports whether the gateway can serve requests with keys.
func (g *Gateway) KeysUsable() bool { return !g.keysExpired(g.Feed.Copy().Age()) }

// avoidDuration is how long a server is not used after the controller asked to avoid
// it. The controller repeats its request several times within this time.
const avoidDuration = 700 * time.Millisecond

// UpdateRankLoad applies the load of a backend server that its group's controller has
// reported.
func (g *Gateway) UpdateRankLoad(service, server string, load peers.RankLoad) {
	pool := g.services.get(service).pool
	if load.Evacuate {
		pool.Evacuate(server, avoidDuration)
	}
	if load.Avoid {
		pool.Avoid(server, avoidDuration)
		return
	}
	pool.Report(server, load.Load)
}

// SetGateways sets the number of gateways that share the backend servers.
func (g *Gateway) SetGateways(n int, settled bool) { g.services.setGateways(n, settled) }

// SetLimit sets how many requests each rank of a model service may run at a time, and
// the duration of a forward pass of its group, 0 if that is unknown.
func (g *Gateway) SetLimit(service string, perRank float64, pass time.Duration) {
	g.services.setLimit(service, perRank, pass)
}

// RefusedRecently reports whether callers of a service were recently refused for lack
// of free slots.
func (g *Gateway) RefusedRecently(service string) bool {
	return g.services.get(service).refusedRecently()
}

// request is a caller's request and its state in the gateway.
type request struct {
	RequestInfo
	in   *http.Request
	body []byte
	// releaseBody must be called when the body is no longer used.
	releaseBody func()
	route       *deployment.Route
	service     *deployment.Service
	account     fleet.ClientAccount
	// urgency is the priority of the client account, or that of the route if the
	// account has none.
	urgency int
	arrived time.Time
	// read is when the whole request had arrived, or the same as arrived until then.
	read time.Time
	// deadline is the earlier of the caller's and the route's time limit.
	deadline time.Time
	// tried holds the IDs of the servers that the request was sent to.
	tried []string
	// retryTaken is true while a retry is taken from the budget and not sent, and
	// retryTakenAt is when the latest one was taken.
	retryTaken   bool
	retryTakenAt time.Time
	// runs counts the servers that may have run the request.
	runs int
	// fingerprints identify the request and the properties that it shares with others.
	fingerprints []uint64
	// trial is the trial that the current attempt is; it has no fingerprints if it is
	// none. suspects are those of its fingerprints that were under suspicion.
	trial    quarantine.Trial
	suspects []uint64
	// proven is true once a server has begun to answer the request.
	proven bool
	// nextStreamed is the value of quarantine.Blame.Streamed for the current attempt, and
	// sendNumber its number among the requests that were sent to its server.
	nextStreamed uint8
	sendNumber   uint64
}

// routePriorities is the number of route priorities within each account priority: top,
// middle and bottom.
const routePriorities = 3

// queuePriority returns the request's priority in the queue, 0 first. The account's
// priority comes first; the route's decides between requests of the same account
// priority.
func (r *request) queuePriority() int {
	return routePriorities*r.urgency + min(r.route.Urgency, routePriorities-1)
}

func (r *request) remaining() time.Duration { return time.Until(r.deadline) }

// ServeHTTP handles one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if g.leaving() {
		w.Header().Set("Connection", "close")
	}
	r, refusal := g.accept(w, in)
	if refusal != nil {
		limitWriting(w, time.Now())
		g.refuse(w, r, refusal)
		return
	}
	limitWriting(w, r.deadline)
	defer r.releaseBody()
	defer g.returnRetry(r)
	times := &g.services.get(r.service.Name).durations
	times.begin(r)
	defer func() { times.end(r, time.Now()) }()
	g.Retries.Request(r.service.Name)
	ctx, cancel := context.WithDeadline(in.Context(), r.deadline)
	defer cancel()
	defer context.AfterFunc(g.stop.Ended(), cancel)()
	if r.route.Kind == deployment.Streaming {
		g.serveStream(ctx, w, r)
		return
	}
	g.servePlain(ctx, w, r)
}

// limitWriting bounds how long a caller that reads no answer holds the request up.
func limitWriting(w http.ResponseWriter, deadline time.Time) {
	// An error means that the connection is closed, and writing fails too.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace))
}

// accept reads a request and authorizes it. It returns an error if the request is
// refused.
func (g *Gateway) accept(w http.ResponseWriter, in *http.Request) (*request, *verdict.Error) {
	r := &request{RequestInfo: g.Headers.Call(in.Header), in: in, arrived: time.Now()}
	r.read = r.arrived
	known := g.Feed.Copy()
	c := known.Configuration
	if c == nil {
		return r, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, "no configuration was read yet").WithRetryAfter(time.Second)
	}
	if refusal := g.authorize(known, r); refusal != nil {
		return r, refusal
	}
	timeout := defaultTimeout
	if r.HasTimeout {
		timeout = r.Timeout
	}
	if r.route.Timeout > 0 {
		timeout = min(timeout, r.route.Timeout)
	}
	r.deadline = r.arrived.Add(timeout)
	if refusal := g.refuseLate(r); refusal != nil {
		return r, refusal
	}
	if refusal := g.readBody(w, r, c.Limits); refusal != nil {
		return r, refusal
	}
	if refusal := g.refuseLate(r); refusal != nil {
		r.releaseBody()
		return r, refusal
	}
	r.fingerprints = fingerprints(r)
	return r, nil
}

// authorize sets the route, the service and the client account of a request by a copy of
// the configuration. The age is that of this copy: a newer one may have been confirmed since.
func (g *Gateway) authorize(known feed.Copy, r *request) *verdict.Error {
	c, age := known.Configuration, known.Age()
	r.route = c.Route(r.in.Host, r.in.URL.EscapedPath())
	if r.route == nil {
		return g.refuseUnknown(age, http.StatusNotFound, verdict.ReasonUnknownService, "no route for this host and path")
	}
	r.urgency = r.route.Urgency
	if !r.route.Anonymous && c.Keys != nil {
		account := c.Keys[r.Key]
		if account == nil {
			return g.refuseUnknown(age, http.StatusUnauthorized, verdict.ReasonUnauthenticated, "the key is not known")
		}
		if g.keysExpired(age) {
			return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoConfiguration,
				"the keys were last confirmed %s ago", age.Round(time.Millisecond)).WithRetryAfter(otherGatewayRetryAfter)
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

// refuseUnknown returns the refusal of a route or key that the copy of the
// configuration does not have. If the copy is outdated, the route or key may exist.
func (g *Gateway) refuseUnknown(age time.Duration, status int, reason verdict.Reason, detail string) *verdict.Error {
	if age > staleAfter {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, "%s; the configuration was last confirmed %s ago",
			detail, age.Round(time.Millisecond)).WithRetryAfter(otherGatewayRetryAfter)
	}
	return verdict.Refuse(status, reason, "%s", detail)
}

// pickTarget chooses a service at random by weight.
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

// readBody reads the whole body. A retry needs the body, and a backend server must not
// wait for a slow caller.
func (g *Gateway) readBody(w http.ResponseWriter, r *request, limits deployment.Limits) *verdict.Error {
	limit := int64(limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	// A caller that sends its body too slowly is not waited for beyond its time limit.
	body, release, err := inbound.ReadBody(w, r.in, limit, r.deadline)
	switch {
	case errors.Is(err, bounded.ErrTooLong):
		return verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.ReasonBadRequest, "the body has more than %d bytes", limit)
	case errors.Is(err, inbound.ErrOverloaded):
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, "%v", err).WithRetryAfter(time.Second)
	case isTimeout(err):
		return verdict.Refuse(http.StatusRequestTimeout, verdict.ReasonDeadline, "the body did not arrive in time")
	case err != nil:
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "the body did not arrive in full: %v", err)
	}
	r.body, r.releaseBody, r.read = body, release, time.Now()
	return nil
}
