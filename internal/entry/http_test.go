package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

type headers map[string]string

// send sends a request with the test key, unless h overrides the header.
func send(t *testing.T, s *httptest.Server, method, path, body string, h headers) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range h {
		r.Header.Set(name, value)
	}
	response, err := s.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(data)
}

// Guards against refusals with a wrong format, missing headers or a wrong verdict:
// a ticketed call may have run before unless its caller states otherwise.
func TestRefusalsAreProblemsWithTrueVerdict(t *testing.T) {
	s := startFrontend(t, &oneAgent{}, func(c *settings.EntryConfig) { c.Limits.BodyBytes = 1024 })
	noKey := headers{"Authorization": ""}
	cases := []struct {
		name, method, path, body string
		headers                  headers
		status                   int
		verdict                  verdict.Verdict
	}{
		{"unknown path", "GET", "/v2", "", nil, 404, verdict.NotRun},
		{"wrong method", "GET", "/v1/completions", "", nil, 405, verdict.NotRun},
		{"no key", "POST", "/v1/completions", "{}", noKey, 401, verdict.NotRun},
		{"malformed JSON", "POST", "/v1/completions", "{", nil, 400, verdict.NotRun},
		{"empty body", "POST", "/v1/tickets", "", nil, 400, verdict.NotRun},
		{"missing field", "POST", "/v1/completions", `{"model":"m"}`, nil, 400, verdict.NotRun},
		{"field out of range", "POST", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":0}`, nil, 400, verdict.NotRun},
		{"long body", "POST", "/v1/completions", strings.Repeat("x", 1025), nil, 413, verdict.NotRun},
		{"forbidden model", "POST", "/v1/completions", `{"model":"n","prompt":"p"}`, nil, 403, verdict.NotRun},
		{"wrong deadline", "POST", "/v1/completions", `{"model":"m","prompt":"p"}`, headers{"Request-Timeout-Ms": "600001"}, 400, verdict.NotRun},
		{"wrong rank", "POST", "/v1/completions", `{"model":"m","prompt":"p"}`, headers{"Request-Rank": "urgent"}, 400, verdict.NotRun},
		{"no agent", "POST", "/v1/completions", `{"model":"m","prompt":"p"}`, nil, 503, verdict.NotRun},
		{"forged stream token", "POST", "/v1/completions", `{"model":"m","prompt":"p","resume":{"stream_token":"x","next_part":1}}`, nil, 400, verdict.MayHaveRun},
		{"ticket without key", "POST", "/v1/services/records/f", "", headers{"Authorization": "", "Ticket": "t"}, 401, verdict.MayHaveRun},
		{"first use without key", "POST", "/v1/services/records/f", "", headers{"Authorization": "", "Ticket": "t", "Ticket-Attempt": "1"}, 401, verdict.NotRun},
		{"ticket with long body", "POST", "/v1/services/records/f", strings.Repeat("x", 1025), headers{"Ticket": "t"}, 413, verdict.MayHaveRun},
		{"empty ticket", "POST", "/v1/services/records/f", "", headers{"Ticket": ""}, 400, verdict.MayHaveRun},
		{"forbidden service", "POST", "/v1/services/orders/f", "", headers{"Ticket": "t"}, 403, verdict.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			response, body := send(t, s, c.method, c.path, c.body, c.headers)
			var p problem
			is.NoErr(json.Unmarshal([]byte(body), &p))
			is.Equal(response.StatusCode, c.status)
			is.Equal(p.Status, c.status)
			is.Equal(p.Verdict, c.verdict)
			is.Equal(response.Header.Get("Verdict"), string(c.verdict))
			is.Equal(response.Header.Get("Content-Type"), problemType)
			is.True(p.Reason != "" && response.Header.Get("Request-Id") == string(p.RequestID))
			is.Equal(response.Header.Get("Retry-After") != "", c.status == 503)
		})
	}
}

func completionAgent() *oneAgent {
	return &oneAgent{report: wire.Report{Model: "m"}, answers: []wire.Message{
		&wire.Accepted{}, &wire.Begun{}, &wire.Part{Attempt: 1, Text: "a", Tokens: 1}, &wire.Part{Attempt: 1, Number: 1, Text: "b", Tokens: 1},
		&wire.Done{Parts: 2, PromptTokens: 3, CompletionTokens: 2, FinishReason: "stop"},
	}}
}

// Guards against an unbounded number of requests in flight.
func TestRequestsInFlightAreBounded(t *testing.T) {
	is := is.New(t)
	s := startFrontend(t, completionAgent(), func(c *settings.EntryConfig) { c.Limits.Streams = 0 })
	response, body := send(t, s, "POST", "/v1/completions", `{"model":"m","prompt":"p"}`, nil)
	is.Equal(response.StatusCode, 503)
	is.True(strings.Contains(body, `"reason":"overloaded"`))
}

