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

// callersAPI implements the callers' HTTP API.
type callersAPI struct {
	frontend *frontend
	commands *command.Commands
	queries  *query.Queries
	config   settings.EntryConfig
}

// handler returns goa's HTTP handler of the callers' API.
func (a *callersAPI) handler() http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := callers.NewEndpoints(a)
	callersserver.Mount(mux, callersserver.New(endpoints, mux, jsonDecoder, jsonEncoder, nil, a.format))
	return mux
}

// jsonDecoder decodes JSON regardless of the Content-Type, because existing
// callers of models omit it.
func jsonDecoder(r *http.Request) goahttp.Decoder { return json.NewDecoder(r.Body) }

func jsonEncoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w)
}

// format converts an error of goa or of an API method to a refusal. goa then
// writes the status and body.
func (a *callersAPI) format(ctx context.Context, err error) goahttp.Statuser {
	req := requestFrom(ctx)
	e := verdictOf(err)
	a.frontend.recordEnd(req, e)
	setProblemHeaders(req.writer.Header(), e)
	return newProblem(req.id, e)
}

// JWTAuth accepts requests whose key the frontend has verified.
func (a *callersAPI) JWTAuth(ctx context.Context, _ string, _ *security.JWTScheme) (context.Context, error) {
	if req := requestFrom(ctx); req == nil || req.call == nil {
		return ctx, verdict.Refuse(http.StatusUnauthorized, verdict.ReasonUnauthenticated, "a bearer key is required")
	}
	return ctx, nil
}

// Addresses returns the addresses at which callers can connect.
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

// Tickets issues a ticket for one call of a service.
func (a *callersAPI) Tickets(ctx context.Context, p *callers.TicketsPayload) (*callers.TicketsResult, error) {
	req := requestFrom(ctx)
	if _, e := a.commands.AdmitService(req.call, p.Service); e != nil {
		return nil, e
	}
	text, lifetime, e := a.commands.IssueTicket(req.call, p.Service, stringValue(p.IdempotencyKey))
	if e != nil {
		return nil, e
	}
	a.frontend.recordEnd(req, nil)
	return &callers.TicketsResult{Ticket: text, ExpiresSeconds: int(lifetime.Seconds())}, nil
}

// Completions runs a completion. A stream's response is returned after its first
// part has arrived, so that an early failure can still set the HTTP status.
func (a *callersAPI) Completions(ctx context.Context, p *callers.CompletionsPayload) (*callers.CompletionsResult, io.ReadCloser, error) {
	req := requestFrom(ctx)
	completion := newCompletion(p)
	// A resumed request must have the same fingerprint as the original one, so
	// the fingerprint leaves out the body's resume field.
	content := strings.Join([]string{completion.Model, completion.Adapter, completion.Prompt}, "\x00")
	req.call.Fingerprint = quarantine.Fingerprint(req.call.Account.ID, []byte(content))
	req.call.Properties = command.Properties(completion)
	if e := a.commands.AdmitModel(req.call, completion.Model, completion.Adapter); e != nil {
		return nil, nil, resumedRefusal(e, completion.Resume != nil)
	}
	a.commands.Budget.Request()
	buffer, e := a.commands.StartCompletion(ctx, req.call, completion)
	if e != nil {
		return nil, nil, e
	}
	body := &completionBody{api: a, request: req, buffer: buffer, model: completion.Model}
	if p.Stream || strings.Contains(stringValue(p.Accept), "text/event-stream") {
		return a.respondStream(req, body)
	}
	return a.respondJSON(req, body)
}

// resumedRefusal replaces not_run by may_have_run for a resumed stream, which ran
// before.
func resumedRefusal(e *verdict.Error, resumed bool) *verdict.Error {
	return command.TicketRefusal(e, !resumed)
}

func (a *callersAPI) respondStream(req *request, b *completionBody) (*callers.CompletionsResult, io.ReadCloser, error) {
	b.parts, b.end = b.buffer.Next()
	if b.end != nil && b.end.Refusal != nil {
		return nil, nil, b.end.Refusal
	}
	// The run has started but not ended when the headers are written.
	req.writer.Header().Set("Verdict", string(verdict.MayHaveRun))
	req.writer.Header().Set("Cache-Control", "no-cache")
	return &callers.CompletionsResult{ContentType: "text/event-stream"}, b, nil
}

func (a *callersAPI) respondJSON(req *request, b *completionBody) (*callers.CompletionsResult, io.ReadCloser, error) {
	e := b.collect()
	if e != nil {
		return nil, nil, e
	}
	a.frontend.recordEnd(req, nil)
	req.writer.Header().Set("Verdict", string(verdict.Completed))
	return &callers.CompletionsResult{ContentType: "application/json"}, b, nil
}

func newCompletion(p *callers.CompletionsPayload) command.Completion {
	c := command.Completion{Model: p.Model, Adapter: stringValue(p.Adapter), Prompt: p.Prompt, MaxTokens: p.MaxTokens}
	if p.Resume != nil {
		c.Resume = &command.Resume{StreamToken: p.Resume.StreamToken, NextPart: p.Resume.NextPart, Generated: stringValue(p.Resume.Generated)}
	}
	return c
}

func stringValue(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
