package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// tokenContent returns the signed content of a ticket that the fleet issued.
func tokenContent(t *testing.T, ring *ticket.Keyring, text string) ticket.Token {
	t.Helper()
	token, err := ring.Verify(text, ticket.PurposeTicket)
	if err != nil {
		t.Fatal(err)
	}
	return token
}

func signed(t *testing.T, ring *ticket.Keyring, token ticket.Token) string {
	t.Helper()
	text, err := ring.Sign(token)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Guards against a filing that runs with a ticket that was not issued for it, and
// against a refusal that is not logged or claims not_run for a ticket of which the
// entry VM has no record.
func TestOnceBadInput(t *testing.T) {
	is := is.New(t)
	f := onceFleet(t, 2, 1, 16)
	file, err := ticket.OpenFile(filepath.Join(f.Dir, "keys", "ticket.keys"))
	is.NoErr(err)
	ring := file.Keyring()
	stranger, err := ticket.NewKeyring(ticket.Key{ID: 1, Secret: bytes.Repeat([]byte("x"), ticket.MinKeyBytes)})
	is.NoErr(err)
	ctx := context.Background()
	issue := func(key string) string {
		text, _ := f.Entry(0, "acme").Ticket(ctx, "records", key)
		return text
	}
	with := func(change func(*ticket.Token)) string {
		token := tokenContent(t, ring, issue(""))
		token.Request = fleet.NewRequestID()
		change(&token)
		return signed(t, ring, token)
	}
	valid := issue("")
	flipped := []byte(issue(""))
	flipped[len(flipped)/2] ^= 1
	cases := []struct {
		name, ticket, key string
		header            map[string][]string
		account           string
		status            int
	}{
		{name: "key_without_ticket", key: "k", status: http.StatusPreconditionRequired},
		{name: "forged", ticket: signed(t, stranger, tokenContent(t, ring, valid)), status: 400},
		{name: "changed", ticket: string(flipped), status: 400},
		{name: "truncated", ticket: valid[:len(valid)-4], status: 400},
		{name: "not_base64", ticket: "%%%", status: 400},
		{name: "oversized", ticket: strings.Repeat("A", 4096), status: 400},
		{name: "empty", header: map[string][]string{"Ticket": {""}}, status: 400},
		{name: "two_tickets", header: map[string][]string{"Ticket": {issue(""), issue("")}}, status: 400},
		{name: "stream_token", ticket: with(func(k *ticket.Token) { k.Purpose = ticket.PurposeStream }), status: 400},
		{name: "other_service", ticket: with(func(k *ticket.Token) { k.Service = "orders" }), status: 400},
		{name: "other_account", ticket: issue(""), account: "beta", status: 403},
		{name: "unknown_account", ticket: issue(""), account: "nobody", status: 401},
		{name: "other_key", ticket: issue("mine"), key: "other", status: 400},
		{name: "unknown_agent", ticket: with(func(k *ticket.Token) { k.Agent = "agent-9" }), status: 503},
		{name: "earlier_start", ticket: with(func(k *ticket.Token) { k.Start-- }), status: 409},
		{name: "long_expired", ticket: with(func(k *ticket.Token) { k.ExpiresUptime = -time.Hour.Milliseconds() }), status: 409},
		{name: "attempt_not_a_number", ticket: issue(""), header: map[string][]string{"Ticket-Attempt": {"first"}}, status: 400},
		{name: "attempt_zero", ticket: issue(""), header: map[string][]string{"Ticket-Attempt": {"0"}}, status: 400},
		{name: "attempt_twice", ticket: issue(""), header: map[string][]string{"Ticket-Attempt": {"1", "2"}}, status: 400},
		{name: "timeout_not_a_number", ticket: issue(""), header: map[string][]string{"Request-Timeout-Ms": {"soon"}}, status: 400},
	}
	refused := 0
	for _, c := range cases {
		for _, attempt := range []string{"1", "2"} {
			id := c.name + "-" + attempt
			account := "acme"
			if c.account != "" {
				account = c.account
			}
			header := http.Header{"Request-Timeout-Ms": {"1500"}, "Ticket-Attempt": {attempt}}
			if c.ticket != "" {
				header.Set("Ticket", c.ticket)
			}
			if c.key != "" {
				header.Set("Idempotency-Key", c.key)
			}
			for name, values := range c.header {
				header[name] = values
			}
			body, _ := json.Marshal(map[string]string{"id": id})
			o := f.Entry(0, account).Send(ctx, http.MethodPost, "/v1/services/records"+harness.FilingPath, header, body)
			// For a ticket without a record in the fleet, not_run relies only on the
			// caller's statement that this is the first attempt. A key without a
			// ticket never runs.
			want := verdict.MayHaveRun
			if c.name == "key_without_ticket" || header.Get("Ticket-Attempt") == "1" && len(header["Ticket-Attempt"]) == 1 && c.name != "long_expired" {
				want = verdict.NotRun
			}
			if o.Status != c.status || o.Verdict != want {
				t.Errorf("%s: status %d verdict %s reason %s, want %d %s", id, o.Status, o.Verdict, o.Reason, c.status, want)
			}
			if !strings.Contains(f.Entries[0].Log(), o.RequestID) {
				t.Errorf("%s: the refusal is not in the log", id)
			}
			refused++
		}
	}
	runs, err := f.Runs()
	is.NoErr(err)
	is.Equal(len(runs), 0)
	proved(t, "once_bad_input", "refused", refused, "runs", len(runs))
}
