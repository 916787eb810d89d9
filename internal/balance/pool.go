// Package balance selects the backend server of a service for a request. It uses what
// this process knows: its own requests, the servers' load reports and the outcomes of
// earlier requests. It makes no calls.
package balance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/outlier"
)

const (
	// baseAvoidPeriod is the time for which a failed server gets no requests. It doubles
	// with each consecutive failure, up to maxAvoidPeriod.
	baseAvoidPeriod = 400 * time.Millisecond
	maxAvoidPeriod  = 3 * time.Second
	// serversPerGateway is the typical number of model servers per gateway.
	serversPerGateway = 2
	// minCandidates is the minimum number of servers that are compared for a request,
	// and candidatesPerShare their number relative to a gateway's share of the servers.
	minCandidates      = 2
	candidatesPerShare = 2
)

// Backend is a backend server as this process sees it.
type Backend struct {
	Server *deployment.Server

	// sends is the number of requests that this process has sent to the server.
	sends atomic.Uint64

	// inFlight is the number of this process's requests at the server.
	inFlight int
	// reported is the load from all callers as of reportedAt, in requests, and
	// sinceReport the net number of requests that this process has added since.
	reported    int
	sinceReport int
	reportedAt  time.Time

	failures            outlier.FailureRate
	consecutiveFailures int
	avoidedUntil        time.Time
	evacuatedUntil      time.Time
}

// CountSend counts a request that is sent to the server, and returns its number.
func (b *Backend) CountSend() uint64 { return b.sends.Add(1) }

// LastSend returns the number of the last request that was sent to the server.
func (b *Backend) LastSend() uint64 { return b.sends.Load() }

// load estimates the number of requests at the server. Without a valid report, the other
// gateways are assumed to have sent as many requests as this one.
func (b *Backend) load(now time.Time, gateways int) int {
	if !b.hasReport(now) {
		return b.inFlight * gateways
	}
	return max(b.reported+b.sinceReport, b.inFlight)
}

func (b *Backend) hasReport(now time.Time) bool {
	return !b.reportedAt.IsZero() && now.Sub(b.reportedAt) <= reportLifetime
}

func (b *Backend) usable(now time.Time) bool {
	return !b.Server.Leaving && !now.Before(b.avoidedUntil)
}

// Pool holds the backend servers of one service. It is safe for concurrent use.
type Pool struct {
	zone fleet.AvailabilityZone
	now  func() time.Time

	mu       sync.Mutex
	backends map[string]*Backend
	// gateways is the number of processes that send requests to the servers.
	gateways int
	settled  bool
	// recentSends holds the times of the requests that this process sent within the last
	// reportAge, oldest first.
	recentSends []time.Time
	// rounding is a random fraction of a slot, added to this process's share of the free
	// slots before it is compared. It is drawn again after every reportAge.
	rounding        float64
	roundingDrawnAt time.Time
}

// NewPool returns an empty pool. Among servers with equal load, those in zone are
// preferred.
func NewPool(zone fleet.AvailabilityZone) *Pool {
	return &Pool{zone: zone, now: time.Now, backends: map[string]*Backend{}, gateways: 1, settled: true}
}

// Update replaces the servers. The state of a server is kept as long as its start time
// and address are unchanged.
func (p *Pool) Update(servers []*deployment.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*Backend, len(servers))
	for _, s := range servers {
		b := p.backends[s.ID]
		if b == nil || b.Server.Address != s.Address || b.Server.StartMS != s.StartMS {
			b = &Backend{}
		}
		b.Server = s
		next[s.ID] = b
	}
	p.backends = next
}

// SetGateways sets the number of processes that send requests to the servers. A number
// that is not settled may be far too small; the number of servers then gives a lower
// bound.
func (p *Pool) SetGateways(n int, settled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gateways, p.settled = max(n, 1), settled
}

// senderCount returns the number of processes that are assumed to send requests to the
// servers.
func (p *Pool) senderCount() int {
	if p.settled {
		return p.gateways
	}
	return max(p.gateways, len(p.backends)/serversPerGateway)
}

// Share returns the number of usable servers divided by the number of gateways.
func (p *Pool) Share() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, n := p.now(), 0
	for _, b := range p.backends {
		if b.usable(now) {
			n++
		}
	}
	return float64(n) / float64(p.senderCount())
}

// Constraint limits the servers to which a request may be sent.
type Constraint struct {
	// Exclude holds the IDs of servers to which the request was sent before.
	Exclude []string
	// LoadLimit is the maximum average load of the servers, in requests; 0 means no limit.
	// With a limit, a process takes only its share of the free slots.
	LoadLimit float64
}

