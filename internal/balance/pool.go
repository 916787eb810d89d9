// Package balance chooses the backend server of a service for a request. It
// works on what this process knows: its own requests, the servers' reports and
// the outcomes of earlier requests. It makes no calls.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/outlier"
)

const (
	// probation is how long a server that failed gets no work, doubled for each
	// failure in a row up to maxProbation.
	probation    = 400 * time.Millisecond
	maxProbation = 3 * time.Second
	// serversPerGateway is the number of model servers that deployments have for
	// each gateway.
	serversPerGateway = 2
	// leastDrawn is the least number of servers that are compared, and drawnShare
	// the number per gateway's part of the servers.
	leastDrawn = 2
	drawnShare = 2
)

// Backend is a backend server as this process sees it.
type Backend struct {
	Server *deployment.Server

	// running is the number of this process's requests at the server.
	running int
	// reported is the load of all callers as of reportedAt, sinceReport how much
	// this process has added since.
	reported    int
	sinceReport int
	reportedAt  time.Time

	failures    outlier.FailureRate
	inARow      int
	avoidedTill time.Time
	leftTill    time.Time
}

// load estimates how many requests the server has. Without a report, the
// other gateways are taken to have sent as much as this one.
func (b *Backend) load(now time.Time, gateways int) int {
	if !b.hasReport(now) {
		return b.running * gateways
	}
	return max(b.reported+b.sinceReport, b.running)
}

func (b *Backend) hasReport(now time.Time) bool {
	return !b.reportedAt.IsZero() && now.Sub(b.reportedAt) <= reportLifetime
}

func (b *Backend) usable(now time.Time) bool {
	return !b.Server.Leaving && !now.Before(b.avoidedTill)
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
	// sent holds when this process sent its last requests, the oldest first.
	sent []time.Time
	// rounding is a random part of a place that rounds this process's part of the
	// free places; it is drawn anew every reportAge.
	rounding float64
	drawn    time.Time
}

// NewPool returns an empty pool. Servers in zone are preferred among equals.
func NewPool(zone fleet.AvailabilityZone) *Pool {
	return &Pool{zone: zone, now: time.Now, backends: map[string]*Backend{}, gateways: 1, settled: true}
}

// Update replaces the servers. What is known of a server is kept as long as it
// is the same start at the same address.
func (p *Pool) Update(servers []*deployment.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*Backend, len(servers))
	for _, s := range servers {
		b := p.backends[s.ID]
		if b == nil || b.Server.Address != s.Address || b.Server.Born != s.Born {
			b = &Backend{}
		}
		b.Server = s
		next[s.ID] = b
	}
	p.backends = next
}

// SetGateways tells how many processes send requests to the servers. A number
// that is not settled may be far too small; the number of servers is then a
// better guide.
func (p *Pool) SetGateways(n int, settled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gateways, p.settled = max(n, 1), settled
}

// senders returns the number of processes that a server's load without a report
// is estimated with.
func (p *Pool) senders() int {
	if p.settled {
		return p.gateways
	}
	return max(p.gateways, len(p.backends)/serversPerGateway)
}

// Share returns this process's part of the servers that take work.
func (p *Pool) Share() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, n := p.now(), 0
	for _, b := range p.backends {
		if b.usable(now) {
			n++
		}
	}
	return float64(n) / float64(p.senders())
}

// Constraint says which servers a request may go to.
type Constraint struct {
	// Except holds the IDs of servers that the request was sent to before.
	Except []string
	// Limit is the load that the servers have on average at most; 0 means no limit.
	// With a limit, a process takes only its part of the places that are free.
	Limit float64
}

// Acquire returns the server with the least load and counts the request there,
// or nil if none is below the limit. Servers that failed lately are used only
// if there is no other. Release must follow.
func (p *Pool) Acquire(c Constraint) *Backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if c.Limit > 0 && !p.mayTake(c.Limit, now) {
		return nil
	}
	best := p.least(c, now, true)
	if best == nil {
		best = p.least(c, now, false)
	}
	if best == nil {
		return nil
	}
	best.running++
	best.sinceReport++
	if c.Limit > 0 {
		p.sent = append(p.sent, now)
	}
	return best
}

