package gateway

import (
	"context"
	"maps"
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

// expiryInterval is the time between two checks for queued requests that are too late.
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

// service holds the pool of backend servers of one service and the queue of requests
// for it.
type service struct {
	pool *balance.Pool

	mu    sync.Mutex
	queue *admission.Queue[chan *slot]
	// retries detects callers that retry after a refusal.
	retries *admission.RetryDetector
	// limit is the average number of requests that a server may run at a time; 0 means
	// that requests are never queued here.
	limit float64
	// engine is nil for a plain service. passTime is the measured duration of a forward
	// pass of the group, 0 while it is unknown.
	engine   *deployment.Engine
	passTime time.Duration
	// streams is the number of streams that run at the servers. busySince is when the
	// number last rose above 0, and lastEvent when any stream last received an event,
	// both in nanoseconds since processStart.
	streams   atomic.Int64
	busySince atomic.Int64
	lastEvent atomic.Int64
	// lastRefusal is when a server last refused a request although it had free slots,
	// in nanoseconds since processStart.
	lastRefusal atomic.Int64
	reserve     reserve
	headerLead  headerLead
	durations   durations
	pace        streamPace
}

const (
	// stalledAfter is the time without an event of any stream after which a group
	// counts as stalled. A forward pass takes less than 0.2 s.
	stalledAfter = 700 * time.Millisecond
	// probeStreams is the number of running streams from which on a group that seems to
	// be stalled gets no further requests.
	probeStreams = 3
)

// stalled reports whether no stream at any server receives events. All ranks of a group
// run their forward passes together, so a new request would wait like the others.
func (x *service) stalled() bool {
	since := max(x.lastEvent.Load(), x.busySince.Load())
	return x.streams.Load() >= probeStreams && sinceStart()-since > stalledAfter.Nanoseconds()
}

// closedProbeInterval is the time after a refusal until another request is sent to a
// group that refuses requests.
const closedProbeInterval = 120 * time.Millisecond

// seemsClosed reports whether the group seems to refuse all requests: a server with
// free slots refused one, and no stream has received an event since. One request at a
// time is then sent to find out whether the group accepts requests again. Load pattern:
// all machines lost power, and callers retry before the group has formed again.
func (x *service) seemsClosed() bool {
	refused := x.lastRefusal.Load()
	if refused == 0 || x.lastEvent.Load() > refused {
		return false
	}
	return x.pool.Totals().Own > 0 || sinceStart()-refused < closedProbeInterval.Nanoseconds()
}

// recordRefusalWithFreeSlots records that a server refused a request although it has
// free slots.
func (x *service) recordRefusalWithFreeSlots() { x.lastRefusal.Store(sinceStart()) }

// processStart is the reference time of sinceStart.
var processStart = time.Now()

// sinceStart returns the monotonic time since processStart in nanoseconds.
func sinceStart() int64 { return time.Since(processStart).Nanoseconds() }

// streamBegan and streamEnded count the running streams. recordEvent records that a
// stream received an event.
func (x *service) streamBegan() {
	if x.streams.Add(1) == 1 {
		x.busySince.Store(sinceStart())
	}
}

func (x *service) streamEnded() { x.streams.Add(-1) }

func (x *service) recordEvent() { x.lastEvent.Store(sinceStart()) }

func newServices(zone fleet.AvailabilityZone, recorder *events.Recorder) *services {
	return &services{zone: zone, recorder: recorder, byName: map[string]*service{}}
}

func (s *services) get(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.byName[name]
	if x == nil {
		x = &service{pool: balance.NewPool(s.zone), queue: admission.NewQueue[chan *slot](), retries: admission.NewRetryDetector(time.Now())}
		x.pool.SetGateways(s.gateways, s.settled)
		s.byName[name] = x
	}
	return x
}

func (s *services) all() map[string]*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.byName)
}

// update applies the servers and limits of a snapshot. Requests of services that are no
// longer configured may still run or wait.
func (s *services) update(snapshot *feed.Snapshot) {
	if snapshot.Configuration == nil {
		return
	}
	for name, d := range snapshot.Configuration.Services {
		s.get(name).initLimit(d)
	}
	for name, x := range s.all() {
		x.pool.Update(snapshot.Servers[name])
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
	x.limit, x.passTime = perRank, pass
	x.mu.Unlock()
	x.dispatch()
}

func (s *services) expire() {
	for _, x := range s.all() {
		x.dispatch()
	}
}

// initialLimitShare is the fraction of an engine's slots that is used until the
// controller of its group sets the number of requests that its ranks may run.
const initialLimitShare = 0.5

// initLimit sets the limit of a model service for which no controller has set one yet.
func (x *service) initLimit(d *deployment.Service) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.engine = d.Engine
	if d.Engine != nil && x.limit == 0 {
		x.limit = max(float64(d.Engine.Slots)*initialLimitShare, 1)
	}
}

