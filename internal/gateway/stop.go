package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	// durationMargin is the multiple of the longest recent request's duration that a new
	// request is expected to need at most.
	durationMargin = 2
	// durationPeriod is how long the duration of a request is remembered, at least.
	durationPeriod = 10 * time.Second
)

// StartDrain begins a planned stop that ends at a time. The gateway closes each caller's
// connection after its response, and refuses requests that may not end by then.
func (g *Gateway) StartDrain(until time.Time) { g.stop.Plan(until) }

// leaving reports whether a planned stop has begun.
func (g *Gateway) leaving() bool {
	_, planned := g.stop.At()
	return planned
}

// refuseLate refuses a request that may not end before a planned stop does: its caller
// would get no complete answer. Other gateways can serve it.
func (g *Gateway) refuseLate(r *request) *verdict.Error {
	if !g.leaving() || !g.stop.Outlasts(g.latestEnd(r)) {
		return nil
	}
	at, _ := g.stop.At()
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonLeaving, "the gateway stops in %s",
		time.Until(at).Round(time.Millisecond)).WithRetryAfter(otherGatewayRetryAfter)
}

// latestEnd returns the time by which a request will have ended: its deadline or, if it is
// idempotent, what requests of its service lately needed, with a margin. One that is not
// idempotent could not be sent again if its servers turned slow.
func (g *Gateway) latestEnd(r *request) time.Time {
	longest := g.services.get(r.service.Name).durations.longest(time.Now())
	if longest == 0 || !r.route.Idempotent() {
		return r.deadline
	}
	return earliest(r.deadline, r.arrived.Add(durationMargin*longest))
}

// durations knows how long requests lately took, from their arrival to their end. It is
// safe for concurrent use.
type durations struct {
	mu      sync.Mutex
	running map[*request]struct{}
	// current and former are the longest durations in the period that began at began and
	// in the one before.
	current, former time.Duration
	began           time.Time
}

// begin and end record the begin and the end of a request.
func (t *durations) begin(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = map[*request]struct{}{}
	}
	t.running[r] = struct{}{}
}

func (t *durations) end(r *request, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	delete(t.running, r)
	t.current = max(t.current, now.Sub(r.arrived))
}

// longest returns the longest duration of the requests that run or ended recently, 0 if there
// was none.
func (t *durations) longest(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	longest := max(t.current, t.former)
	for r := range t.running {
		longest = max(longest, now.Sub(r.arrived))
	}
	return longest
}

func (t *durations) rotate(now time.Time) {
	switch age := now.Sub(t.began); {
	case age >= 2*durationPeriod:
		t.current, t.former, t.began = 0, 0, now
	case age >= durationPeriod:
		t.current, t.former, t.began = 0, t.current, now
	}
}
