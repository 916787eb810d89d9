package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	// durationMargin is the multiple of the longest recent request's duration that a new
	// request is expected to need at most.
	durationMargin = 2
	// streamMargin is the same for a stream, whose stated length is taken into account.
	streamMargin = 1.25
	// maxStreamTime bounds the estimate.
	maxStreamTime = time.Hour
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
	return g.refusalLeaving()
}

// refuseLateStart refuses a stream whose turn in the queue came so late that it may not end
// before a planned stop does.
func (g *Gateway) refuseLateStart(r *request) *verdict.Error {
	if !g.leaving() || !r.route.Idempotent() || r.runs > 0 {
		return nil
	}
	now := time.Now()
	needs := g.services.get(r.service.Name).pace.afterFirstEvent(r.MaxAnswerTokens, now)
	if needs == 0 || !g.stop.Outlasts(earliest(r.deadline, now.Add(needs))) {
		return nil
	}
	return g.refusalLeaving()
}

// refusalLeaving is the refusal of a request that another gateway can serve whole.
func (g *Gateway) refusalLeaving() *verdict.Error {
	at, _ := g.stop.At()
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonLeaving, "the gateway stops in %s",
		time.Until(at).Round(time.Millisecond)).WithRetryAfter(otherGatewayRetryAfter)
}

// latestEnd returns the time by which a request will have ended: its deadline or, if it is
// idempotent, what requests of its service lately needed, with a margin. One that is not
// idempotent could not be sent again if its servers turned slow, and a stream that does not
// state its length may have any.
func (g *Gateway) latestEnd(r *request) time.Time {
	if !r.route.Idempotent() {
		return r.deadline
	}
	x, now := g.services.get(r.service.Name), time.Now()
	var needs time.Duration
	if r.route.Kind == deployment.Streaming {
		needs = x.pace.longest(r.MaxAnswerTokens, now)
	} else {
		needs = durationMargin * x.durations.longest(now)
	}
	if needs == 0 {
		return r.deadline
	}
	return earliest(r.deadline, r.arrived.Add(needs))
}

// recentMax is the largest of the values that were recorded within durationPeriod or up to
// twice as long ago.
type recentMax struct {
	current, former time.Duration
	// began is when the period of current began; former is of the period before.
	began time.Time
}

func (m *recentMax) record(d time.Duration, now time.Time) {
	m.rotate(now)
	m.current = max(m.current, d)
}

// get returns the largest value, 0 if there is none.
func (m *recentMax) get(now time.Time) time.Duration {
	m.rotate(now)
	return max(m.current, m.former)
}

func (m *recentMax) rotate(now time.Time) {
	switch age := now.Sub(m.began); {
	case age >= 2*durationPeriod:
		m.current, m.former, m.began = 0, 0, now
	case age >= durationPeriod:
		m.current, m.former, m.began = 0, m.current, now
	}
}

// streamPace knows how long streams lately took. It is safe for concurrent use.
type streamPace struct {
	mu sync.Mutex
	// firstEvent is the time from the arrival of a request to its first event, and perToken
	// the time from there to its end for each token of its stated limit. Streams that stay
	// below their limit have a smaller value.
	firstEvent, perToken recentMax
}

// record records a stream that ended whole.
func (p *streamPace) record(firstEvent, rest time.Duration, maxTokens int, now time.Time) {
	if maxTokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.firstEvent.record(firstEvent, now)
	p.perToken.record(rest/time.Duration(maxTokens), now)
}

// longest returns how long a stream with a limit of tokens may take from its arrival, 0 if
// that is not known.
func (p *streamPace) longest(maxTokens int, now time.Time) time.Duration {
	rest := p.afterFirstEvent(maxTokens, now)
	if rest == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return rest + time.Duration(streamMargin*float64(p.firstEvent.get(now)))
}

// afterFirstEvent returns how long a stream with a limit of tokens may take from its first
// event, 0 if that is not known.
func (p *streamPace) afterFirstEvent(maxTokens int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	rest := streamMargin * float64(p.perToken.get(now)) * float64(max(maxTokens, 0))
	return time.Duration(min(rest, float64(maxStreamTime)))
}

// durations knows how long requests lately took, from their arrival to their end. It is
// safe for concurrent use.
type durations struct {
	mu      sync.Mutex
	running map[*request]struct{}
	ended   recentMax
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
	delete(t.running, r)
	t.ended.record(now.Sub(r.arrived), now)
}

// longest returns the longest duration of the requests that run or ended recently, 0 if there
// was none.
func (t *durations) longest(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := t.ended.get(now)
	for r := range t.running {
		longest = max(longest, now.Sub(r.arrived))
	}
	return longest
}
