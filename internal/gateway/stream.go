package gateway

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/balance"
	"github.com/coltsfootbay/coltsfootbay/internal/bounded"
	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	// maxWaitTargets limits the wait for a slot, as a multiple of the latency target.
	// The limit is at least minMaxWait, but the wait always ends at the request's
	// deadline. Callers disconnect after four latency targets without an event, and not
	// before 2 s; the rest is for the first event.
	maxWaitTargets = 2.5
	minMaxWait     = 1200 * time.Millisecond
	// retryMaxWaitTargets replaces maxWaitTargets for a retrying caller, which makes no
	// further attempt.
	retryMaxWaitTargets = 3.4
	// minSilenceLimit is the shortest time without an event after which a server counts
	// as lost. A group that lost a rank hangs for 1.5 s before it aborts its requests.
	minSilenceLimit = 1800 * time.Millisecond
	// Callers disconnect after callerTargets latency targets or callerGaps target gaps
	// without an event, and not before 2 s. The server gets silenceShare of that time;
	// the rest allows the stream to continue at another server before the caller
	// disconnects. If it can't continue there, the server gets lastSilenceShare, after which
	// the caller has given up.
	callerTargets    = 4
	callerGaps       = 8
	silenceShare     = 0.9
	lastSilenceShare = 1.25
	// defaultAnswerTokens is assumed for an answer of unknown length. The mean answer
	// of the deployments has 97 tokens.
	defaultAnswerTokens = 100
)

var errSilent = errors.New("the server sent no event in time")

// stream is the state of a streaming request, which may run at several servers in turn.
type stream struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *request
	service *service
	// headersSent is true once the caller has the response headers.
	headersSent bool
	status      int
	// lastEvent is the ID of the last complete event that was sent to the caller.
	lastEvent int64
	events    int
	lastAt    time.Time
	// sentAt is when the request was sent to the current server. waited is the time
	// until it got its first slot, firstEvent the time from its arrival to its first
	// event, and maxGap the longest time between two events.
	sentAt time.Time
	// headersAt is when the current server's headers arrived, and eventsHere the number
	// of events with data that it has sent.
	headersAt                  time.Time
	eventsHere                 int
	waited, firstEvent, maxGap time.Duration
}

// serveStream forwards a streaming request.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, r *request) {
	x := g.services.get(r.service.Name)
	p, refusal := g.waitForRun(ctx, x, r)
	if refusal == nil {
		if refusal = g.refuseLateStart(r); refusal != nil {
			p.release()
		}
	}
	if refusal != nil {
		g.refuse(w, r, refusal)
		return
	}
	s := &stream{g: g, w: w, r: r, service: x, lastEvent: r.LastEvent, waited: time.Since(r.arrived)}
	for {
		out := s.run(ctx, p)
		if out.err == nil {
			s.complete()
			return
		}
		evacuated := errors.Is(out.err, errSlowServer)
		if ctx.Err() != nil || errors.Is(out.err, errStopping) || !evacuated && (x.stalled() || !g.mayRetry(r, out)) {
			s.abort(ctx, out)
			return
		}
		next, refusal := s.nextSlot(ctx, out)
		if refusal != nil && !s.headersSent {
			g.refuse(w, r, refusal)
			return
		}
		if next == nil {
			s.abort(ctx, out)
			return
		}
		g.Metrics.Resumed.Inc(1)
		g.Recorder.Record("stream_resumed", r.ID, events.F("from", p.backend.Server.ID), events.F("to", next.backend.Server.ID),
			events.F("after_event", s.lastEvent), events.F("cause", out.cause()), events.F("left_ms", r.remaining().Milliseconds()))
		p = next
	}
}

