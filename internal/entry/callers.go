package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	goahttp "goa.design/goa/v3/http"
	"goa.design/goa/v3/security"

	"github.com/coltsfootbay/coltsfootbay/gen/callers"
	callersserver "github.com/coltsfootbay/coltsfootbay/gen/http/callers/server"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/command"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/query"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// callersAPI serves the callers' interface.
type callersAPI struct {
	gate     *gate
	commands *command.Commands
	queries  *query.Queries
	config   settings.EntryConfig
}

// handler returns goa's server of the callers' interface.
func (a *callersAPI) handler() http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := callers.NewEndpoints(a)
	callersserver.Mount(mux, callersserver.New(endpoints, mux, jsonDecoder, jsonEncoder, nil, a.format))
	return mux
}

// jsonDecoder reads JSON whatever the Content-Type is, as existing model
// callers leave it out.
func jsonDecoder(r *http.Request) goahttp.Decoder { return json.NewDecoder(r.Body) }

func jsonEncoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w)
}

// format turns an error of goa or of a method into a refusal. goa writes the
// status and body afterwards.
func (a *callersAPI) format(ctx context.Context, err error) goahttp.Statuser {
	q := requestFrom(ctx)
	e := failure(err)
	a.gate.finished(q, e)
	setProblemHeaders(q.writer.Header(), e)
	return newProblem(q.id, e)
}

// JWTAuth accepts requests whose key the gate checked before.
func (a *callersAPI) JWTAuth(ctx context.Context, _ string, _ *security.JWTScheme) (context.Context, error) {
	if q := requestFrom(ctx); q == nil || q.call == nil {
		return ctx, verdict.Refuse(http.StatusUnauthorized, verdict.ReasonUnauthenticated, "a bearer key is required")
	}
	return ctx, nil
}

// Addresses answers where callers can connect.
func (a *callersAPI) Addresses(_ context.Context, p *callers.AddressesPayload) (*callers.AddressesResult, error) {
	zone := ""
	if p.Zone != nil {
		zone = *p.Zone
	}
	result := &callers.AddressesResult{Addresses: []*callers.Address{}, LifetimeSeconds: int(seconds(a.config.AddressLifetime))}
	for _, address := range a.queries.Addresses(fleet.AvailabilityZone(zone)) {
		result.Addresses = append(result.Addresses, &callers.Address{Address: address.Address, Zone: string(address.Zone)})
	}
	return result, nil
}

// Tickets issues a ticket.
func (a *callersAPI) Tickets(ctx context.Context, p *callers.TicketsPayload) (*callers.TicketsResult, error) {
	q := requestFrom(ctx)
	if _, e := a.commands.AdmitService(q.call, p.Service); e != nil {
		return nil, e
	}
	text, lifetime, e := a.commands.IssueTicket(q.call, p.Service, text(p.IdempotencyKey))
	if e != nil {
		return nil, e
	}
	a.gate.finished(q, nil)
	return &callers.TicketsResult{Ticket: text, ExpiresSeconds: int(lifetime.Seconds())}, nil
}

// Completions runs a completion. It returns when the first part has arrived, so
// that an early failure still gets its own status.
func (a *callersAPI) Completions(ctx context.Context, p *callers.CompletionsPayload) (*callers.CompletionsResult, io.ReadCloser, error) {
	q := requestFrom(ctx)
	request := completionOf(p)
	// A resumed request must have the fingerprint of its first use, so the
	// resume part of the body does not count.
	content := strings.Join([]string{request.Model, request.Adapter, request.Prompt}, "\x00")
	q.call.Fingerprint = quarantine.Fingerprint(q.call.Account.ID, []byte(content))
	if e := a.commands.AdmitModel(q.call, request.Model, request.Adapter); e != nil {
		return nil, nil, resumedRefusal(e, request.Resume != nil)
	}
	a.commands.Budget.Request()
	buffer, e := a.commands.StartCompletion(ctx, q.call, request)
	if e != nil {
		return nil, nil, e
	}
	body := &completionBody{api: a, request: q, buffer: buffer, model: request.Model}
	if p.Stream || strings.Contains(text(p.Accept), "text/event-stream") {
		return a.stream(q, body)
	}
	return a.whole(q, body)
}

// resumedRefusal keeps not_run from a stream that ran before.
func resumedRefusal(e *verdict.Error, resumed bool) *verdict.Error {
	return command.TicketRefusal(e, !resumed)
}

func (a *callersAPI) stream(q *request, b *completionBody) (*callers.CompletionsResult, io.ReadCloser, error) {
	b.parts, b.end = b.buffer.Next()
	if b.end != nil && b.end.Refusal != nil {
		return nil, nil, b.end.Refusal
	}
	// The run has begun but not ended when the header is written.
	q.writer.Header().Set("Verdict", string(verdict.MayHaveRun))
	q.writer.Header().Set("Cache-Control", "no-cache")
	return &callers.CompletionsResult{ContentType: "text/event-stream"}, b, nil
}

func (a *callersAPI) whole(q *request, b *completionBody) (*callers.CompletionsResult, io.ReadCloser, error) {
	e := b.collect()
	if e != nil {
		return nil, nil, e
	}
	a.gate.finished(q, nil)
	q.writer.Header().Set("Verdict", string(verdict.Completed))
	return &callers.CompletionsResult{ContentType: "application/json"}, b, nil
}

func completionOf(p *callers.CompletionsPayload) command.Completion {
	c := command.Completion{Model: p.Model, Adapter: text(p.Adapter), Prompt: p.Prompt, MaxTokens: p.MaxTokens}
	if p.Resume != nil {
		c.Resume = &command.Resume{StreamToken: p.Resume.StreamToken, NextPart: p.Resume.NextPart, Generated: text(p.Resume.Generated)}
	}
	return c
}

func text(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
