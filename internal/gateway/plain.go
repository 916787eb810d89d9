package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/bounded"
	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// hedgeShare is the fraction of a safe route's latency target after which a server that
// has not responded is abandoned for another one.
const hedgeShare = 0.75

// servePlain forwards a request to a plain service and relays the whole response.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, r *request) {
	x := g.services.get(r.service.Name)
	var last sendResult
	for {
		p := g.tryRun(ctx, x, r)
		if p == nil {
			g.finishFailed(ctx, w, r, last)
			return
		}
		s, body := g.exchange(ctx, r, p)
		defer g.answers.Release(s.bodyBytes)
		last = s
		if s.err == nil && !failed(s.resp.StatusCode) && s.verdict != verdict.NotRun {
			g.relayResponse(w, r, s, body)
			return
		}
		if ctx.Err() != nil || !g.mayRetry(r, s) {
			if s.err == nil && r.mayRelay(s) {
				g.relayResponse(w, r, s, body)
				return
			}
			g.finishFailed(ctx, w, r, s)
			return
		}
		g.Recorder.Record("request_repeated", r.ID, events.F("server", p.backend.Server.ID), events.F("cause", s.cause()), events.F("left_ms", r.remaining().Milliseconds()))
	}
}

// mayRelay reports whether the response of the last server may be sent to the caller. A
// refusal of this server says nothing about the servers before it, and a status which states
// that the request did not run is relayed only if no server may have run it.
func (r *request) mayRelay(s sendResult) bool {
	if s.verdict == verdict.NotRun {
		return r.runs == 0
	}
	return !verdict.StatesNotRun(s.resp.StatusCode)
}

// exchange sends a request and reads the whole response. The caller must release
// sendResult.bodyBytes.
func (g *Gateway) exchange(ctx context.Context, r *request, p *slot) (sendResult, []byte) {
	defer p.release()
	defer g.endTrial(r)
	if r.route.Kind == deployment.Safe && len(r.tried)+1 < r.route.MaxServers {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, g.attemptTimeout(r))
		defer cancel()
	}
	sentAt := time.Now()
	s := g.send(ctx, r, p, r.LastEvent)
	if s.verdict != verdict.NotRun {
		r.runs++
	}
	var body []byte
	if s.err == nil {
		body, s.bodyBytes, s.err = bounded.Read(s.resp.Body, maxBufferedBytes, g.answers, freeAnswerBytes)
		_ = s.resp.Body.Close()
	}
	if s.err != nil && s.verdict != verdict.NotRun && ctx.Err() == nil {
		g.recordBroken(r, p, s, sentAt, 0)
	}
	switch {
	case s.err != nil, failed(s.resp.StatusCode) && s.verdict != verdict.NotRun:
		g.recordFailure(ctx, r, p, s)
	case s.verdict != verdict.NotRun:
		p.service.pool.RecordSuccess(p.backend)
		g.recordProven(r)
	}
	return s, body
}

// attemptTimeout returns how long a safe request waits for one server before another
// one is tried.
func (g *Gateway) attemptTimeout(r *request) time.Duration {
	d := r.remaining() / 2
	if r.route.TargetLatency > 0 {
		d = min(d, time.Duration(hedgeShare*float64(r.route.TargetLatency)))
	}
	return max(d, minRemaining)
}

// cause describes why an attempt did not serve the request.
func (s sendResult) cause() string {
	switch {
	case s.err != nil:
		return s.err.Error()
	case s.resp != nil:
		return http.StatusText(s.resp.StatusCode)
	}
	return "not sent"
}

// relayResponse sends a server's response to the caller.
func (g *Gateway) relayResponse(w http.ResponseWriter, r *request, s sendResult, body []byte) {
	copyHeader(w.Header(), g.Headers.Answer(s.resp.Header))
	w.WriteHeader(s.resp.StatusCode)
	if _, err := w.Write(body); err != nil {
		g.finish(r, s.resp.StatusCode, "caller_left", err.Error())
		return
	}
	g.finish(r, s.resp.StatusCode, "answered", "")
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
