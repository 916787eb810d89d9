package entry

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/coltsfootbay/coltsfootbay/internal/entry/command"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// forwardedRequestHeaders are the request headers that are sent to plain services.
var forwardedRequestHeaders = []string{"Accept", "Content-Type", "Content-Encoding", "Content-Language"}

// droppedResponseHeaders are the response headers that apply to one connection
// only or that the entry sets itself.
var droppedResponseHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Te", "Proxy-Connection", "Verdict", "Request-Id"}

// serveService handles calls of plain services. Their paths are arbitrary, which
// goa's router cannot express.
func (a *callersAPI) serveService(w http.ResponseWriter, r *http.Request) {
	req := requestFrom(r.Context())
	call, e := a.serviceCall(r, req)
	if e != nil {
		a.frontend.refuse(w, req, req.refusal(e))
		return
	}
	a.commands.Budget.Request()
	sink := &responseRelay{writer: w, limit: a.frontend.config.Limits.StreamBufferBytes}
	e = a.commands.CallService(r.Context(), req.call, call, sink)
	a.frontend.recordEnd(req, e)
	switch {
	case e == nil:
		sink.end()
	case sink.Committed():
		// The status has been sent, so only a broken connection shows the caller
		// that the response is incomplete.
		panic(http.ErrAbortHandler)
	default:
		writeProblem(w, req.id, e)
	}
}

func (a *callersAPI) serviceCall(r *http.Request, req *request) (command.ServiceCall, *verdict.Error) {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix), "/")
	path = "/" + path
	content := strings.Join([]string{name, r.Method, path, r.URL.RawQuery, string(req.body)}, "\x00")
	req.call.Fingerprint = quarantine.Fingerprint(req.call.Account.ID, []byte(content))
	service, e := a.commands.AdmitService(req.call, name)
	if e != nil {
		return command.ServiceCall{}, e
	}
	call := command.ServiceCall{
		Service: wire.Service{
			Name: name, Method: r.Method, Path: path, Query: r.URL.RawQuery, Headers: contentHeaders(r.Header),
			Body: req.body, Idempotent: service.Idempotent(r.Method, path),
		},
		Ticket: r.Header.Get("Ticket"), FirstUse: req.firstUse, IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}
	return call, checkTicketHeaders(req, r.Header)
}

// checkTicketHeaders refuses ambiguous ticket headers.
func checkTicketHeaders(req *request, h http.Header) *verdict.Error {
	attempts := h.Values("Ticket-Attempt")
	switch {
	case !req.ticketed:
		return nil
	case len(h.Values("Ticket")) > 1 || h.Get("Ticket") == "":
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonTicketInvalid, "Ticket must have one value")
	case len(attempts) > 1:
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "Ticket-Attempt must have one value")
	case len(attempts) == 0:
		return nil
	}
	if n, err := strconv.ParseUint(attempts[0], 10, 32); err != nil || n == 0 {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "Ticket-Attempt %q is not a number from 1", attempts[0])
	}
	return nil
}

func contentHeaders(h http.Header) []wire.Header {
	var out []wire.Header
	for _, name := range forwardedRequestHeaders {
		for _, value := range h.Values(name) {
			out = append(out, wire.Header{Name: name, Value: value})
		}
	}
	return out
}

// responseRelay relays a plain service's response to the caller. It buffers the
// beginning, so that an attempt that fails early can be retried without the
// caller noticing.
type responseRelay struct {
	writer   http.ResponseWriter
	limit    int
	response *wire.Response
	buffered []byte
	// written is the number of body bytes sent to the caller; skip is how many of
	// them the response of a retry still repeats; these are dropped.
	written   int
	skip      int
	committed bool
}

// Begin receives the status and headers of a response, or of its repetition
// after a retry.
func (s *responseRelay) Begin(m *wire.Response) error {
	s.response, s.buffered, s.skip = m, nil, s.written
	return nil
}

// Write receives a piece of the body.
func (s *responseRelay) Write(data []byte) error {
	n := min(s.skip, len(data))
	s.skip -= n
	data = data[n:]
	if !s.committed && len(s.buffered)+len(data) <= s.limit {
		s.buffered = append(s.buffered, data...)
		return nil
	}
	return s.send(data)
}

func (s *responseRelay) send(data []byte) error {
	if !s.committed {
		s.commit(verdict.MayHaveRun)
		data = append(s.buffered, data...)
		s.buffered = nil
	}
	s.written += len(data)
	_, err := s.writer.Write(data)
	return err
}

// Committed reports whether the head has been sent to the caller.
func (s *responseRelay) Committed() bool { return s.committed }

func (s *responseRelay) commit(v verdict.Verdict) {
	s.committed = true
	h := s.writer.Header()
	for _, field := range s.response.Headers {
		if !slices.Contains(droppedResponseHeaders, http.CanonicalHeaderKey(field.Name)) {
			h.Add(field.Name, field.Value)
		}
	}
	h.Set("Verdict", string(v))
	s.writer.WriteHeader(s.response.Status)
}

// end writes the buffered bytes. If the response is no longer stored, the verdict
// alone reports the result of the run.
func (s *responseRelay) end() {
	if s.response == nil || s.response.Status < 200 || s.response.Status > 599 {
		s.response = &wire.Response{Status: http.StatusOK, BodyOmitted: true}
	}
	if s.response.BodyOmitted {
		s.buffered = nil
	}
	if !s.committed {
		s.commit(verdict.Completed)
	}
	_, _ = s.writer.Write(s.buffered)
}
