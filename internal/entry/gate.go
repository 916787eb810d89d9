package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	coltsfootbay "github.com/coltsfootbay/coltsfootbay"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/command"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/usage"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	servicesPrefix = "/v1/services/"
	// writeGrace is the time to write an answer after the deadline.
	writeGrace = 5 * time.Second
	// busyRetryAfter is what refusals for too many requests ask callers to wait.
	busyRetryAfter = time.Second
)

// gate checks every request before its handler: path, limits, bearer key,
// deadline and rank.
type gate struct {
	config   settings.EntryConfig
	store    command.Configuration
	recorder *events.Recorder
	usage    *usage.Usage
	leaving  func() bool
	paused   func() bool
	api      http.Handler
	services http.Handler
	inFlight atomic.Int64
	// pauses tells how long a request may have waited to be read.
	pauses *pauses
}

// request is what the gate knows about a request; handlers find it in the
// context.
type request struct {
	id       fleet.RequestID
	writer   http.ResponseWriter
	received time.Time
	call     *command.Call
	body     []byte
	ticketed bool
	firstUse command.FirstUse
}

type requestKey struct{}

func requestFrom(ctx context.Context) *request {
	r, _ := ctx.Value(requestKey{}).(*request)
	return r
}

// refusal returns e with a verdict that is true for the request, of which
// nothing was sent.
func (q *request) refusal(e *verdict.Error) *verdict.Error {
	if !q.ticketed {
		return e
	}
	return command.TicketRefusal(e, q.firstUse.Trusted())
}

// ServeHTTP checks and passes on one request.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{id: fleet.NewRequestID(), writer: w, received: time.Now()}
	if strings.HasPrefix(r.URL.Path, servicesPrefix) {
		q.ticketed = len(r.Header.Values("Ticket")) > 0
		q.firstUse = command.FirstUse{Stated: slices.Equal(r.Header.Values("Ticket-Attempt"), []string{"1"}), Received: q.received, Paused: g.paused}
	}
	w.Header().Set("Request-Id", string(q.id))
	if g.leaving() {
		w.Header().Set("Connection", "close")
	}
	// The deadline of an earlier request on the connection is still set.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Duration(g.config.Limits.ReadTimeout) + writeGrace))
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	r = r.WithContext(context.WithValue(r.Context(), requestKey{}, q))
	if e := g.route(w, r, q); e != nil {
		g.refuse(w, q, q.refusal(e))
	}
}

func (g *gate) refuse(w http.ResponseWriter, q *request, e *verdict.Error) {
	g.finished(q, e)
	writeProblem(w, q.id, e)
}

// route serves the request or returns why it is refused.
func (g *gate) route(w http.ResponseWriter, r *http.Request, q *request) *verdict.Error {
	switch path := r.URL.Path; {
	case path == "/openapi.json" || path == "/v1/addresses":
		return g.open(w, r)
	case path == "/v1/completions" || path == "/v1/tickets":
		if r.Method != http.MethodPost {
			return methodNotAllowed(w, http.MethodPost)
		}
		return g.admitted(w, r, q, g.api)
	case strings.HasPrefix(path, servicesPrefix):
		return g.admitted(w, r, q, g.services)
	}
	return verdict.Refuse(http.StatusNotFound, verdict.ReasonBadRequest, "path %q does not exist", r.URL.Path)
}

// open serves the paths that need no key.
func (g *gate) open(w http.ResponseWriter, r *http.Request) *verdict.Error {
	if r.Method != http.MethodGet {
		return methodNotAllowed(w, http.MethodGet)
	}
	if r.URL.Path == "/openapi.json" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(coltsfootbay.OpenAPI)
		return nil
	}
	g.api.ServeHTTP(w, r)
	return nil
}

func methodNotAllowed(w http.ResponseWriter, allowed string) *verdict.Error {
	w.Header().Set("Allow", allowed)
	return verdict.Refuse(http.StatusMethodNotAllowed, verdict.ReasonBadRequest, "only %s is allowed", allowed)
}

func (g *gate) admitted(w http.ResponseWriter, r *http.Request, q *request, next http.Handler) *verdict.Error {
	if g.inFlight.Load() > int64(g.config.Limits.Streams) {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, "too many requests in flight").WithRetryAfter(busyRetryAfter)
	}
	call, e := g.identify(r, q)
	if e != nil {
		return e
	}
	q.call = call
	if q.body, e = g.readBody(w, r); e != nil {
		return e
	}
	r.Body = io.NopCloser(bytes.NewReader(q.body))
	_ = http.NewResponseController(w).SetWriteDeadline(call.Deadline.Add(writeGrace))
	g.recorder.Record("request.received", q.id, events.F("account", call.Account.ID), events.F("rank", call.Rank.String()), events.F("path", r.URL.Path))
	next.ServeHTTP(w, r)
	return nil
}

// identify authenticates the caller and reads the request's parameters.
func (g *gate) identify(r *http.Request, q *request) (*command.Call, *verdict.Error) {
	if !g.store.Ready() {
		return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, "no configuration has arrived yet").WithRetryAfter(busyRetryAfter)
	}
	key, ok := bearer(r.Header.Get("Authorization"))
	account, known := g.store.Effective().AccountByKey(key)
	if !ok || !known || account.Template == nil {
		return nil, verdict.Refuse(http.StatusUnauthorized, verdict.ReasonUnauthenticated, "Authorization has no bearer key of a client account")
	}
	deadline, e := g.deadline(r.Header.Get("Request-Timeout-Ms"))
	if e != nil {
		return nil, e
	}
	rank, e := command.Rank(account, r.Header.Get("Request-Rank"))
	if e != nil {
		return nil, e
	}
	return &command.Call{ID: q.id, Account: account, Rank: rank, Deadline: deadline}, nil
}

func bearer(header string) (string, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	return strings.TrimSpace(key), ok && strings.EqualFold(scheme, "Bearer")
}

// deadline counts from the time when the request may have come, so that what
// expired while the process was stopped does not run.
func (g *gate) deadline(header string) (time.Time, *verdict.Error) {
	now := time.Now()
	now = now.Add(-g.pauses.waited(now))
	if header == "" {
		return now.Add(time.Duration(g.config.DefaultDeadline)), nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms < 1 || ms > settings.MaxDeadline.Milliseconds() {
		return now, verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest,
			"Request-Timeout-Ms %q is not a number from 1 to %d", header, settings.MaxDeadline.Milliseconds())
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// readBody reads the whole body. The read timeout is lifted afterwards, because
// net/http would take its expiry during the handler for a hang-up.
func (g *gate) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *verdict.Error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(time.Duration(g.config.Limits.ReadTimeout)))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.config.Limits.BodyBytes))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.ReasonBadRequest, "the body has more than %d bytes", tooLong.Limit)
	}
	if err != nil {
		return nil, verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "the body could not be read: %v", err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// finished records and counts the end of a request; e is nil after success.
func (g *gate) finished(q *request, e *verdict.Error) {
	rank := ""
	if q.call != nil {
		rank = q.call.Rank.String()
	}
	if e == nil {
		g.usage.Finished(rank, "completed")
		g.recorder.Record("request.completed", q.id, events.F("duration_ms", time.Since(q.received).Milliseconds()))
		return
	}
	g.usage.Finished(rank, string(e.Reason))
	g.recorder.Record("request.refused", q.id, events.F("reason", e.Reason), events.F("verdict", e.Verdict), events.F("status", e.Status), events.F("detail", e.Detail))
}
