package agent

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/ledger"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// maxEventBytes limits the length of one line in the engine's event stream.
const maxEventBytes = 256 << 10

// errStreamTruncated is returned for an event stream that ends without [DONE]
// and without a finish reason.
var errStreamTruncated = errors.New("the engine's event stream ended early")

// completionRequest is the body of a model engine's POST /v1/completions.
type completionRequest struct {
	Model     string          `json:"model"`
	Adapter   string          `json:"adapter,omitempty"`
	Prompt    string          `json:"prompt"`
	Generated string          `json:"generated,omitempty"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Priority  fleet.Rank      `json:"priority"`
	RequestID fleet.RequestID `json:"request_id"`
}

// completionEvent is one event of the engine's response.
type completionEvent struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	// Error is set in an event that reports a failure. Engines send [DONE] after it.
	Error json.RawMessage `json:"error"`
}

// maxErrorBytes limits the part of an engine's error that is passed on.
const maxErrorBytes = 200

// callEngine runs a completion on the engine and buffers its output.
func (a *agent) callEngine(r *run) (ledger.Answer, error) {
	request, err := a.engineRequest(r)
	if err != nil {
		return errorAnswer(verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "%v", err)), nil
	}
	response, err := newClient(a.beginCheck(r)).Do(request)
	if err != nil {
		return ledger.Answer{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errorAnswer(verdict.Uncertain(verdict.ReasonServerFailed, "the engine answered with status %d", response.StatusCode)), nil
	}
	done, err := a.readCompletion(response.Body, r)
	if err != nil {
		return ledger.Answer{}, err
	}
	done.Parts = r.buffer.next()
	return ledger.Answer{Done: done}, nil
}

func (a *agent) engineRequest(r *run) (*http.Request, error) {
	c := r.submit.Completion
	body, err := json.Marshal(completionRequest{
		Model: c.Model, Adapter: c.Adapter, Prompt: c.Prompt, Generated: c.Generated,
		MaxTokens: c.MaxTokens, Stream: true, Priority: r.submit.Rank, RequestID: r.key.request,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(r.ctx, http.MethodPost, a.config.BackendServer.URL+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// readCompletion reads events until [DONE]. It returns errStreamTruncated if
// the stream ends without [DONE] and without a finish reason, and an error if
// the engine reports one.
func (a *agent) readCompletion(body io.Reader, r *run) (wire.Done, error) {
	var done wire.Done
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	eventType := ""
	for lines.Scan() {
		line := lines.Text()
		if line == "" {
			eventType = ""
			continue
		}
		if name, ok := strings.CutPrefix(line, "event:"); ok {
			eventType = strings.TrimSpace(name)
			continue
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return done, nil
		}
		if eventType == "error" {
			return done, engineError(data)
		}
		if err := a.readEvent(data, r, &done); err != nil {
			return done, err
		}
	}
	if err := lines.Err(); err != nil {
		return done, err
	}
	if done.FinishReason != "" {
		return done, nil
	}
	return done, errStreamTruncated
}

// engineError returns the error for a failure that the engine reports in its
// event stream.
func engineError(text string) *verdict.Error {
	return verdict.Uncertain(verdict.ReasonServerFailed, "the engine failed: %s", text[:min(len(text), maxErrorBytes)])
}

func (a *agent) readEvent(data string, r *run, done *wire.Done) error {
	var e completionEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return verdict.Uncertain(verdict.ReasonServerFailed, "the engine sent a malformed event: %v", err)
	}
	if len(e.Error) > 0 && string(e.Error) != "null" {
		return engineError(string(e.Error))
	}
	if e.Usage != nil {
		done.PromptTokens, done.CompletionTokens = e.Usage.PromptTokens, e.Usage.CompletionTokens
	}
	for _, c := range e.Choices {
		if c.FinishReason != nil {
			done.FinishReason = *c.FinishReason
		}
		if c.Text == "" {
			continue
		}
		a.outcomes.recordProgress()
		if err := r.buffer.append(r.submit.Attempt, c.Text, 1); err != nil {
			return verdict.Uncertain(verdict.ReasonCanceled, "the receiver was too slow and the stream's buffer is full")
		}
	}
	return nil
}
