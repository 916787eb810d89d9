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

// errWrongResponse is the error of a response that belongs to another request.
var errWrongResponse = errors.New("the answer belongs to another request")

// errUnsigned is the error of a success that does not carry its server's signature: its head or
// body may not be what the server sent.
var errUnsigned = errors.New("the answer has no signature of the server")

// sendResult is the outcome of one attempt at a backend server: a response whose
// headers have arrived, or an error with a verdict.
type sendResult struct {
	resp  *http.Response
	reply ResponseInfo
	err   error
	// verdict says whether the server may have run the request.
	verdict verdict.Verdict
	// bodyBytes is what the buffered body takes from the memory for responses.
	bodyBytes int64
}

// send sends a request to the server of a slot and returns when the response headers
// have arrived. lastEvent is the ID of the event after which a stream continues, or -1.
func (g *Gateway) send(ctx context.Context, r *request, p *slot, lastEvent int64) sendResult {
	out := g.outgoing(ctx, r, p, lastEvent)
	var connection atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { connection.Store(&info.Conn) }}
	client := g.keepAliveClient
	if !r.route.Idempotent() {
		// The server may close a kept connection at any time, and a request that is
		// lost on it could not be sent again.
		client = g.oneShotClient
	}
	if len(r.tried) > 0 {
		g.recordRepeat(r, p)
	}
	r.tried = append(r.tried, p.backend.Server.ID)
	r.sendNumber = p.backend.CountSend()
	resp, err := client.Do(out.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		s := sendResult{err: err, verdict: verdict.MayHaveRun}
		if connection.Load() == nil {
			s.verdict = verdict.NotRun
		}
		return s
	}
	s := sendResult{resp: resp, reply: g.Headers.Reply(resp), verdict: verdict.MayHaveRun}
	if s.reply.HasLoad && s.reply.ID == r.ID {
		p.service.pool.Report(p.backend.Server.ID, s.reply.Running+s.reply.Waiting)
	}
	switch {
	case s.reply.ID != r.ID:
		// The response to this request may still follow on the connection.
		_ = resp.Body.Close()
		_ = (*connection.Load()).Close()
		s.resp, s.err = nil, errWrongResponse
	case !s.reply.Signed && resp.StatusCode/100 == 2:
		_ = resp.Body.Close()
		_ = (*connection.Load()).Close()
		s.resp, s.err = nil, errUnsigned
	case s.reply.NotRun && resp.StatusCode >= http.StatusBadRequest:
		s.verdict = verdict.NotRun
		switch {
		case resp.StatusCode == http.StatusMisdirectedRequest:
			p.service.pool.MarkMisdirected(p.backend)
		case s.reply.HasLoad && s.reply.Running+s.reply.Waiting < p.backend.Server.Slots:
			p.service.recordRefusalWithFreeSlots()
		default:
			p.service.pool.MarkFull(p.backend, p.backend.Server.Slots)
		}
	case resp.StatusCode == http.StatusMisdirectedRequest:
		p.service.pool.MarkMisdirected(p.backend)
	}
	return s
}

func (g *Gateway) outgoing(ctx context.Context, r *request, p *slot, lastEvent int64) *http.Request {
	out := &http.Request{
		Method: r.in.Method,
		URL:    &url.URL{Scheme: "http", Host: p.backend.Server.Address, Opaque: "//" + p.backend.Server.Address + r.in.URL.RequestURI()},
		Host:   r.in.Host,
		Header: g.Headers.Forward(r.in.Header, ForwardInfo{
			Account: r.account, Server: p.backend.Server.ID, Timeout: r.remaining(), Urgency: r.queuePriority(), LastEvent: lastEvent,
		}),
		ContentLength: int64(len(r.body)),
	}
	out.Body = http.NoBody
	if len(r.body) > 0 || clientRetries(r.in) {
		// With a body and without GetBody the HTTP client does not retry the request by
		// itself. An empty body is not sent.
		out.Body = io.NopCloser(bytes.NewReader(r.body))
	}
	return out.WithContext(ctx)
}

// clientRetries reports whether net/http would by itself retry a request without a body
// when a kept connection is closed before the response.
func clientRetries(in *http.Request) bool {
	switch in.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return in.Header.Get("Idempotency-Key") != "" || in.Header.Get("X-Idempotency-Key") != ""
}

// discardTimeout limits the wait for the rest of a response that is not used.
const discardTimeout = 100 * time.Millisecond

// discard reads the short rest of a response; its connection can then be reused.
func discard(resp *http.Response) {
	late := time.AfterFunc(discardTimeout, func() { _ = resp.Body.Close() })
	defer late.Stop()
	_, err := io.CopyN(io.Discard, resp.Body, 4<<10)
	if err != nil && !errors.Is(err, io.EOF) {
		// The rest is unreadable; closing the body also closes the connection.
		_ = resp.Body.Close()
		return
	}
	_ = resp.Body.Close()
}

// recordFailure records a failed attempt in the pool.
func (g *Gateway) recordFailure(ctx context.Context, r *request, p *slot, s sendResult) {
	if ctx.Err() != nil && s.resp == nil && time.Since(r.arrived) < unresponsiveAfter {
		// The caller disconnected before the server had time to respond.
		return
	}
	p.service.pool.RecordFailure(p.backend, s.err != nil && !isTimeout(s.err))
}

// unresponsiveAfter is the time without a response after which a server counts as
// failed even if the caller disconnected first.
const unresponsiveAfter = time.Second

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// failed reports whether a server that may have run a request failed it. The statuses that state
// that it did not run are among them: they come without the server's word that this is so.
func failed(status int) bool {
	return status >= http.StatusInternalServerError || verdict.StatesNotRun(status)
}

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