// nextSlot returns a slot at another server. A refused request is queued again like a
// new one: when one rank of a group is full, so are the others. A stream that broke off
// continues immediately.
func (s *stream) nextSlot(ctx context.Context, out sendResult) (*slot, *verdict.Error) {
	if out.verdict == verdict.NotRun && s.r.runs == 0 {
		return s.g.waitForRun(ctx, s.service, s.r)
	}
	return s.g.tryRun(ctx, s.service, s.r), nil
}

// waitForSlot waits for a slot. It refuses a request that could not start in time.
func (g *Gateway) waitForSlot(ctx context.Context, x *service, r *request) (*slot, *verdict.Error) {
	i := &item{
		ID: r.ID, Account: r.account, Urgency: r.queuePriority(), Work: work(r), Arrived: r.arrived, TargetDeadline: r.deadline,
		CallerRetry: x.isRetry(r),
	}
	if target := r.route.TargetLatency; target > 0 {
		i.TargetDeadline = r.arrived.Add(target - x.reserve.forTarget(target))
	}
	i.RefuseAt = refuseAt(r, i.CallerRetry)
	wait, known := x.estimateWait(i)
	if known && r.arrived.Add(wait).After(i.RefuseAt) {
		x.recordRefusal()
		return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, "the wait would be about %s", wait.Round(time.Millisecond)).
			WithRetryAfter(g.retryAfter(r, wait))
	}
	p := g.acquire(ctx, x, r, i)
	g.Metrics.Waited.RecordDuration(time.Since(r.arrived))
	if p == nil {
		if refusal := g.refuseQuarantined(r); refusal != nil {
			return nil, refusal
		}
		x.recordRefusal()
		return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, "no place was free in %s",
			time.Since(r.arrived).Round(time.Millisecond)).WithRetryAfter(g.retryAfter(r, wait))
	}
	return p, nil
}

