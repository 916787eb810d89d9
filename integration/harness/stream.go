package harness

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// Completion is a completion call.
type Completion struct {
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	// Whole requests one JSON response instead of a stream.
	Whole bool
	// Rank is a lower rank than that of the account; empty keeps the account's.
	Rank string
	// MaxAttempts is the maximum number of attempts, including resumes; zero
	// means 6.
	MaxAttempts int
	// StopAfter is the number of parts after which the client closes the
	// connection and returns an outcome that Resume can continue; zero reads to
	// the end.
	StopAfter int
	// OmitGenerated omits the text received so far from a resume until a resume
	// without it has been refused.
	OmitGenerated bool
	// OnPart is called for each new part; it may be nil.
	OnPart func(number int, text string)
}

type completionBody struct {
	Model     string      `json:"model"`
	Adapter   string      `json:"adapter,omitempty"`
	Prompt    string      `json:"prompt"`
	MaxTokens int         `json:"max_tokens"`
	Stream    bool        `json:"stream"`
	Resume    *resumeBody `json:"resume,omitempty"`
}

type resumeBody struct {
	StreamToken string `json:"stream_token"`
	NextPart    int    `json:"next_part"`
	Generated   string `json:"generated,omitempty"`
}

// Complete sends a completion, reads the response and resumes a cut stream
// through another entry VM. Other failed attempts are retried too, except those
// that were refused permanently.
func (c *Client) Complete(ctx context.Context, call Completion) Outcome {
	return c.complete(ctx, call, Outcome{})
}

// Resume continues the stream of an earlier outcome through the next entry VM.
func (c *Client) Resume(ctx context.Context, call Completion, earlier Outcome) Outcome {
	return c.complete(ctx, call, earlier)
}

func (c *Client) complete(ctx context.Context, call Completion, o Outcome) Outcome {
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	limit := call.MaxAttempts
	if limit == 0 {
		limit = defaultAttempts
	}
	began := time.Now()
	for attempt := range limit {
		stopped := c.completeOnce(ctx, call, &o, began)
		last := o.Attempts[len(o.Attempts)-1]
		if call.OmitGenerated && o.StreamToken != "" && !o.Complete && last.Reason != "" {
			// The entry VM does not have the text, so the next resume sends it.
			call.OmitGenerated = false
			continue
		}
		if o.Complete || stopped || refusedPermanently(last) || attempt == limit-1 || !wait(ctx, last) {
			break
		}
	}
	if !o.Complete {
		o.Verdict = worstVerdict(o.Attempts)
	}
	o.Duration = time.Since(began)
	return o
}

// refusedPermanently reports whether a refusal makes another attempt pointless:
// any status 4xx except 429.
func refusedPermanently(a Attempt) bool {
	return a.Status >= 400 && a.Status < 500 && a.Status != http.StatusTooManyRequests
}

// worstVerdict returns not_run only if every attempt was not_run.
func worstVerdict(attempts []Attempt) verdict.Verdict {
	for _, a := range attempts {
		if a.Verdict != verdict.NotRun {
			return verdict.MayHaveRun
		}
	}
	return verdict.NotRun
}

// completeOnce makes one attempt and reports whether it ended because of
// StopAfter.
func (c *Client) completeOnce(ctx context.Context, call Completion, o *Outcome, began time.Time) (stopped bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, attempt := c.open(ctx, call.request(*o))
	if response == nil {
		o.add(attempt)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get("Request-Id"); id != "" {
		o.RequestID = id
	}
	contentType, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	if contentType == "text/event-stream" {
		stopped = call.readStream(response.Body, o, &attempt, began)
		o.add(attempt)
		return stopped
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	switch {
	case err != nil:
		attempt.Err, attempt.Verdict = err, verdict.MayHaveRun
	case response.StatusCode != http.StatusOK:
		attempt.readRefusal(response.Header, body, o)
	default:
		o.readWhole(body, &attempt, began)
	}
	o.add(attempt)
	return false
}

func (call Completion) request(o Outcome) request {
	body := completionBody{Model: call.Model, Adapter: call.Adapter, Prompt: call.Prompt, MaxTokens: call.MaxTokens, Stream: !call.Whole}
	if o.StreamToken != "" {
		body.Resume = &resumeBody{StreamToken: o.StreamToken, NextPart: o.NextPart, Generated: o.Text}
		if call.OmitGenerated {
			body.Resume.Generated = ""
		}
	}
	data, _ := json.Marshal(body)
	header := http.Header{"Content-Type": {"application/json"}}
	if !call.Whole {
		header.Set("Accept", "text/event-stream")
	}
	if call.Rank != "" {
		header.Set("Request-Rank", call.Rank)
	}
	return request{method: http.MethodPost, path: "/v1/completions", header: header, body: data}
}

// answer is a complete JSON response or the data of one event of a stream.
type answer struct {
	StreamToken string `json:"stream_token"`
	Choices     []struct {
		Text string `json:"text"`
	} `json:"choices"`
	// Error is set in the last event of a stream that could not be completed.
	Error *problem `json:"error"`
}

func (a answer) text() string {
	if len(a.Choices) == 0 {
		return ""
	}
	return a.Choices[0].Text
}

func (o *Outcome) readWhole(body []byte, attempt *Attempt, began time.Time) {
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		attempt.Err, attempt.Verdict = err, verdict.MayHaveRun
		return
	}
	o.Text, o.Complete = a.text(), true
	o.FirstToken = time.Since(began)
	attempt.Verdict = verdict.Completed
}

// errStreamCut is the error of a stream that ended without [DONE].
var errStreamCut = errors.New("the stream ended before [DONE]")

// readStream reads events until the stream ends or StopAfter is reached, and
// returns true in the second case.
func (call Completion) readStream(body io.Reader, o *Outcome, attempt *Attempt, began time.Time) (stopped bool) {
	attempt.Verdict = verdict.MayHaveRun
	attempt.Err = errStreamCut
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxAnswerBytes)
	number, parts := -1, 0
	for scanner.Scan() {
		field, value, _ := strings.Cut(scanner.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			if n, err := strconv.Atoi(value); err == nil {
				number = n
			}
		case "data":
			if value == "[DONE]" {
				o.Complete, attempt.Verdict, attempt.Err = true, verdict.Completed, nil
				return false
			}
			var a answer
			if err := json.Unmarshal([]byte(value), &a); err != nil {
				attempt.Err = err
				return false
			}
			if a.Error != nil {
				attempt.Reason, attempt.Verdict, attempt.Err = a.Error.Reason, a.Error.Verdict, nil
				return false
			}
			call.addPart(number, a, o, began)
			number = -1
			if parts++; call.StopAfter > 0 && parts >= call.StopAfter {
				attempt.Err = nil
				return true
			}
		}
	}
	if err := scanner.Err(); err != nil {
		attempt.Err = err
	}
	return false
}

// addPart adds one event to the outcome. An event without a number is not a
// part.
func (call Completion) addPart(number int, a answer, o *Outcome, began time.Time) {
	if a.StreamToken != "" {
		o.StreamToken = a.StreamToken
	}
	switch {
	case number < 0:
		return
	case number < o.NextPart:
		o.RepeatedParts++
		return
	case number > o.NextPart:
		o.MissingParts += number - o.NextPart
	}
	elapsed := time.Since(began)
	if o.FirstToken == 0 {
		o.FirstToken = elapsed
	}
	o.PartTimes = append(o.PartTimes, elapsed)
	o.NextPart = number + 1
	o.Text += a.text()
	if call.OnPart != nil {
		call.OnPart(number, a.text())
	}
}
