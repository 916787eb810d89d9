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
	// earlyStop is the time from the begin of a planned stop in which what recent requests
	// needed decides whether a new one is accepted. Callers accept that a request of the
	// first 3 s is ended with the stop; the rest is for a signal that is handled late.
	earlyStop = 2500 * time.Millisecond
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
	_, needs := g.streamTime(r, now)
	if needs == 0 || !g.stop.Outlasts(earliest(r.deadline, now.Add(needs))) {
		return nil
	}
	return g.refusalLeaving()
}

// limitFirstEvent calls end when a stream that was accepted late in a planned stop, and whose
// caller has nothing of it yet, could not end any more before the stop does: its caller is
// then told to ask elsewhere in time. The timer ends when the returned function is called,
// which reports whether end has not been called.
func (g *Gateway) limitFirstEvent(r *request, end func()) (stop func() bool) {
	unlimited := func() bool { return true }
	if !g.leaving() || g.earlyInStop(r) || !r.route.Idempotent() {
		return unlimited
	}
	_, needs := g.streamTime(r, time.Now())
	at, _ := g.stop.At()
	if needs == 0 || !r.deadline.After(at) {
		return unlimited
	}
	return time.AfterFunc(time.Until(at.Add(-needs)), end).Stop
}

// refusalLeaving is the refusal of a request that another gateway can serve whole.
func (g *Gateway) refusalLeaving() *verdict.Error {
	at, _ := g.stop.At()
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonLeaving, "the gateway stops in %s",
		time.Until(at).Round(time.Millisecond)).WithRetryAfter(otherGatewayRetryAfter)
}

// latestEnd returns the time by which a request will have ended: its deadline or an earlier
// time that follows from its stated length. Early in a planned stop, what requests of its
// service lately needed, with a margin, counts for one that is idempotent. One that is not
// could not be sent again if its servers turned slow.
func (g *Gateway) latestEnd(r *request) time.Time {
	if !r.route.Idempotent() {
		return r.deadline
	}
	now := time.Now()
	var needs time.Duration
	switch {
	case r.route.Kind == deployment.Streaming:
		first, rest := g.streamTime(r, now)
		if rest > 0 {
			needs = first + rest
		}
	case g.earlyInStop(r):
		needs = durationMargin * g.services.get(r.service.Name).durations.longest(now)
	}
	if needs == 0 {
		return r.deadline
	}
	return earliest(r.deadline, r.read.Add(needs))
}

// earlyInStop reports whether a request was read within earlyStop of the begin of a planned
// stop.
func (g *Gateway) earlyInStop(r *request) bool {
	return r.read.Sub(g.stop.Began()) <= earlyStop
}

// streamTime returns how long a stream may take to its first event and from there to its end.
// rest is 0 if its length is not known.
func (g *Gateway) streamTime(r *request, now time.Time) (first, rest time.Duration) {
	if r.MaxAnswerTokens <= 0 {
		return 0, 0
	}
	x := g.services.get(r.service.Name)
	if g.earlyInStop(r) {
		return x.pace.expected(r.MaxAnswerTokens, now)
	}
	return x.pace.bound(maxEvents(r), r.route, now)
}

// maxEvents returns the largest number of events that the response to a request may have by
// its stated length. An event holds the tokens of a forward pass of an engine, and at least
// one token.
func maxEvents(r *request) int {
	tokensPerEvent := 1
	if e := r.service.Engine; e != nil {
		tokensPerEvent = max(e.StepsPerPass, 1)
	}
	return (r.MaxAnswerTokens + tokensPerEvent - 1) / tokensPerEvent
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
	// firstEvent is the time from the arrival of a request to its first event. perToken and
	// perEvent are the time from there to its end for each token of its stated limit, and for
	// each event. A stream that stays below its limit has a small perToken, which says
	// nothing about the next one.
	firstEvent, perToken, perEvent recentMax
}

// record records a stream with a number of events that ended whole.
func (p *streamPace) record(firstEvent, rest time.Duration, maxTokens, events int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if events > 1 {
		p.perEvent.record(rest/time.Duration(events-1), now)
	}
	if maxTokens <= 0 {
		return
	}
	p.firstEvent.record(firstEvent, now)
	p.perToken.record(rest/time.Duration(maxTokens), now)
}

// expected returns how long a stream with a limit of tokens takes to its first event and from
// there to its end if it stays below its limit as the recent ones did. rest is 0 if that is
// not known.
func (p *streamPace) expected(maxTokens int, now time.Time) (first, rest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return withMargin(p.firstEvent.get(now)), times(withMargin(p.perToken.get(now)), maxTokens)
}

// bound returns how long a stream with a number of events may take to its first event and
// from there to its end: what its route aims at, or what recent streams took if that is
// longer. rest is 0 if neither is known.
func (p *streamPace) bound(events int, route *deployment.Route, now time.Time) (first, rest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first = max(withMargin(p.firstEvent.get(now)), route.TargetLatency)
	return first, times(max(withMargin(p.perEvent.get(now)), route.TargetGap), events)
}

func withMargin(d time.Duration) time.Duration { return time.Duration(streamMargin * float64(d)) }

// times returns n times d, or maxStreamTime if that is less.
func times(d time.Duration, n int) time.Duration {
	return time.Duration(min(float64(d)*float64(n), float64(maxStreamTime)))
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