// Acquire returns the least loaded of some randomly drawn servers and counts the request
// there. It returns nil if the process has used its share of the free slots or no server
// is below the limit. Servers that failed recently are used only if there is no other. The
// caller must call Release for the returned server.
func (p *Pool) Acquire(c Constraint) *Backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if c.LoadLimit > 0 && !p.withinFreeShare(c.LoadLimit, now) {
		return nil
	}
	best := p.leastLoaded(c, now, true)
	if best == nil {
		best = p.leastLoaded(c, now, false)
	}
	if best == nil {
		return nil
	}
	best.inFlight++
	best.sinceReport++
	if c.LoadLimit > 0 {
		p.recentSends = append(p.recentSends, now)
	}
	return best
}

// leastLoaded returns the least loaded of some randomly drawn servers, or nil. Load
// pattern: many gateways that know the same loads. If each selected the least loaded of
// all servers, all would send to the same server until its next report.
func (p *Pool) leastLoaded(c Constraint, now time.Time, healthy bool) *Backend {
	var eligible []*Backend
	for _, b := range p.backends {
		if b.Server.Leaving || (healthy && !b.usable(now)) || contains(c.Exclude, b.Server.ID) {
			continue
		}
		if c.LoadLimit > 0 && float64(b.load(now, p.senderCount())) >= c.LoadLimit+loadImbalance {
			continue
		}
		eligible = append(eligible, b)
	}
	candidates := max(minCandidates, candidatesPerShare*len(p.backends)/p.senderCount())
	var best *Backend
	bestKey := 0
	for n := 0; n < candidates && len(eligible) > 0; n++ {
		i := rand.IntN(len(eligible))
		b := eligible[i]
		eligible[i] = eligible[len(eligible)-1]
		eligible = eligible[:len(eligible)-1]
		// The zone is only a tie-breaker between servers with the same load.
		key := 2 * b.load(now, p.senderCount())
		if b.Server.Zone != p.zone {
			key++
		}
		if best == nil || key < bestKey {
			best, bestKey = b, key
		}
	}
	return best
}

func contains(ids []string, id string) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// Release removes a finished request from the count. This process may use its slot again.
func (p *Pool) Release(b *Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.inFlight--
	if len(p.recentSends) > 0 {
		p.recentSends = p.recentSends[1:]
	}
	if b.sinceReport > -b.reported {
		b.sinceReport--
	}
}

// RecordSuccess records a complete response from the server.
func (p *Pool) RecordSuccess(b *Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.failures.Record(false)
	b.consecutiveFailures = 0
}

// RecordFailure records a request that failed at the server, and avoids the server for a
// time if its failure rate is an outlier or dead is true. dead means that the server could
// not be reached or closed the connection early.
func (p *Pool) RecordFailure(b *Backend, dead bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.failures.Record(true)
	b.consecutiveFailures++
	if !dead && !b.failures.Outlier() {
		return
	}
	avoidPeriod := min(baseAvoidPeriod<<min(b.consecutiveFailures-1, 4), maxAvoidPeriod)
	b.avoidedUntil = p.now().Add(avoidPeriod)
}

// MarkMisdirected records that another server responds at the address of b, and avoids b
// for maxAvoidPeriod, in which the platform's list of servers is expected to be updated.
func (p *Pool) MarkMisdirected(b *Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.avoidedUntil = p.now().Add(maxAvoidPeriod)
}

// MarkFull records that the server refused a request because it is at capacity. slots is
// the number of requests that the server runs at a time.
func (p *Pool) MarkFull(b *Backend, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.reported, b.sinceReport, b.reportedAt = max(b.reported, 2*slots), 0, p.now()
}

// Report records a server's current load, in requests.
func (p *Pool) Report(id string, load int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.reported, b.sinceReport, b.reportedAt = load, 0, p.now()
	}
}

// Avoid excludes a server from use for a time d.
func (p *Pool) Avoid(id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.avoidedUntil = p.now().Add(d)
	}
}

// Evacuate marks a server, for a time d, as one whose running requests should move to
// another server.
func (p *Pool) Evacuate(id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.evacuatedUntil = p.now().Add(d)
	}
}

// ShouldEvacuate reports whether a request that runs at b should move to another server.
func (p *Pool) ShouldEvacuate(b *Backend) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now().Before(b.evacuatedUntil)
}

// Totals summarizes the load of a pool.
type Totals struct {
	// Servers is the number of usable servers, Load the estimated number of all requests
	// at these, and Own the number of this process's requests at any server.
	Servers, Load, Own int
}

// Totals returns the current totals.
func (p *Pool) Totals() Totals {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var t Totals
	for _, b := range p.backends {
		t.Own += b.inFlight
		if b.usable(now) {
			t.Servers++
			t.Load += b.load(now, p.senderCount())
		}
	}
	return t
}

// Servers returns the servers of the pool, including leaving ones.
func (p *Pool) Servers() []*deployment.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*deployment.Server, 0, len(p.backends))
	for _, b := range p.backends {
		out = append(out, b.Server)
	}
	return out
}
