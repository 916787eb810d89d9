package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// errAnswer tells that a server's answer is not one to this request.
var errAnswer = errors.New("the answer belongs to another request")

// sent is the outcome of one send to a backend server: an answer whose headers
// have arrived, or an error with a verdict.
type sent struct {
	resp  *http.Response
	reply ResponseInfo
	err   error
	// verdict tells whether the server may have run the request.
	verdict verdict.Verdict
}

// send sends a request to the server of a place and returns when the headers of
// the answer are there. lastEvent is the event after which a stream goes on.
func (g *Gateway) send(ctx context.Context, r *request, p *place, lastEvent int64) sent {
	out := g.outgoing(ctx, r, p, lastEvent)
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	client := g.kept
	if !r.route.Idempotent() {
		// A kept connection may have been closed by the server without notice, and
		// a request lost on it could not be sent again.
		client = g.fresh
	}
	r.tried = append(r.tried, p.backend.Server.ID)
	resp, err := client.Do(out.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		s := sent{err: err, verdict: verdict.MayHaveRun}
		if !wrote.Load() {
			s.verdict = verdict.NotRun
		}
		return s
	}
	s := sent{resp: resp, reply: g.Headers.Reply(resp), verdict: verdict.MayHaveRun}
	if s.reply.HasLoad {
		p.service.pool.Report(p.backend.Server.ID, s.reply.Running+s.reply.Waiting)
	}
	switch {
	case s.reply.NotRun:
		s.verdict = verdict.NotRun
		switch {
		case resp.StatusCode == http.StatusMisdirectedRequest:
			p.service.pool.Misdirected(p.backend)
		case s.reply.HasLoad && s.reply.Running+s.reply.Waiting < p.backend.Server.Slots:
			p.service.refusedWithSlots()
		default:
			p.service.pool.Full(p.backend, p.backend.Server.Slots)
		}
	case s.reply.ID != r.ID:
		_ = resp.Body.Close()
		s.resp, s.err = nil, errAnswer
	}
	return s
}

func (g *Gateway) outgoing(ctx context.Context, r *request, p *place, lastEvent int64) *http.Request {
	out := &http.Request{
		Method: r.in.Method,
		URL:    &url.URL{Scheme: "http", Host: p.backend.Server.Address, Opaque: "//" + p.backend.Server.Address + r.in.URL.RequestURI()},
		Host:   r.in.Host,
		Header: g.Headers.Forward(r.in.Header, ForwardInfo{
			Account: r.account, Server: p.backend.Server.ID, Timeout: r.left(), Urgency: r.order(), LastEvent: lastEvent,
		}),
		ContentLength: int64(len(r.body)),
	}
	out.Body = http.NoBody
	if len(r.body) > 0 || clientRepeats(r.in) {
		// With a body and without GetBody the client repeats no request by itself. An
		// empty body is not sent.
		out.Body = io.NopCloser(bytes.NewReader(r.body))
	}
	return out.WithContext(ctx)
}

// clientRepeats reports whether net/http would send a request without a body again
// by itself when a kept connection is closed before the answer.
func clientRepeats(in *http.Request) bool {
	switch in.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return in.Header.Get("Idempotency-Key") != "" || in.Header.Get("X-Idempotency-Key") != ""
}

// discard reads a short rest of an answer, so that its connection is kept.
func discard(resp *http.Response) {
	_, err := io.CopyN(io.Discard, resp.Body, 4<<10)
	if err != nil && !errors.Is(err, io.EOF) {
		// The connection is closed below in any case.
		_ = resp.Body.Close()
		return
	}
	_ = resp.Body.Close()
}

// failed notes in the pool how a send ended.
func (g *Gateway) failed(ctx context.Context, r *request, p *place, s sent) {
	if ctx.Err() != nil && s.resp == nil && time.Since(r.arrived) < deadServerAfter {
		// The caller left before the server had time to answer.
		return
	}
	p.service.pool.Failed(p.backend, s.err != nil && !isTimeout(s.err))
}

// deadServerAfter is the time without an answer from which a server counts as
// failed although the caller left first.
const deadServerAfter = time.Second

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// mayRepeat reports whether a request may be sent to one more server after an
// outcome, and takes it from the budget.
func (g *Gateway) mayRepeat(r *request, s sent) bool {
	if len(r.tried) >= maxSends || r.left() < minPatience {
		return false
	}
	if s.verdict != verdict.NotRun {
		if !r.route.Idempotent() || r.runs >= r.route.MaxServers {
			return false
		}
	}
	if !g.budget.Take() {
		g.Metrics.RetriesDenied.Inc(1)
		return false
	}
	return true
}

const (
	// maxSends bounds the servers that one request is sent to, those that did
	// not run it included.
	maxSends = 3
	// minPatience is the time that must be left to start a request.
	minPatience = 20 * time.Millisecond
)

func retryable(status int) bool { return status >= http.StatusInternalServerError }

// kindName returns the name of a route's kind for logs and metrics.
func kindName(k deployment.Kind) string {
	switch k {
	case deployment.Safe:
		return "safe"
	case deployment.Streaming:
		return "stream"
	}
	return "unsafe"
}
