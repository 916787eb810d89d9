package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Measures the cost per token from the agent's message to the caller's HTTP
// response.
func BenchmarkRelay(b *testing.B) {
	const tokens = 1000
	f := &oneAgent{report: wire.Report{Model: "m"}, answers: []wire.Message{&wire.Accepted{}, &wire.Begun{}}}
	for i := range uint64(tokens) {
		f.answers = append(f.answers, &wire.Part{Attempt: 1, Number: i, Text: " token", Tokens: 1})
	}
	f.answers = append(f.answers, &wire.Done{Parts: tokens, CompletionTokens: tokens, FinishReason: "length"})
	s := startFrontend(b, f, nil)
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequestWithContext(b.Context(), "POST", s.URL+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p","max_tokens":1000,"stream":true}`))
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+testKey)
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		n, _ := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatalf("status %d", response.StatusCode)
		}
		b.ReportMetric(float64(n)/tokens, "caller-B/token")
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}