// refuseAt returns when a request is refused if it has not started. callerRetry says
// whether its caller is retrying after a refusal.
func refuseAt(r *request, callerRetry bool) time.Time {
	target := r.route.TargetLatency
	if target == 0 {
		return r.deadline
	}
	waitTargets := maxWaitTargets
	if callerRetry {
		waitTargets = retryMaxWaitTargets
	}
	return earliest(r.deadline, r.arrived.Add(max(time.Duration(waitTargets*float64(target)), minMaxWait)))
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// work estimates the cost of a request in prompt tokens. Generating a token costs about
// ten times as much as reading one.
func work(r *request) float64 {
	answer := r.AnswerTokens
	if answer == 0 {
		answer = defaultAnswerTokens
	}
	return float64(r.PromptTokens + 10*answer)
}

// run sends the request to one server and relays its events. The result has no error if
// the response is complete.
func (s *stream) run(ctx context.Context, p *slot) sendResult {
	defer p.release()
	defer s.g.endTrial(s.r)
	s.service.streamBegan()
	defer s.service.streamEnded()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := silenceLimitFor(s.r.route)
	if !s.r.mayContinue() {
		limit = lastSilenceLimitFor(s.r.route)
	}
	watchdog := time.AfterFunc(limit, func() { cancel(errSilent) })
	defer watchdog.Stop()
	stopTimer := func() bool { return true }
	if !s.headersSent {
		stopTimer = s.g.limitFirstEvent(s.r, func() { cancel(errStopping) })
	}
	s.sentAt, s.eventsHere = time.Now(), 0
	s.r.nextStreamed = s.g.Quarantine.NextStreamed(s.r.fingerprints[0])
	out := s.g.send(ctx, s.r, p, s.lastEvent)
	s.headersAt = time.Now()
	if out.verdict != verdict.NotRun {
		s.r.runs++
	}
	if !stopTimer() && out.err == nil {
		_ = out.resp.Body.Close()
		out.resp, out.err = nil, errStopping
	}
	if out.err == nil {
		out = s.relay(out, p, func() { watchdog.Reset(limit) })
	}
	if cause := context.Cause(ctx); out.err != nil && (errors.Is(cause, errSilent) || errors.Is(cause, errStopping)) {
		out.err = cause
	}
	switch {
	case out.err == nil:
		p.service.pool.RecordSuccess(p.backend)
		s.g.recordCompletion(s.r)
	case errors.Is(out.err, errSlowServer), errors.Is(out.err, errStopping):
		// The stream moves or ends early because the server is slow; that is not a failure.
	case out.verdict != verdict.NotRun:
		s.g.recordFailure(ctx, s.r, p, out)
		if ctx.Err() == nil && out.err != errFailedByServer {
			s.g.recordBroken(s.r, p, out, s.sentAt, s.eventsHere)
		}
	}
	return out
}

var (
	errRefusedByServer = errors.New("the server refused the request")
	errFailedByServer  = errors.New("the server failed the request")
	errBrokenOff       = errors.New("the stream broke off")
	errSlowServer      = errors.New("the server is slow and holds its group up")
	errStopping        = errors.New("the gateway stops before the stream could end")
)

// silenceLimitFor returns the time without an event after which a server counts as
// lost. Streams that are slow but within their callers' time limits must not be ended.
func silenceLimitFor(route *deployment.Route) time.Duration {
	callers := max(callerTargets*route.TargetLatency, callerGaps*route.TargetGap)
	return max(time.Duration(silenceShare*float64(callers)), minSilenceLimit)
}

// lastSilenceLimitFor returns the same time for a stream that can't continue at another
// server. Silence is no reason to end it before its caller gives up.
func lastSilenceLimitFor(route *deployment.Route) time.Duration {
	return time.Duration(lastSilenceShare / silenceShare * float64(silenceLimitFor(route)))
}

// mayContinue reports whether a stream may continue at another server after its next run.
func (r *request) mayContinue() bool {
	return r.route.Idempotent() && r.runs+1 < r.route.MaxServers && len(r.tried)+1 < maxSends
}

// relay sends the response to the caller, event by event. It calls progress for each
// event with data that the caller did not have. A server that only sends comments,
// parts of events or events that it had sent before counts as silent.
func (s *stream) relay(out sendResult, p *slot, progress func()) sendResult {
	defer func() { _ = out.resp.Body.Close() }()
	if out.resp.StatusCode != http.StatusOK {
		return s.relayErrorResponse(out)
	}
	resumed := s.headersSent
	if resumed && !isEventStream(out.resp.Header) {
		out.err = errFailedByServer
		return out
	}
	if !s.headersSent {
		copyHeader(s.w.Header(), s.g.Headers.Answer(out.resp.Header))
		s.w.Header().Del("Content-Length")
		s.w.WriteHeader(out.resp.StatusCode)
		s.headersSent, s.status = true, out.resp.StatusCode
	}
	reader := newEventReader(out.resp.Body)
	flusher := http.NewResponseController(s.w)
	for {
		event, id, err := reader.next()
		if errors.Is(err, io.EOF) && !reader.rest() && (s.eventsHere > 0 || !resumed && !endsWithConnection(out.resp)) {
			return out
		}
		if err != nil {
			out.err = errBrokenOff
			if errors.Is(err, errEventTooLong) {
				out.err = err
			}
			return out
		}
		if reader.data {
			s.eventsHere++
			if s.eventsHere == 1 {
				s.service.headerLead.record(time.Since(s.headersAt))
				s.g.recordProven(s.r)
			}
		}
		if id >= 0 && id <= s.lastEvent {
			// The server resumed from an earlier event than requested.
			continue
		}
		if reader.data {
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
		if reader.data {
			s.service.recordEvent()
			s.recordEvent(id)
		}
		if s.shouldMoveStream(p) {
			out.err = errSlowServer
			return out
		}
	}
}

// isEventStream reports whether a response is a stream of events, or has no type.
func isEventStream(h http.Header) bool {
	contentType := h.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(contentType)
	return contentType == "" || err == nil && mediaType == "text/event-stream"
}

// endsWithConnection reports whether a response has neither a length nor chunks. If such
// a response ends before its first event, its server has probably ended.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// shouldMoveStream reports whether a stream should continue at another server, and
// takes the retry from the budget. Load pattern: one rank becomes slow. All ranks of
// its group wait for the requests that it runs, until those end.
func (s *stream) shouldMoveStream(p *slot) bool {
	if !s.service.pool.ShouldEvacuate(p.backend) || !s.r.route.Idempotent() || s.r.runs >= s.r.route.MaxServers || len(s.r.tried) >= maxSends {
		return false
	}
	free := s.service.trySlot(balance.Constraint{Exclude: s.r.tried})
	if free == nil {
		return false
	}
	defer free.release()
	return !s.service.pool.ShouldEvacuate(free.backend) && s.g.takeRetry(s.r, errSlowServer.Error())
}

// recordEvent records an event that was sent to the caller.
func (s *stream) recordEvent(id int64) {
	now := time.Now()
	if s.events == 0 {
		s.firstEvent = now.Sub(s.r.arrived)
		s.g.Metrics.FirstEvent.RecordDuration(s.firstEvent)
		s.service.reserve.record(now.Sub(s.sentAt))
	} else {
		gap := now.Sub(s.lastAt)
		s.maxGap = max(s.maxGap, gap)
		s.g.Metrics.Gap.RecordDuration(gap)
	}
	s.events++
	s.lastAt = now
	if id >= 0 {
		s.lastEvent = id
	}
}

// relayErrorResponse handles a response that is not a stream. It is relayed to the
// caller if another server would respond in the same way, and discarded otherwise.
func (s *stream) relayErrorResponse(out sendResult) sendResult {
	out.err = errFailedByServer
	if out.verdict == verdict.NotRun {
		out.err = errRefusedByServer
	} else if !failed(out.resp.StatusCode) && !s.headersSent {
		// The request itself is invalid; another server would respond in the same way.
		body, taken, err := bounded.Read(out.resp.Body, maxBufferedBytes, s.g.answers, freeAnswerBytes)
		defer s.g.answers.Release(taken)
		if err == nil {
			copyHeader(s.w.Header(), s.g.Headers.Answer(out.resp.Header))
			s.w.WriteHeader(out.resp.StatusCode)
			s.headersSent, s.status = true, out.resp.StatusCode
			_, err = s.w.Write(body)
		}
		out.err = err
		return out
	}
	discard(out.resp)
	return out
}

// complete logs and counts a stream whose response is complete.
func (s *stream) complete() {
	if s.events > 0 {
		now := time.Now()
		s.service.pace.record(s.firstEvent, now.Sub(s.r.arrived)-s.firstEvent, s.r.MaxAnswerTokens, s.events, now)
	}
	s.g.finish(s.r, s.status, "answered", s.summary())
}

// summary describes the stream for the log.
func (s *stream) summary() string {
	if s.events == 0 {
		return ""
	}
	return "events=" + itoa(s.events) + " waited_ms=" + itoa(int(s.waited.Milliseconds())) + " first_ms=" + itoa(int(s.firstEvent.Milliseconds())) + " max_gap_ms=" + itoa(int(s.maxGap.Milliseconds()))
}

// abort ends a stream that could not be completed. If the caller already has a part of
// it, the connection is closed, because the caller must not take the part for the whole
// response.
func (s *stream) abort(ctx context.Context, out sendResult) {
	if !s.headersSent {
		s.g.finishFailed(ctx, s.w, s.r, out)
		return
	}
	outcome := "broken_off"
	switch {
	case s.g.stop.Ended().Err() != nil:
		outcome = "stopped"
	case errors.Is(ctx.Err(), context.Canceled):
		outcome = "caller_left"
	}
	s.g.finish(s.r, s.status, outcome, s.summary()+" cause="+out.cause())
	panic(http.ErrAbortHandler)
}
