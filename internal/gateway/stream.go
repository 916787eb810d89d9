package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/balance"
	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	// lateShare is the number of goals for which a request may wait for a place,
	// and shortestLate the least time. Callers leave after four goals without an
	// event, or 2 s; the rest is for the first event.
	lateShare    = 2.5
	shortestLate = 1200 * time.Millisecond
	// lastLateShare is the number of goals for a caller that has no other try.
	lastLateShare = 3.4
	// silenceLimit is the least time without an event from which a server counts as
	// lost: a group that lost a rank hangs for 1.5 s before it breaks its work off.
	silenceLimit = 1800 * time.Millisecond
	// Callers leave after callerGoals goals or callerGaps allowed pauses without an
	// event, and not before 2 s. silenceShare of that is left to a server, so that the
	// stream can go on elsewhere before the caller leaves.
	callerGoals  = 4
	callerGaps   = 8
	silenceShare = 0.9
	// defaultAnswerTokens stands for an answer of unknown length; the deployments'
	// usual one has 97 tokens.
	defaultAnswerTokens = 100
)

var errSilent = errors.New("the server sent no event in time")

// stream is a streaming request that is being served, over one or more servers.
type stream struct {
	g *Gateway
	w http.ResponseWriter
	r *request
	x *service
	// begun tells that the caller has the headers of the answer.
	begun  bool
	status int
	// last is the last whole event that the caller has.
	last   int64
	events int
	lastAt time.Time
	// sentAt is when the request was sent to the server that serves it. waited is the
	// time until it had its first place, first that to its first event, and maxGap
	// the longest time between two events.
	sentAt                time.Time
	waited, first, maxGap time.Duration
}

// serveStream forwards a streaming request.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, r *request) {
	g.budget.Request()
	x := g.services.get(r.service.Name)
	p, refusal := g.firstPlace(ctx, x, r)
	if refusal != nil {
		g.refuse(w, r, refusal)
		return
	}
	s := &stream{g: g, w: w, r: r, x: x, last: r.LastEvent, waited: time.Since(r.arrived)}
	for {
		out := s.run(ctx, p)
		if out.err == nil {
			s.ended()
			return
		}
		moved := errors.Is(out.err, errSlowServer)
		if ctx.Err() != nil || !moved && (x.stalled() || !g.mayRepeat(r, out)) {
			s.broken(ctx, out)
			return
		}
		next, refusal := s.nextPlace(ctx, out)
		if refusal != nil {
			g.refuse(w, r, refusal)
			return
		}
		if next == nil {
			s.broken(ctx, out)
			return
		}
		g.Metrics.Resumed.Inc(1)
		g.Recorder.Record("stream_resumed", r.ID, events.F("from", p.backend.Server.ID), events.F("to", next.backend.Server.ID),
			events.F("after_event", s.last), events.F("cause", out.cause()), events.F("left_ms", r.left().Milliseconds()))
		p = next
	}
}

// nextPlace returns a place at another server. A request that was refused waits
// again like a new one: when one rank of a group is full, so are the others. A
// stream that broke off goes on at once.
func (s *stream) nextPlace(ctx context.Context, out sent) (*place, *verdict.Error) {
	if out.verdict == verdict.NotRun && s.r.runs == 0 {
		return s.g.firstPlace(ctx, s.x, s.r)
	}
	return s.x.tryPlace(balance.Constraint{Except: s.r.tried}), nil
}

// firstPlace waits for a place, or refuses a request that could not begin in
// time.
func (g *Gateway) firstPlace(ctx context.Context, x *service, r *request) (*place, *verdict.Error) {
	i := &item{
		ID: r.ID, Account: r.account, Urgency: r.order(), Work: work(r), Arrived: r.arrived, TargetDeadline: r.deadline, RefuseAt: r.deadline,
		CallerRetry: x.returned(r),
	}
	if goal := r.route.TargetLatency; goal > 0 {
		i.TargetDeadline = r.arrived.Add(goal - x.reserve.of(goal))
		late := lateShare
		if i.CallerRetry {
			late = lastLateShare
		}
		i.RefuseAt = earliest(r.deadline, r.arrived.Add(max(time.Duration(late*float64(goal)), shortestLate)))
	}
	wait, known := x.wait(i)
	if known && r.arrived.Add(wait).After(i.RefuseAt) {
		x.refused()
		return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, "the wait would be about %s", wait.Round(time.Millisecond)).
			WithRetryAfter(g.returnTime(r, wait))
	}
	p := x.acquire(ctx, i)
	g.Metrics.Waited.RecordDuration(time.Since(r.arrived))
	if p == nil {
		x.refused()
		return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, "no place was free in %s",
			time.Since(r.arrived).Round(time.Millisecond)).WithRetryAfter(g.returnTime(r, wait))
	}
	return p, nil
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// work estimates the work of a request in tokens. A token that is written costs
// about ten times one that is read.
func work(r *request) float64 {
	answer := r.AnswerTokens
	if answer == 0 {
		answer = defaultAnswerTokens
	}
	return float64(r.PromptTokens + 10*answer)
}

