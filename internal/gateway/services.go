package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/admission"
	"github.com/coltsfootbay/coltsfootbay/internal/balance"
	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/feed"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// expiryInterval is how often waiting requests are checked for lateness.
const expiryInterval = 20 * time.Millisecond

// services holds a pool of backend servers and a queue for each service.
type services struct {
	zone     fleet.AvailabilityZone
	recorder *events.Recorder

	mu       sync.Mutex
	byName   map[string]*service
	gateways int
	settled  bool
}

// service is one service's pool with the requests that wait for it.
type service struct {
	pool *balance.Pool

	mu    sync.Mutex
	queue *admission.Queue[chan *place]
	// limit is the number of requests that the servers run at a time on average; 0
	// means that requests never wait here.
	limit float64
	// streams is the number of streams that run at the servers, and lastEvent
	// when one of them got an event or the first of them began.
	streams   atomic.Int64
	lastEvent atomic.Int64
	reserve   reserve
}

const (
	// stalledAfter is the time without an event of any stream after which a group
	// counts as stalled. A pass takes less than 0.2 s.
	stalledAfter = 700 * time.Millisecond
	// probeStreams is the number of streams without an event from which on no
	// other is sent to a group that seems to be stalled.
	probeStreams = 3
)

// stalled reports whether no stream gets events, at any server. All ranks of a
// group pass together, so a request sent now would wait like the others.
func (x *service) stalled() bool {
	return x.streams.Load() >= probeStreams && time.Since(processStart).Nanoseconds()-x.lastEvent.Load() > stalledAfter.Nanoseconds()
}

// processStart makes steady-clock readings out of durations.
var processStart = time.Now()

// streamBegan and streamEnded count streams; gotEvent notes an event.
func (x *service) streamBegan() {
	if x.streams.Add(1) == 1 {
		x.gotEvent()
	}
}

func (x *service) streamEnded() { x.streams.Add(-1) }

func (x *service) gotEvent() { x.lastEvent.Store(time.Since(processStart).Nanoseconds()) }

func newServices(zone fleet.AvailabilityZone, recorder *events.Recorder) *services {
	return &services{zone: zone, recorder: recorder, byName: map[string]*service{}}
}

func (s *services) get(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.byName[name]
	if x == nil {
		x = &service{pool: balance.NewPool(s.zone), queue: admission.NewQueue[chan *place]()}
		x.pool.SetGateways(s.gateways, s.settled)
		s.byName[name] = x
	}
	return x
}

func (s *services) all() []*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*service, 0, len(s.byName))
	for _, x := range s.byName {
		out = append(out, x)
	}
	return out
}

// update takes the servers and limits of a snapshot.
func (s *services) update(snapshot *feed.Snapshot) {
	if snapshot.Configuration == nil {
		return
	}
	for name, d := range snapshot.Configuration.Services {
		x := s.get(name)
		x.pool.Update(snapshot.Servers[name])
		x.initLimit(d)
		x.dispatch()
	}
}

func (s *services) setGateways(n int, settled bool) {
	s.mu.Lock()
	s.gateways, s.settled = n, settled
	s.mu.Unlock()
	for _, x := range s.all() {
		x.pool.SetGateways(n, settled)
	}
}

func (s *services) setLimit(name string, perRank float64) {
	x := s.get(name)
	x.mu.Lock()
	x.limit = perRank
	x.mu.Unlock()
	x.dispatch()
}

func (s *services) expire() {
	for _, x := range s.all() {
		x.dispatch()
	}
}

// firstLimitShare is the part of an engine's slots that is used until the controller
// of its group says how many requests its ranks may run.
const firstLimitShare = 0.5

// initLimit sets the limit of a model service that no controller has set yet.
func (x *service) initLimit(d *deployment.Service) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if d.Engine != nil && x.limit == 0 {
		x.limit = max(float64(d.Engine.Slots)*firstLimitShare, 1)
	}
}

// place is a request's right to run at a server.
type place struct {
	service *service
	backend *balance.Backend
}

// release gives the place to the next request.
func (p *place) release() {
	p.service.pool.Release(p.backend)
	p.service.dispatch()
}

// item is a request that waits; its value gets a place, or nil when the request
// became too late.
type item = admission.Item[chan *place]

// tryPlace returns a place that is free now whatever waits, or nil.
func (x *service) tryPlace(c balance.Constraint) *place {
	b := x.pool.Acquire(c)
	if b == nil {
		return nil
	}
	return &place{service: x, backend: b}
}

// acquire waits for a place in the order of the queue. It returns nil when the
// item became too late or ctx is done.
func (x *service) acquire(ctx context.Context, i *item) *place {
	i.Value = make(chan *place, 1)
	x.mu.Lock()
	x.queue.Push(i)
	x.mu.Unlock()
	x.dispatch()
	select {
	case p := <-i.Value:
		return p
	case <-ctx.Done():
	}
	x.mu.Lock()
	removed := x.queue.Remove(i)
	x.mu.Unlock()
	if removed {
		return nil
	}
	if p := <-i.Value; p != nil {
		p.release()
	}
	return nil
}

// dispatch gives the free places to waiting requests and refuses those that are
// too late.
func (x *service) dispatch() {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	for _, late := range x.queue.Expired(now) {
		late.Value <- nil
	}
	for x.queue.Len() > 0 && !x.stalled() {
		p := x.tryPlace(balance.Constraint{Limit: x.limit})
		if p == nil {
			return
		}
		x.queue.Pop(now).Value <- p
	}
}

// wait estimates the time in the queue for a new request that is late after
// inTime.
func (x *service) wait(urgency int, inTime time.Duration) (time.Duration, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	x.queue.Arrived(urgency, now)
	return x.queue.Wait(urgency, inTime, now)
}