// Guards against a change of the wire format that existing callers of models read.
func TestCompletionForms(t *testing.T) {
	is := is.New(t)
	s := startFrontend(t, completionAgent(), nil)
	response, body := send(t, s, "POST", "/v1/completions", `{"model":"m","prompt":"p"}`, nil)
	is.Equal(response.StatusCode, 200)
	is.Equal(response.Header.Get("Verdict"), "completed")
	var whole event
	is.NoErr(json.Unmarshal([]byte(body), &whole))
	is.Equal(whole.Choices[0].Text, "ab")
	is.Equal(*whole.Usage, tokenUsage{3, 2, 5})

	response, body = send(t, s, "POST", "/v1/completions", `{"model":"m","prompt":"p","stream":true}`, nil)
	is.Equal(response.Header.Get("Content-Type"), "text/event-stream")
	blocks := strings.Split(strings.TrimSpace(body), "\n\n")
	is.Equal(len(blocks), 4) // two parts, the finish reason and [DONE]
	is.True(strings.HasPrefix(blocks[0], "id: 0\ndata: {") && strings.Contains(blocks[0], `"stream_token":"`))
	is.True(strings.HasPrefix(blocks[1], "id: 1\ndata: {") && strings.Contains(blocks[1], `"text":"b"`))
	is.True(strings.Contains(blocks[2], `"finish_reason":"stop"`))
	is.Equal(blocks[3], "data: [DONE]")
}

// Guards against an incomplete stream that looks complete.
func TestBrokenStreamHasNoDone(t *testing.T) {
	is := is.New(t)
	agent := completionAgent()
	agent.answers[4] = &wire.Refused{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonServerCrashed, Status: 502}
	_, body := send(t, startFrontend(t, agent, nil), "POST", "/v1/completions", `{"model":"m","prompt":"p","stream":true}`, nil)
	is.True(strings.Contains(body, "event: error\n"))
	is.True(!strings.Contains(body, "[DONE]"))
}

// Guards against a service's response that is changed or truncated by the relay,
// also if it is longer than the part that is buffered.
func TestServiceAnswerIsRelayedWhole(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", 10000)
	agent := &oneAgent{report: wire.Report{Service: "records"}, answers: []wire.Message{
		&wire.Response{Status: 201, Headers: []wire.Header{{Name: "Location", Value: "/f/1"}}},
		&wire.Chunk{Data: []byte(long)}, &wire.Chunk{Data: []byte("end")}, &wire.Done{},
	}}
	for _, limit := range []int{4096, 1 << 20} {
		s := startFrontend(t, agent, func(c *settings.EntryConfig) { c.Limits.StreamBufferBytes = limit })
		response, body := send(t, s, "POST", "/v1/services/records/f%2Fg?q=1", "filing", nil)
		is.Equal(response.StatusCode, 201)
		is.Equal(response.Header.Get("Location"), "/f/1")
		is.Equal(body, long+"end")
	}
}

// Guards against a repeated response after a lost link that duplicates the bytes
// which the caller has already received.
func TestRepeatedAnswerSkipsWhatWasSent(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	a := &responseRelay{writer: w, limit: 2}
	head := &wire.Response{Status: 200}
	is.NoErr(a.Begin(head))
	is.NoErr(a.Write([]byte("abc")))
	is.NoErr(a.Begin(head))
	is.NoErr(a.Write([]byte("ab")))
	is.NoErr(a.Write([]byte("cdef")))
	a.end()
	is.Equal(w.Body.String(), "abcdef")
}

// Guards against address answers that name dead or leaving entry VMs.
func TestAddressesOmitLeavingEntries(t *testing.T) {
	is := is.New(t)
	at := func(address string, zone fleet.AvailabilityZone, alive, leaving bool) member.EntryVM {
		return member.EntryVM{Hello: wire.Hello{Process: "e", CallerAddress: address, Zone: zone}, Alive: alive, Leaving: leaving}
	}
	f := &oneAgent{entries: []member.EntryVM{
		at("127.0.0.1:1", "b", true, false), at("127.0.0.1:2", "a", true, false), at("127.0.0.1:3", "a", true, true), at("127.0.0.1:4", "a", false, false),
	}}
	response, body := send(t, startFrontend(t, f, nil), "GET", "/v1/addresses?zone=a", "", headers{"Authorization": ""})
	is.Equal(response.StatusCode, 200)
	is.Equal(strings.TrimSpace(body), `{"addresses":[{"address":"127.0.0.1:2","zone":"a"},{"address":"127.0.0.1:1","zone":"b"}],"lifetime_seconds":10}`)
}

// Guards against a missing or invalid OpenAPI document.
func TestOpenAPIIsServed(t *testing.T) {
	is := is.New(t)
	response, body := send(t, startFrontend(t, &oneAgent{}, nil), "GET", "/openapi.json", "", nil)
	is.Equal(response.StatusCode, 200)
	is.True(json.Valid([]byte(body)) && strings.Contains(body, "/v1/completions"))
}