// least returns the server with the least load of some that are drawn, or nil.
// Load pattern: many gateways that know the same loads. If each took the least
// of all, all would send to the same server until its next report.
func (p *Pool) least(c Constraint, now time.Time, healthy bool) *Backend {
	var fit []*Backend
	for _, b := range p.backends {
		if b.Server.Leaving || (healthy && !b.usable(now)) || contains(c.Except, b.Server.ID) {
			continue
		}
		if c.Limit > 0 && float64(b.load(now, p.senders())) >= c.Limit+unevenLoad {
			continue
		}
		fit = append(fit, b)
	}
	drawn := max(leastDrawn, drawnShare*len(p.backends)/p.senders())
	var best *Backend
	bestKey := 0
	for n := 0; n < drawn && len(fit) > 0; n++ {
		i := rand.IntN(len(fit))
		b := fit[i]
		fit[i] = fit[len(fit)-1]
		fit = fit[:len(fit)-1]
		// The zone decides only between servers with the same load.
		key := 2 * b.load(now, p.senders())
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

// Release ends the count of a request. Its place is this process's to use again.
func (p *Pool) Release(b *Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.running--
	if len(p.sent) > 0 {
		p.sent = p.sent[1:]
	}
	if b.sinceReport > -b.reported {
		b.sinceReport--
	}
}

// Succeeded notes an answer that the server gave in full.
func (p *Pool) Succeeded(b *Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.failures.Record(false)
	b.inARow = 0
}

// Failed notes a request that the server failed, and avoids the server for a
// while if it fails often. dead tells that the server could not be reached or
// broke off.
func (p *Pool) Failed(b *Backend, dead bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.failures.Record(true)
	b.inARow++
	if !dead && !b.failures.Outlier() {
		return
	}
	pause := min(probation<<min(b.inARow-1, 4), maxProbation)
	b.avoidedTill = p.now().Add(pause)
}

// Misdirected notes that another server answers at the address of b. The
// platform's list will say so soon.
func (p *Pool) Misdirected(b *Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.avoidedTill = p.now().Add(maxProbation)
}

// Full notes that the server refused a request because it has as many as it
// takes.
func (p *Pool) Full(b *Backend, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.reported, b.sinceReport, b.reportedAt = max(b.reported, 2*slots), 0, p.now()
}

// Report takes a server's load as of now.
func (p *Pool) Report(id string, load int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.reported, b.sinceReport, b.reportedAt = load, 0, p.now()
	}
}

// Avoid keeps a server out of use for a time.
func (p *Pool) Avoid(id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.avoidedTill = p.now().Add(d)
	}
}

// Evacuate tells that requests which run at a server should go on elsewhere, for a
// time.
func (p *Pool) Evacuate(id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.leftTill = p.now().Add(d)
	}
}

// ShouldEvacuate reports whether a request that runs at b should go on elsewhere.
func (p *Pool) ShouldEvacuate(b *Backend) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now().Before(b.leftTill)
}

// Totals describes a pool.
type Totals struct {
	// Servers is the number of servers that take work, Load the estimate of all
	// their requests, Own this process's part.
	Servers, Load, Own int
}

// Totals returns the present sums.
func (p *Pool) Totals() Totals {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var t Totals
	for _, b := range p.backends {
		t.Own += b.running
		if b.usable(now) {
			t.Servers++
			t.Load += b.load(now, p.senders())
		}
	}
	return t
}

// Servers returns the servers of the pool, leaving ones included.
func (p *Pool) Servers() []*deployment.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*deployment.Server, 0, len(p.backends))
	for _, b := range p.backends {
		out = append(out, b.Server)
	}
	return out
}
