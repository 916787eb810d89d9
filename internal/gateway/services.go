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
	// callers knows who has come back after a refusal.
	callers *admission.RetryDetector
	// limit is the number of requests that the servers run at a time on average; 0
	// means that requests never wait here.
	limit float64
	// engine is nil for a plain service; pass is the measured time of a pass of its
	// group, 0 while it is unknown.
	engine *deployment.Engine
	pass   time.Duration
	// streams is the number of streams that run at the servers, busySince when the
	// first of them began, and lastEvent when one got an event.
	streams   atomic.Int64
	busySince atomic.Int64
	lastEvent atomic.Int64
	// lastRefusal is when a server refused a request although it had slots.
	lastRefusal atomic.Int64
	reserve     reserve
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
	since := max(x.lastEvent.Load(), x.busySince.Load())
	return x.streams.Load() >= probeStreams && sinceStart()-since > stalledAfter.Nanoseconds()
}

// closedPause is the pause after which a group that refused a request is asked again.
const closedPause = 120 * time.Millisecond

// closed reports whether the group seems to take no requests: a server with free slots
// refused one and no stream got an event since. One request at a time then finds out
// whether it has opened. Load pattern: all machines lost power, and callers come back
// before the group has formed again.
func (x *service) closed() bool {
	refused := x.lastRefusal.Load()
	if refused == 0 || x.lastEvent.Load() > refused {
		return false
	}
	return x.pool.Totals().Own > 0 || sinceStart()-refused < closedPause.Nanoseconds()
}

// refusedWithSlots notes that a server refused a request although it has slots.
func (x *service) refusedWithSlots() { x.lastRefusal.Store(sinceStart()) }

// processStart makes steady-clock readings out of durations.
var processStart = time.Now()

// sinceStart returns the reading of the steady clock in nanoseconds.
func sinceStart() int64 { return time.Since(processStart).Nanoseconds() }

// streamBegan and streamEnded count streams; gotEvent notes an event.
func (x *service) streamBegan() {
	if x.streams.Add(1) == 1 {
		x.busySince.Store(sinceStart())
	}
}

func (x *service) streamEnded() { x.streams.Add(-1) }

func (x *service) gotEvent() { x.lastEvent.Store(sinceStart()) }

func newServices(zone fleet.AvailabilityZone, recorder *events.Recorder) *services {
	return &services{zone: zone, recorder: recorder, byName: map[string]*service{}}
}

func (s *services) get(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.byName[name]
	if x == nil {
		x = &service{pool: balance.NewPool(s.zone), queue: admission.NewQueue[chan *place](), callers: admission.NewRetryDetector(time.Now())}
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

func (s *services) setLimit(name string, perRank float64, pass time.Duration) {
	x := s.get(name)
	x.mu.Lock()
	x.limit, x.pass = perRank, pass
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
	x.engine = d.Engine
	if d.Engine != nil && x.limit == 0 {
		x.limit = max(float64(d.Engine.Slots)*firstLimitShare, 1)
	}
}

// freePlaces returns how many more requests this gateway may run now.
func (x *service) freePlaces() float64 {
	if x.limit == 0 {
		return 0
	}
	return x.limit*x.pool.Share() - float64(x.pool.Totals().Own)
}

// expectedPlaces returns how many places a second this gateway gets when all are in
// use, by the engine's figures and the measured time of a pass; 0 if it is unknown.
func (x *service) expectedPlaces() float64 {
	// firstUneven is by how much passes are longer than those of an even group while
	// none was measured.
	const firstUneven = 1.5
	e := x.engine
	if e == nil || e.MeanAnswerTokens == 0 || e.StepsPerPass == 0 {
		return 0
	}
	pass := x.pass.Seconds()
	if pass == 0 {
		pass = firstUneven * float64(e.StepsPerPass) * (e.Step.Seconds() + x.limit*e.StepPerRequest.Seconds())
	}
	stay := pass * e.MeanAnswerTokens / float64(e.StepsPerPass)
	return x.limit * x.pool.Share() / stay
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
	for x.queue.Len() > 0 && !x.stalled() && !x.closed() {
		p := x.tryPlace(balance.Constraint{Limit: x.limit})
		if p == nil {
			return
		}
		x.queue.Pop(now).Value <- p
	}
}

// wait estimates the time in the queue for a new item.
func (x *service) wait(i *item) (time.Duration, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	x.queue.SetSlots(x.freePlaces(), x.expectedPlaces(), now)
	x.queue.Arrived(i.Urgency, i.CallerRetry, now)
	if i.CallerRetry {
		return x.queue.EstimateRetryWait(now)
	}
	return x.queue.EstimateWait(i.Urgency, i.TargetDeadline.Sub(now), now)
}

// returned reports whether the caller of a request was refused before and may go
// first for that.
func (x *service) returned(r *request) bool {
	if !r.HasTimeout {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.callers.Observe(r.route.Name, r.Timeout, r.route.Timeout, r.arrived) && x.queue.TakeSpareCapacity()
}

// refusing reports whether callers were told to come back lately.
func (x *service) refusing() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.callers.RefusedRecently(time.Now())
}

// refused notes that a caller was told to come back.
func (x *service) refused() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.callers.RecordRefusal(time.Now())
}
