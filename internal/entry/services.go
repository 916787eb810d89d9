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

// passedHeaders are the request headers that a plain service gets.
var passedHeaders = []string{"Accept", "Content-Type", "Content-Encoding", "Content-Language"}

// droppedHeaders are the response headers that concern one connection only.
var droppedHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Te", "Proxy-Connection", "Verdict", "Request-Id"}

// serveService handles calls of plain services. Their paths are arbitrary,
// which goa's router cannot express.
func (a *callersAPI) serveService(w http.ResponseWriter, r *http.Request) {
	q := requestFrom(r.Context())
	call, e := a.serviceCall(r, q)
	if e != nil {
		a.gate.refuse(w, q, q.refusal(e))
		return
	}
	a.commands.Budget.Request()
	sink := &answer{writer: w, limit: a.gate.config.Limits.StreamBufferBytes}
	e = a.commands.CallService(r.Context(), q.call, call, sink)
	a.gate.finished(q, e)
	switch {
	case e == nil:
		sink.end()
	case sink.Committed():
		// The status is sent, so only a broken connection tells the caller
		// that the answer is not whole.
		panic(http.ErrAbortHandler)
	default:
		writeProblem(w, q.id, e)
	}
}

func (a *callersAPI) serviceCall(r *http.Request, q *request) (command.ServiceCall, *verdict.Error) {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix), "/")
	path = "/" + path
	content := strings.Join([]string{name, r.Method, path, r.URL.RawQuery, string(q.body)}, "\x00")
	q.call.Fingerprint = quarantine.Fingerprint(q.call.Account.ID, []byte(content))
	service, e := a.commands.AdmitService(q.call, name)
	if e != nil {
		return command.ServiceCall{}, e
	}
	call := command.ServiceCall{
		Service: wire.Service{
			Name: name, Method: r.Method, Path: path, Query: r.URL.RawQuery, Headers: contentHeaders(r.Header),
			Body: q.body, Idempotent: service.Idempotent(r.Method, path),
		},
		Ticket: r.Header.Get("Ticket"), FirstUse: q.firstUse, IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}
	return call, checkTicketHeaders(q, r.Header)
}

// checkTicketHeaders refuses headers that could be read in two ways.
func checkTicketHeaders(q *request, h http.Header) *verdict.Error {
	attempts := h.Values("Ticket-Attempt")
	switch {
	case !q.ticketed:
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
	for _, name := range passedHeaders {
		for _, value := range h.Values(name) {
			out = append(out, wire.Header{Name: name, Value: value})
		}
	}
	return out
}

// answer relays a plain service's answer. It holds back the first part, so that
// an attempt that fails early can be repeated unseen.
type answer struct {
	writer   http.ResponseWriter
	limit    int
	response *wire.Response
	held     []byte
	// written counts the bytes that the caller has; skip is how many of them a
	// repeated answer still brings again.
	written   int
	skip      int
	committed bool
}

// Begin takes the head of an answer, or of its repeat.
func (s *answer) Begin(m *wire.Response) error {
	s.response, s.held, s.skip = m, nil, s.written
	return nil
}

// Write takes a piece of the body.
func (s *answer) Write(data []byte) error {
	n := min(s.skip, len(data))
	s.skip -= n
	data = data[n:]
	if !s.committed && len(s.held)+len(data) <= s.limit {
		s.held = append(s.held, data...)
		return nil
	}
	return s.send(data)
}

func (s *answer) send(data []byte) error {
	if !s.committed {
		s.commit(verdict.MayHaveRun)
		data = append(s.held, data...)
		s.held = nil
	}
	s.written += len(data)
	_, err := s.writer.Write(data)
	return err
}

// Committed tells that the caller has the head.
func (s *answer) Committed() bool { return s.committed }

func (s *answer) commit(v verdict.Verdict) {
	s.committed = true
	h := s.writer.Header()
	for _, field := range s.response.Headers {
		if !slices.Contains(droppedHeaders, http.CanonicalHeaderKey(field.Name)) {
			h.Add(field.Name, field.Value)
		}
	}
	h.Set("Verdict", string(v))
	s.writer.WriteHeader(s.response.Status)
}

// end writes what was held back. A run whose answer is no longer kept is
// reported by the verdict alone.
func (s *answer) end() {
	if s.response == nil || s.response.Status < 200 || s.response.Status > 599 {
		s.response = &wire.Response{Status: http.StatusOK, BodyOmitted: true}
	}
	if s.response.BodyOmitted {
		s.held = nil
	}
	if !s.committed {
		s.commit(verdict.Completed)
	}
	_, _ = s.writer.Write(s.held)
}
