package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	goahttp "goa.design/goa/v3/http"
	"goa.design/goa/v3/security"

	"github.com/coltsfootbay/coltsfootbay/gen/admin"
	adminserver "github.com/coltsfootbay/coltsfootbay/gen/http/admin/server"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/command"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/query"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// adminAPI implements the administration calls that only entry processes offer.
type adminAPI struct {
	commands  *command.Commands
	queries   *query.Queries
	bodyBytes int64
}

func (a *adminAPI) handler() http.Handler {
	mux := goahttp.NewMuxer()
	adminserver.Mount(mux, adminserver.New(admin.NewEndpoints(a), mux, jsonDecoder, jsonEncoder, nil, formatAdmin))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := &request{id: fleet.NewRequestID(), writer: w}
		w.Header().Set("Request-Id", string(req.id))
		if allowed := adminMethod(r.URL.Path); allowed == "" {
			writeProblem(w, req.id, verdict.Refuse(http.StatusNotFound, verdict.ReasonBadRequest, "path %q does not exist", r.URL.Path))
			return
		} else if r.Method != allowed {
			writeProblem(w, req.id, methodNotAllowed(w, allowed))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, a.bodyBytes)
		mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestKey{}, req)))
	})
}

// adminMethod returns the allowed method of a path, or "" if the path does not
// exist. goa's router would respond in plain text.
func adminMethod(path string) string {
	switch path {
	case "/admin/v1/configuration", "/admin/v1/members", "/admin/v1/quarantine", "/admin/v1/usage":
		return http.MethodGet
	case "/admin/v1/validate":
		return http.MethodPost
	}
	if rest, ok := strings.CutPrefix(path, "/admin/v1/quarantine/"); ok && rest != "" && !strings.Contains(rest, "/") {
		return http.MethodDelete
	}
	return ""
}

func formatAdmin(ctx context.Context, err error) goahttp.Statuser {
	req := requestFrom(ctx)
	e := verdictOf(err)
	setProblemHeaders(req.writer.Header(), e)
	return newProblem(req.id, e)
}

// JWTAuth accepts every call, because package adminhttp has verified the key.
func (a *adminAPI) JWTAuth(ctx context.Context, _ string, _ *security.JWTScheme) (context.Context, error) {
	return ctx, nil
}

// Configuration returns the latest and the effective revision of each document.
func (a *adminAPI) Configuration(context.Context, *admin.ConfigurationPayload) (*admin.ConfigurationResult, error) {
	store := a.queries.Store
	effective := store.Effective()
	result := &admin.ConfigurationResult{
		Revision: store.Revision(), PlatformAgeMs: store.PlatformAge().Milliseconds(), ShareScale: effective.ShareScale,
		Documents: []*admin.DocumentStatus{}, Inactive: []*admin.InactiveReference{},
	}
	for _, d := range store.Status() {
		result.Documents = append(result.Documents, &admin.DocumentStatus{
			Name: d.Name, Latest: d.Latest, InForce: d.InForce, Deleted: &d.Deleted, Rejected: optional(d.Rejected),
		})
	}
	for _, i := range effective.Inactive {
		result.Inactive = append(result.Inactive, &admin.InactiveReference{Document: i.Document, Reference: i.Reference, Reason: i.Reason})
	}
	return result, nil
}

// Members returns the processes that this entry knows.
func (a *adminAPI) Members(context.Context, *admin.MembersPayload) ([]*admin.MemberStatus, error) {
	out := []*admin.MemberStatus{}
	for _, m := range a.queries.Members() {
		out = append(out, &admin.MemberStatus{
			Process: string(m.Hello.Process), Start: strconv.FormatUint(uint64(m.Hello.Start), 10), Role: string(m.Hello.Role),
			Zone: string(m.Hello.Zone), Address: m.Hello.Address, Alive: m.Alive, Leaving: m.Leaving, Linked: m.Linked,
		})
	}
	return out, nil
}

// Quarantine returns the suspicions.
func (a *adminAPI) Quarantine(context.Context, *admin.QuarantinePayload) ([]*admin.SuspicionStatus, error) {
	registry := a.queries.Quarantine
	out := []*admin.SuspicionStatus{}
	for _, s := range registry.List() {
		out = append(out, &admin.SuspicionStatus{
			Fingerprint: command.FormatFingerprint(s.Fingerprint), Account: string(s.Account), Crashes: len(s.Crashes),
			Quarantined: registry.State(s.Fingerprint) == quarantine.Quarantined, RemainingMs: s.Remaining,
		})
	}
	return out, nil
}

// Usage returns what each account has used at this entry.
func (a *adminAPI) Usage(context.Context, *admin.UsagePayload) ([]*admin.UsageStatus, error) {
	out := []*admin.UsageStatus{}
	for _, u := range a.queries.Usage.Accounts() {
		out = append(out, &admin.UsageStatus{
			Account: string(u.Account), Requests: u.Requests, PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens,
		})
	}
	return out, nil
}

// Validate reports whether a document is valid and, if not, what is wrong with it.
func (a *adminAPI) Validate(_ context.Context, p *admin.ValidatePayload) (*admin.ValidateResult, error) {
	if err := a.commands.Validate(p.Name, p.Body); err != nil {
		return &admin.ValidateResult{Fault: optional(err.Error())}, nil
	}
	return &admin.ValidateResult{Valid: true}, nil
}

// Lift clears the suspicion or quarantine of a fingerprint.
func (a *adminAPI) Lift(ctx context.Context, p *admin.LiftPayload) error {
	fingerprint, err := strconv.ParseUint(p.Fingerprint, 16, 64)
	if err != nil || !a.commands.Lift(ctx, fingerprint) {
		return verdict.Refuse(http.StatusNotFound, verdict.ReasonBadRequest, "fingerprint %q is not known", p.Fingerprint)
	}
	return nil
}

func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}
