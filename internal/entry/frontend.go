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
	"github.com/coltsfootbay/coltsfootbay/internal/bounded"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/command"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/usage"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/inbound"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/shutdown"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	servicesPrefix = "/v1/services/"
	// writeGrace is how long an answer may still be written after the deadline.
	writeGrace = 5 * time.Second
	// otherEntryRetryAfter is the Retry-After of requests that another entry VM can serve.
	otherEntryRetryAfter = 50 * time.Millisecond
	// busyRetryAfter is the Retry-After of refusals for overload and for a
	// missing configuration.
	busyRetryAfter = time.Second
)

// frontend checks every request before it reaches its handler: path, limits,
// bearer key, deadline and rank.
type frontend struct {
	config   settings.EntryConfig
	store    command.Configuration
	recorder *events.Recorder
	usage    *usage.Usage
	leaving  func() bool
	paused   func() bool
	api      http.Handler
	services http.Handler
	inFlight atomic.Int64
	// pauses determines how long a request may have waited to be read.
	pauses *pauses
	stop   *shutdown.Stop
}

// request is the state of one request. Handlers get it from the context.
type request struct {
	id       fleet.RequestID
	in       *http.Request
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

// refusal returns e with the correct verdict for a request that was not sent to
// an agent.
func (req *request) refusal(e *verdict.Error) *verdict.Error {
	if !req.ticketed {
		return e
	}
	return command.TicketRefusal(e, req.firstUse.Trusted())
}

// ServeHTTP checks a request and passes it to its handler.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := &request{id: fleet.NewRequestID(), in: r, writer: w, received: time.Now()}
	if strings.HasPrefix(r.URL.Path, servicesPrefix) {
		req.ticketed = len(r.Header.Values("Ticket")) > 0
		req.firstUse = command.FirstUse{Stated: slices.Equal(r.Header.Values("Ticket-Attempt"), []string{"1"}), Received: req.received, Paused: f.paused}
	}
	w.Header().Set("Request-Id", string(req.id))
	if f.leaving() {
		w.Header().Set("Connection", "close")
	}
	// The deadline of the previous request on the connection is still set.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Duration(f.config.Limits.ReadTimeout) + writeGrace))
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	r = r.WithContext(context.WithValue(r.Context(), requestKey{}, req))
	if e := f.route(w, r, req); e != nil {
		f.refuse(w, req, req.refusal(e))
	}
}

func (f *frontend) refuse(w http.ResponseWriter, req *request, e *verdict.Error) {
	f.recordEnd(req, e)
	inbound.AnswerEarly(w, req.in)
	writeProblem(w, req.id, e)
}

// route serves the request or returns a refusal.
func (f *frontend) route(w http.ResponseWriter, r *http.Request, req *request) *verdict.Error {
	switch path := r.URL.Path; {
	case path == "/openapi.json" || path == "/v1/addresses":
		return f.servePublic(w, r)
	case path == "/v1/completions" || path == "/v1/tickets":
		if r.Method != http.MethodPost {
			return methodNotAllowed(w, http.MethodPost)
		}
		return f.serveAdmitted(w, r, req, f.api)
	case strings.HasPrefix(path, servicesPrefix):
		return f.serveAdmitted(w, r, req, f.services)
	}
	return verdict.Refuse(http.StatusNotFound, verdict.ReasonBadRequest, "path %q does not exist", r.URL.Path)
}

// servePublic serves the paths that need no key.
func (f *frontend) servePublic(w http.ResponseWriter, r *http.Request) *verdict.Error {
	if r.Method != http.MethodGet {
		return methodNotAllowed(w, http.MethodGet)
	}
	inbound.AnswerEarly(w, r)
	if r.URL.Path == "/openapi.json" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(coltsfootbay.OpenAPI)
		return nil
	}
	f.api.ServeHTTP(w, r)
	return nil
}

func methodNotAllowed(w http.ResponseWriter, allowed string) *verdict.Error {
	w.Header().Set("Allow", allowed)
	return verdict.Refuse(http.StatusMethodNotAllowed, verdict.ReasonBadRequest, "only %s is allowed", allowed)
}