// freeSlots returns how many more requests this gateway may run now.
func (x *service) freeSlots() float64 {
	if x.limit == 0 {
		return 0
	}
	return x.limit*x.pool.Share() - float64(x.pool.Totals().Own)
}

// slotsPerSecond returns how many slots per second this gateway gets when all are in
// use, from the configured engine parameters and the measured duration of a forward
// pass; 0 if it is unknown.
func (x *service) slotsPerSecond() float64 {
	// defaultImbalance is the assumed ratio of the duration of a forward pass to that
	// of a balanced group until one has been measured.
	const defaultImbalance = 1.5
	e := x.engine
	if e == nil || e.MeanAnswerTokens == 0 || e.StepsPerPass == 0 {
		return 0
	}
	passSeconds := x.passTime.Seconds()
	if passSeconds == 0 {
		passSeconds = defaultImbalance * float64(e.StepsPerPass) * (e.Step.Seconds() + x.limit*e.StepPerRequest.Seconds())
	}
	slotSeconds := passSeconds * e.MeanAnswerTokens / float64(e.StepsPerPass)
	return x.limit * x.pool.Share() / slotSeconds
}

// slot is a request's right to run at a server.
type slot struct {
	service *service
	backend *balance.Backend
}

// release returns the slot to the pool and dispatches queued requests.
func (p *slot) release() {
	p.service.pool.Release(p.backend)
	p.service.dispatch()
}

// item is a queued request. Its value receives a slot, or nil when the request is too
// late.
type item = admission.Item[chan *slot]

// trySlot returns a slot that is free now, regardless of queued requests, or nil.
func (x *service) trySlot(c balance.Constraint) *slot {
	b := x.pool.Acquire(c)
	if b == nil {
		return nil
	}
	return &slot{service: x, backend: b}
}

// tryQueuedSlot returns a slot that is free now under the limit for queued requests, or
// nil. It is for a request that has had its turn in the queue.
func (x *service) tryQueuedSlot() *slot {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stalled() || x.seemsClosed() {
		return nil
	}
	return x.trySlot(balance.Constraint{LoadLimit: x.limit})
}

// acquire waits for a slot in the order of the queue. It returns nil if the item
// becomes too late or ctx is done.
func (x *service) acquire(ctx context.Context, i *item) *slot {
	i.Value = make(chan *slot, 1)
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

// dispatch assigns the free slots to queued requests and refuses those that are too
// late.
func (x *service) dispatch() {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	for _, late := range x.queue.Expired(now) {
		late.Value <- nil
	}
	for x.queue.Len() > 0 && !x.stalled() && !x.seemsClosed() {
		p := x.trySlot(balance.Constraint{LoadLimit: x.limit})
		if p == nil {
			return
		}
		x.queue.Pop(now).Value <- p
	}
}

// estimateWait estimates the time that a new item waits in the queue. The second result
// is false if no estimate is available.
func (x *service) estimateWait(i *item) (time.Duration, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	x.queue.SetSlots(x.freeSlots(), x.slotsPerSecond(), now)
	x.queue.RecordArrival(i.Urgency, i.CallerRetry, now)
	if i.CallerRetry {
		return x.queue.EstimateRetryWait(now)
	}
	return x.queue.EstimateWait(i.Urgency, i.TargetDeadline.Sub(now), now)
}

// isRetry reports whether the caller of a request is retrying after a refusal and the
// request may go ahead of others.
func (x *service) isRetry(r *request) bool {
	if !r.HasTimeout {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.retries.Observe(r.route.Name, r.Timeout, r.route.Timeout, r.arrived) && x.queue.TakeSpareCapacity()
}

// refusedRecently reports whether callers were recently refused for lack of free slots.
func (x *service) refusedRecently() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.retries.RefusedRecently(time.Now())
}

// recordRefusal records that a caller was refused for lack of free slots.
func (x *service) recordRefusal() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.retries.RecordRefusal(time.Now())
}
