package agent

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/coltsfootbay/coltsfootbay/internal/bounded"
	"github.com/coltsfootbay/coltsfootbay/internal/ledger"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// maxResponseBytes limits the response body of a plain service, and maxResponsesBytes
	// the bodies that are being read at the same time. The first freeResponseBytes of each do
	// not count: a server that sends bytes without end must not keep short responses out.
	maxResponseBytes  = 8 << 20
	maxResponsesBytes = 64 << 20
	freeResponseBytes = 64 << 10
)

// requestIDHeader carries the request ID, which is the same for every repeat of
// a ticket.
const requestIDHeader = "Request-Id"

// hopHeaders are the hop-by-hop headers, which are not forwarded, and the
// headers that the HTTP library sets.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true,
}

// callService runs a request on the plain service and returns its response.
func (a *agent) callService(r *run) (ledger.Answer, error) {
	request, err := a.serviceRequest(r)
	if err != nil {
		return errorAnswer(verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "%v", err)), nil
	}
	response, err := newClient(a.beginCheck(r)).Do(request)
	if err != nil {
		return ledger.Answer{}, err
	}
	defer response.Body.Close()
	body, taken, err := bounded.Read(response.Body, maxResponseBytes, a.responses, freeResponseBytes)
	a.responses.Release(taken)
	if errors.Is(err, bounded.ErrTooLong) {
		return errorAnswer(tooLargeError(response.StatusCode)), nil
	}
	if err != nil {
		return ledger.Answer{}, err
	}
	if verdict.StatesNotRun(response.StatusCode) {
		// The service has been sent the request and may have run it.
		return errorAnswer(verdict.Uncertain(verdict.ReasonServerFailed, "the service answered with status %d", response.StatusCode)), nil
	}
	head := &wire.Response{Status: response.StatusCode, Headers: responseHeaders(response.Header)}
	return ledger.Answer{Response: head, Body: body}, nil
}

func (a *agent) serviceRequest(r *run) (*http.Request, error) {
	s := r.submit.Service
	target, err := url.Parse(a.config.BackendServer.URL)
	if err != nil {
		return nil, err
	}
	path, err := url.PathUnescape(s.Path)
	if err != nil {
		return nil, fmt.Errorf("path %q: %w", s.Path, err)
	}
	base := strings.TrimSuffix(target.Path, "/")
	target.Path = base + "/" + strings.TrimPrefix(path, "/")
	target.RawPath = base + "/" + strings.TrimPrefix(s.Path, "/")
	target.RawQuery = s.Query
	request, err := http.NewRequestWithContext(r.ctx, s.Method, target.String(), bytes.NewReader(s.Body))
	if err != nil {
		return nil, err
	}
	for _, h := range s.Headers {
		if !hopHeaders[http.CanonicalHeaderKey(h.Name)] {
			request.Header.Add(h.Name, h.Value)
		}
	}
	request.Header.Set(requestIDHeader, string(r.key.request))
	return request, nil
}

func responseHeaders(h http.Header) []wire.Header {
	var out []wire.Header
	for name, values := range h {
		if hopHeaders[name] {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}

func errorAnswer(e *verdict.Error) ledger.Answer { return ledger.Answer{Err: e} }

// tooLargeError returns the error for a response that is too large. Its verdict
// is Completed, because the service did run the request.
func tooLargeError(status int) *verdict.Error {
	return &verdict.Error{
		Verdict: verdict.Completed,
		Reason:  verdict.ReasonResponseTooLarge,
		Status:  http.StatusBadGateway,
		Detail:  fmt.Sprintf("the service answered with status %d and a body of more than %d bytes", status, maxResponseBytes),
	}
}