func (f *frontend) serveAdmitted(w http.ResponseWriter, r *http.Request, req *request, next http.Handler) *verdict.Error {
	if f.inFlight.Load() > int64(f.config.Limits.Streams) {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, "too many requests in flight").WithRetryAfter(busyRetryAfter)
	}
	call, e := f.authenticate(r, req)
	if e != nil {
		return e
	}
	req.call = call
	if f.stop.Outlasts(call.Deadline) {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonLeaving, "the process stops before the deadline").WithRetryAfter(otherEntryRetryAfter)
	}
	var release func()
	if req.body, release, e = f.readBody(w, r); e != nil {
		return e
	}
	defer release()
	r.Body = io.NopCloser(bytes.NewReader(req.body))
	_ = http.NewResponseController(w).SetWriteDeadline(call.Deadline.Add(writeGrace))
	f.recorder.Record("request.received", req.id, events.F("account", call.Account.ID), events.F("rank", call.Rank.String()), events.F("path", r.URL.Path))
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(f.stop.Ended(), cancel)()
	next.ServeHTTP(w, r.WithContext(ctx))
	return nil
}

// authenticate returns the call of a caller with a valid key, with the rank and
// deadline of the request.
func (f *frontend) authenticate(r *http.Request, req *request) (*command.Call, *verdict.Error) {
	if !f.store.Ready() {
		return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, "no configuration has arrived yet").WithRetryAfter(busyRetryAfter)
	}
	key, ok := bearer(r.Header.Get("Authorization"))
	account, known := f.store.Effective().AccountByKey(key)
	if !ok || !known || account.Template == nil {
		return nil, verdict.Refuse(http.StatusUnauthorized, verdict.ReasonUnauthenticated, "Authorization has no bearer key of a client account")
	}
	deadline, e := f.deadline(r.Header.Get("Request-Timeout-Ms"))
	if e != nil {
		return nil, e
	}
	rank, e := command.Rank(account, r.Header.Get("Request-Rank"))
	if e != nil {
		return nil, e
	}
	return &command.Call{ID: req.id, Account: account, Rank: rank, Deadline: deadline}, nil
}

func bearer(header string) (string, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	return strings.TrimSpace(key), ok && strings.EqualFold(scheme, "Bearer")
}

// deadline returns the deadline of a request. It counts from the time when the
// request may have arrived, so that a request that expired while the process was
// paused does not run.
func (f *frontend) deadline(header string) (time.Time, *verdict.Error) {
	now := time.Now()
	now = now.Add(-f.pauses.deadlineReduction(now))
	if header == "" {
		return now.Add(time.Duration(f.config.DefaultDeadline)), nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms < 1 || ms > settings.MaxDeadline.Milliseconds() {
		return now, verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest,
			"Request-Timeout-Ms %q is not a number from 1 to %d", header, settings.MaxDeadline.Milliseconds())
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// readBody reads the whole body. The caller must call release when it is no longer used.
func (f *frontend) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), e *verdict.Error) {
	limit := f.config.Limits.BodyBytes
	body, release, err := inbound.ReadBody(w, r, limit, time.Now().Add(time.Duration(f.config.Limits.ReadTimeout)))
	switch {
	case errors.Is(err, bounded.ErrTooLong):
		e = verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.ReasonBadRequest, "the body has more than %d bytes", limit)
	case errors.Is(err, inbound.ErrOverloaded):
		e = verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, "%v", err).WithRetryAfter(busyRetryAfter)
	case err != nil:
		e = verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "the body could not be read: %v", err)
	}
	return body, release, e
}

// recordEnd records and counts the end of a request; e is nil after success.
func (f *frontend) recordEnd(req *request, e *verdict.Error) {
	rank := ""
	if req.call != nil {
		rank = req.call.Rank.String()
	}
	if e == nil {
		f.usage.CountRequest(rank, "completed")
		f.recorder.Record("request.completed", req.id, events.F("duration_ms", time.Since(req.received).Milliseconds()))
		return
	}
	f.usage.CountRequest(rank, string(e.Reason))
	f.recorder.Record("request.refused", req.id, events.F("reason", e.Reason), events.F("verdict", e.Verdict), events.F("status", e.Status), events.F("detail", e.Detail))
}
