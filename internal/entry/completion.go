package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/coltsfootbay/coltsfootbay/internal/entry/command"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// completionBody writes the answer of a completion as one JSON object or as
// server-sent events.
type completionBody struct {
	api     *callersAPI
	request *request
	buffer  *command.Buffer
	model   string
	parts   []command.Part
	end     *command.StreamEnd
	// text is the whole answer, and complete is true once it has been collected.
	// Both are set for JSON answers only.
	text     string
	complete bool
	// head is the common beginning of all part events; frame holds the event
	// that is being written.
	head, frame []byte
}

type choice struct {
	Text         string  `json:"text"`
	Index        int     `json:"index"`
	FinishReason *string `json:"finish_reason"`
}

type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// event has the format that existing callers of models expect, extended by the
// stream token.
type event struct {
	ID          string      `json:"id"`
	Object      string      `json:"object"`
	Model       string      `json:"model"`
	Choices     []choice    `json:"choices"`
	Usage       *tokenUsage `json:"usage,omitempty"`
	StreamToken string      `json:"stream_token,omitempty"`
}

func (b *completionBody) event(text string) event {
	return event{ID: string(b.request.id), Object: "text_completion", Model: b.model, Choices: []choice{{Text: text}}}
}

func (b *completionBody) lastEvent(text string) event {
	e := b.event(text)
	reason := b.end.FinishReason
	e.Choices[0].FinishReason = &reason
	e.Usage = &tokenUsage{b.end.PromptTokens, b.end.CompletionTokens, b.end.PromptTokens + b.end.CompletionTokens}
	return e
}

// collect waits for the whole answer.
func (b *completionBody) collect() error {
	var text strings.Builder
	for b.end == nil {
		b.parts, b.end = b.buffer.Next()
		for _, p := range b.parts {
			text.WriteString(p.Text)
		}
	}
	if b.end.Refusal != nil {
		return b.end.Refusal
	}
	b.text, b.complete = text.String(), true
	return nil
}

// Read is not used: goa calls WriteTo, which can flush after each event.
func (b *completionBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close closes the buffer, which ends a run that waits for the caller.
func (b *completionBody) Close() error {
	b.buffer.Close()
	return nil
}

// WriteTo writes the answer to w. It always returns 0 bytes.
func (b *completionBody) WriteTo(w io.Writer) (int64, error) {
	if b.complete {
		return 0, json.NewEncoder(w).Encode(b.lastEvent(b.text))
	}
	e := b.writeEvents(w)
	b.api.frontend.recordEnd(b.request, e)
	return 0, nil
}

func (b *completionBody) writeEvents(w io.Writer) *verdict.Error {
	for b.end == nil {
		for _, p := range b.parts {
			if err := b.writePart(w, p); err != nil {
				b.buffer.Close()
				return verdict.Uncertain(verdict.ReasonCanceled, "the caller closed its connection: %v", err)
			}
		}
		flush(w)
		b.parts, b.end = b.buffer.Next()
	}
	return b.writeEnd(w)
}

// writePart writes an event exactly as json.Marshal encodes it, but without
// reflection, because it runs once per token.
func (b *completionBody) writePart(w io.Writer, p command.Part) error {
	if b.head == nil {
		b.head = eventHead(string(b.request.id), b.model)
	}
	f := append(b.frame[:0], "id: "...)
	f = strconv.AppendUint(f, p.Number, 10)
	f = append(f, "\ndata: "...)
	f = append(f, b.head...)
	f = appendJSON(f, p.Text)
	f = append(f, `,"index":0,"finish_reason":null}]`...)
	if p.Token != "" {
		f = append(f, `,"stream_token":`...)
		f = appendJSON(f, p.Token)
	}
	b.frame = append(f, "}\n\n"...)
	_, err := w.Write(b.frame)
	return err
}

// eventHead returns the JSON of an event up to the value of its text field.
func eventHead(id, model string) []byte {
	h := appendJSON([]byte(`{"id":`), id)
	h = append(h, `,"object":"text_completion","model":`...)
	h = appendJSON(h, model)
	return append(h, `,"choices":[{"text":`...)
}

// appendJSON appends text as a JSON string. Text that needs no escaping is copied.
func appendJSON(to []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			data, _ := json.Marshal(text) // a string always encodes
			return append(to, data...)
		}
	}
	to = append(to, '"')
	to = append(to, text...)
	return append(to, '"')
}

// writeEnd ends the stream. A caller that does not receive "[DONE]" knows that the
// answer is incomplete and can resume it.
func (b *completionBody) writeEnd(w io.Writer) *verdict.Error {
	if e := b.end.Refusal; e != nil {
		data, _ := json.Marshal(newProblem(b.request.id, e))
		_, _ = fmt.Fprintf(w, "event: error\ndata: {\"error\":%s}\n\n", data)
		return e
	}
	data, _ := json.Marshal(b.lastEvent(""))
	_, err := fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", data)
	if err != nil {
		return verdict.Uncertain(verdict.ReasonCanceled, "the caller closed its connection: %v", err)
	}
	return nil
}

func flush(w io.Writer) {
	if rw, ok := w.(http.ResponseWriter); ok {
		_ = http.NewResponseController(rw).Flush()
	}
}