// run sends the request to one server and relays its events. The outcome has no
// error if the answer is complete.
func (s *stream) run(ctx context.Context, p *place) sent {
	defer p.release()
	s.x.streamBegan()
	defer s.x.streamEnded()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := silenceOf(s.r.route)
	watchdog := time.AfterFunc(limit, func() { cancel(errSilent) })
	defer watchdog.Stop()
	s.sentAt = time.Now()
	out := s.g.send(ctx, s.r, p, s.last)
	if out.verdict != verdict.NotRun {
		s.r.runs++
	}
	if out.err == nil {
		out = s.relay(out, p, func() { watchdog.Reset(limit) })
	}
	if cause := context.Cause(ctx); out.err != nil && errors.Is(cause, errSilent) {
		out.err = errSilent
	}
	switch {
	case out.err == nil:
		p.service.pool.Succeeded(p.backend)
	case errors.Is(out.err, errSlowServer):
		// The server has failed nothing.
	case out.verdict != verdict.NotRun:
		s.g.failed(ctx, s.r, p, out)
	}
	return out
}

var (
	errRefusedByServer = errors.New("the server refused the request")
	errFailedByServer  = errors.New("the server failed the request")
	errBrokenOff       = errors.New("the stream broke off")
	errSlowServer      = errors.New("the server is slow and holds its group up")
)

// silenceOf returns the time without an event from which a server counts as lost: slow
// streams whose callers still wait are sound.
func silenceOf(route *deployment.Route) time.Duration {
	callers := max(callerGoals*route.TargetLatency, callerGaps*route.TargetGap)
	return max(time.Duration(silenceShare*float64(callers)), silenceLimit)
}

// relay passes the answer on, event by event. It calls progress for each event with
// data that the caller did not have: a server that sends comments, parts of events or
// what it had sent before is silent all the same.
func (s *stream) relay(out sent, p *place, progress func()) sent {
	defer func() { _ = out.resp.Body.Close() }()
	if out.resp.StatusCode != http.StatusOK {
		return s.relayFailure(out)
	}
	if !s.begun {
		copyHeader(s.w.Header(), s.g.Headers.Answer(out.resp.Header))
		s.w.Header().Del("Content-Length")
		s.w.WriteHeader(out.resp.StatusCode)
		s.begun, s.status = true, out.resp.StatusCode
	}
	events := newEventReader(out.resp.Body)
	flusher := http.NewResponseController(s.w)
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) && !events.rest() {
			return out
		}
		if err != nil {
			out.err = errBrokenOff
			return out
		}
		if id >= 0 && id <= s.last {
			// The server went on from an earlier event than asked.
			continue
		}
		if events.data {
			progress()
		}
		if _, err := s.w.Write(event); err != nil {
			out.err = err
			return out
		}
		if err := flusher.Flush(); err != nil {
			out.err = err
			return out
		}
		if events.data {
			s.x.gotEvent()
			s.passed(id)
		}
		if s.shouldMove(p) {
			out.err = errSlowServer
			return out
		}
	}
}

// shouldMove reports whether a stream should go on at another server, and takes
// that from the budget of repeated sends. Load pattern: one rank turns slow. All
// ranks of its group wait for the requests that it runs, for as long as these take.
func (s *stream) shouldMove(p *place) bool {
	if !s.x.pool.ShouldEvacuate(p.backend) || !s.r.route.Idempotent() || s.r.runs >= s.r.route.MaxServers || len(s.r.tried) >= maxSends {
		return false
	}
	free := s.x.tryPlace(balance.Constraint{Except: s.r.tried})
	if free == nil {
		return false
	}
	defer free.release()
	return !s.x.pool.ShouldEvacuate(free.backend) && s.g.budget.Take()
}

// passed notes an event that the caller got.
func (s *stream) passed(id int64) {
	now := time.Now()
	if s.events == 0 {
		s.first = now.Sub(s.r.arrived)
		s.g.Metrics.FirstEvent.RecordDuration(s.first)
		s.x.reserve.took(now.Sub(s.sentAt))
	} else {
		gap := now.Sub(s.lastAt)
		s.maxGap = max(s.maxGap, gap)
		s.g.Metrics.Gap.RecordDuration(gap)
	}
	s.events++
	s.lastAt = now
	if id >= 0 {
		s.last = id
	}
}

// relayFailure handles an answer that is no stream. It is kept for the caller
// in case no other server can serve the request.
func (s *stream) relayFailure(out sent) sent {
	out.err = errFailedByServer
	if out.reply.NotRun {
		out.err = errRefusedByServer
	} else if !retryable(out.resp.StatusCode) && !s.begun {
		// The request itself is at fault; another server would say the same.
		body, err := io.ReadAll(io.LimitReader(out.resp.Body, maxAnswerBytes))
		if err == nil {
			copyHeader(s.w.Header(), s.g.Headers.Answer(out.resp.Header))
			s.w.WriteHeader(out.resp.StatusCode)
			s.begun, s.status = true, out.resp.StatusCode
			_, err = s.w.Write(body)
		}
		out.err = err
		return out
	}
	discard(out.resp)
	return out
}

func (s *stream) ended() {
	s.g.finish(s.r, s.status, "answered", s.summary())
}

// summary describes the stream for the log.
func (s *stream) summary() string {
	if s.events == 0 {
		return ""
	}
	return "events=" + itoa(s.events) + " waited_ms=" + itoa(int(s.waited.Milliseconds())) + " first_ms=" + itoa(int(s.first.Milliseconds())) + " max_gap_ms=" + itoa(int(s.maxGap.Milliseconds()))
}

// broken ends a stream that could not be completed. A caller that has a part of
// it must not take it for complete, so its connection is closed.
func (s *stream) broken(ctx context.Context, out sent) {
	if !s.begun {
		s.g.finishFailed(ctx, s.w, s.r, out)
		return
	}
	outcome := "broken_off"
	if errors.Is(ctx.Err(), context.Canceled) {
		outcome = "caller_left"
	}
	s.g.finish(s.r, s.status, outcome, s.summary()+" cause="+out.cause())
	panic(http.ErrAbortHandler)
}
