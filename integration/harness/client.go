package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	// defaultAttempts is the maximum number of attempts of a call that sets no
	// maximum.
	defaultAttempts = 6
	// defaultDeadline is the time limit of a call whose context has no deadline.
	defaultDeadline = 15 * time.Second
	// retryWait is the delay before a retry without a Retry-After, and
	// maxRetryWait is the upper limit of the delay that a Retry-After sets.
	retryWait    = 50 * time.Millisecond
	maxRetryWait = time.Second
	// connectTimeout bounds the time to connect to an entry VM.
	connectTimeout = time.Second
	maxAnswerBytes = 8 << 20
)

// Attempt is one request on the wire and its response.
type Attempt struct {
	Address     string
	Status      int
	Verdict     verdict.Verdict
	Reason      verdict.Reason
	TicketSpent bool
	RetryAfter  time.Duration
	// Sent is false if no connection was established, in which case no entry
	// VM received the request.
	Sent bool
	// Err is the error of the connection or of reading the response.
	Err error
}

// Outcome is what a caller knows about one call after all of its attempts.
type Outcome struct {
	// Status, Reason and Address are those of the last attempt; the status is
	// 0 if the connection broke.
	Status  int
	Reason  verdict.Reason
	Address string
	// Verdict is what the caller may conclude from all attempts together:
	// not_run only if no attempt can have run.
	Verdict   verdict.Verdict
	RequestID string
	// Text is the text of a completion or the body of a service's answer.
	Text string
	// Complete reports whether the whole answer arrived.
	Complete bool
	// StreamToken and NextPart are what a resume of an incomplete stream needs.
	StreamToken string
	NextPart    int
	// RepeatedParts and MissingParts count part numbers that were received
	// again or skipped within one stream.
	RepeatedParts int
	MissingParts  int
	// FirstToken is the time from the start of the call to the first part, and
	// PartTimes holds these times for all parts.
	FirstToken time.Duration
	PartTimes  []time.Duration
	Duration   time.Duration
	Attempts   []Attempt
	Err        error
}

// String summarizes the outcome in one line.
func (o Outcome) String() string {
	return fmt.Sprintf("status=%d verdict=%s reason=%s attempts=%d complete=%v error=%v", o.Status, o.Verdict, o.Reason, len(o.Attempts), o.Complete, o.Err)
}

// Address is an entry VM as listed in a response of /v1/addresses.
type Address struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Client is a caller of the fleet. It is safe for concurrent use.
type Client struct {
	key  string
	zone string
	http *http.Client

	mu        sync.Mutex
	addresses []string
	next      int
}

// NewClient returns a client that uses the given entry VMs in turn. The zone may
// be empty.
func NewClient(addresses []string, key, zone string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
	}
	return &Client{key: key, zone: zone, addresses: addresses, http: &http.Client{Transport: transport}}
}

// nextAddress returns the address of the next entry VM in turn.
func (c *Client) nextAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.addresses[c.next%len(c.addresses)]
	c.next++
	return a
}

// Addresses queries an entry VM for addresses and returns them with their
// lifetime. Unlike Refresh, it does not change the addresses that the client uses.
func (c *Client) Addresses(ctx context.Context) ([]Address, time.Duration, error) {
	var answer struct {
		Addresses       []Address `json:"addresses"`
		LifetimeSeconds float64   `json:"lifetime_seconds"`
	}
	target := "http://" + c.nextAddress() + "/v1/addresses?zone=" + url.QueryEscape(c.zone)
	err := sendWithKey(ctx, http.MethodGet, target, c.key, nil, &answer)
	return answer.Addresses, time.Duration(answer.LifetimeSeconds * float64(time.Second)), err
}

// Refresh queries the known entry VMs in turn for addresses until one responds
// with at least one, and uses these from then on.
func (c *Client) Refresh(ctx context.Context) error {
	c.mu.Lock()
	tries := len(c.addresses)
	c.mu.Unlock()
	var last error
	for range tries {
		answer, _, err := c.Addresses(ctx)
		if err != nil || len(answer) == 0 {
			last = fmt.Errorf("address query: %d addresses: %w", len(answer), err)
			continue
		}
		c.setAddresses(answer)
		return nil
	}
	return last
}

// problem is the problem document of a refusal.
type problem struct {
	Verdict     verdict.Verdict `json:"verdict"`
	Reason      verdict.Reason  `json:"reason"`
	RequestID   string          `json:"request_id"`
	TicketSpent bool            `json:"ticket_spent"`
	Detail      string          `json:"detail"`
}

// request is one HTTP request of an attempt.
type request struct {
	method, path string
	header       http.Header
	body         []byte
}

// open sends a request to the next entry VM. The response is nil if the request
// failed; the attempt then holds the error.
func (c *Client) open(ctx context.Context, r request) (*http.Response, Attempt) {
	attempt := Attempt{Address: c.nextAddress()}
	h, err := http.NewRequestWithContext(ctx, r.method, "http://"+attempt.Address+r.path, bytes.NewReader(r.body))
	if err != nil {
		attempt.Err = err
		return nil, attempt
	}
	h.Header = r.header.Clone()
	h.Header.Set("Authorization", "Bearer "+c.key)
	if deadline, ok := ctx.Deadline(); ok {
		h.Header.Set("Request-Timeout-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	// Without GetBody, net/http does not repeat a request by itself when a
	// kept-alive connection breaks; the client must know its number of attempts.
	h.GetBody = nil
	response, err := c.http.Do(h)
	attempt.Sent = !connectFailed(err)
	if err != nil {
		attempt.Err = err
		attempt.Verdict = verdictWithoutAnswer(attempt.Sent)
		return nil, attempt
	}
	attempt.Status = response.StatusCode
	attempt.Verdict = verdict.Verdict(response.Header.Get("Verdict"))
	return response, attempt
}

// verdictWithoutAnswer returns the verdict of an attempt without a response.
func verdictWithoutAnswer(sent bool) verdict.Verdict {
	if sent {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// connectFailed reports whether an error occurred while connecting.
func connectFailed(err error) bool {
	for err != nil {
		if op, ok := err.(*net.OpError); ok {
			return op.Op == "dial"
		}
		wrapped, ok := err.(interface{ Unwrap() error })
		if !ok {
			return false
		}
		err = wrapped.Unwrap()
	}
	return false
}

// readRefusal sets the fields of an attempt and the request identifier of the
// outcome from a problem document.
func (a *Attempt) readRefusal(header http.Header, body []byte, o *Outcome) {
	var p problem
	if json.Unmarshal(body, &p) == nil {
		a.Reason, a.TicketSpent = p.Reason, p.TicketSpent
		if p.Verdict != "" {
			a.Verdict = p.Verdict
		}
		if p.RequestID != "" {
			o.RequestID = p.RequestID
		}
	}
	if a.Verdict == "" {
		a.Verdict = verdict.MayHaveRun
	}
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
		a.RetryAfter = time.Duration(seconds) * time.Second
	}
}

// add appends an attempt and copies its result to the outcome.
func (o *Outcome) add(a Attempt) {
	o.Attempts = append(o.Attempts, a)
	o.Status, o.Verdict, o.Reason, o.Address, o.Err = a.Status, a.Verdict, a.Reason, a.Address, a.Err
}

// wait waits before the next attempt and returns false if ctx is done first.
func wait(ctx context.Context, a Attempt) bool {
	d := retryWait
	if a.RetryAfter > 0 {
		d = min(a.RetryAfter, maxRetryWait)
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// withDefaultDeadline gives ctx the default deadline if it has none.
func withDefaultDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultDeadline)
}

// Ticket requests a ticket from an entry VM in one attempt. The idempotency key
// may be empty; the ticket is empty if none was issued.
func (c *Client) Ticket(ctx context.Context, service, idempotencyKey string) (string, Outcome) {
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	var o Outcome
	began := time.Now()
	body, _ := json.Marshal(map[string]string{"service": service})
	header := http.Header{"Content-Type": {"application/json"}}
	if idempotencyKey != "" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	c.sendOnce(ctx, request{method: http.MethodPost, path: "/v1/tickets", header: header, body: body}, &o)
	o.Duration = time.Since(began)
	var answer struct {
		Ticket string `json:"ticket"`
	}
	_ = json.Unmarshal([]byte(o.Text), &answer)
	return answer.Ticket, o
}

// sendOnce makes one attempt and reads the whole response.
func (c *Client) sendOnce(ctx context.Context, r request, o *Outcome) {
	response, attempt := c.open(ctx, r)
	if response == nil {
		o.add(attempt)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get("Request-Id"); id != "" {
		o.RequestID = id
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	switch {
	case err != nil:
		attempt.Err, attempt.Verdict = err, verdict.MayHaveRun
	case strings.HasPrefix(response.Header.Get("Content-Type"), problemContentType):
		attempt.readRefusal(response.Header, body, o)
	default:
		// The response of the service itself, whatever its status.
		o.Text, o.Complete = string(body), true
		attempt.Verdict = verdict.Completed
	}
	o.add(attempt)
}

const problemContentType = "application/problem+json"

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Service string
	Method  string
	// Path is below the service's name and begins with a slash.
	Path           string
	Body           []byte
	ContentType    string
	IdempotencyKey string
	// Ticketed requests a ticket first and keeps it across the attempts; a
	// non-idempotent call that may be repeated needs it.
	Ticketed bool
	// MaxAttempts is the maximum number of attempts; zero means 6.
	MaxAttempts int
}

// CallService calls a plain service and retries as long as that is safe: with
// the same ticket while the outcome is unknown, and with a new ticket only after
// the previous one is known to be spent without a run. A call without a ticket
// is retried only after not_run, or after any failure if the method is GET or
// HEAD.
func (c *Client) CallService(ctx context.Context, call ServiceCall) Outcome {
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	began := time.Now()
	var o Outcome
	c.callService(ctx, call, &o)
	o.Duration = time.Since(began)
	return o
}

func (c *Client) callService(ctx context.Context, call ServiceCall, o *Outcome) {
	limit := call.MaxAttempts
	if limit == 0 {
		limit = defaultAttempts
	}
	ticket, ticketAttempt := "", 0
	unknown := false // an earlier attempt may have run
	for range limit {
		if call.Ticketed && ticket == "" {
			got, t := c.Ticket(ctx, call.Service, call.IdempotencyKey)
			if got == "" {
				last := t.Attempts[len(t.Attempts)-1]
				last.Verdict = verdict.NotRun // a ticket query runs nothing
				o.add(last)
				if !wait(ctx, last) {
					return
				}
				continue
			}
			ticket, ticketAttempt = got, 0
		}
		ticketAttempt++
		c.sendOnce(ctx, call.request(ticket, ticketAttempt), o)
		last := o.Attempts[len(o.Attempts)-1]
		if o.Complete || last.Verdict == verdict.Completed {
			return
		}
		spentUnused := last.Verdict == verdict.NotRun && last.TicketSpent
		if spentUnused {
			ticket, unknown = "", false
		} else if last.Verdict != verdict.NotRun {
			unknown = true
		}
		if unknown {
			// A not_run of a later attempt says nothing about an earlier one.
			o.Verdict = verdict.MayHaveRun
		}
		if !call.retriable(last, ticket != "" || spentUnused) || !wait(ctx, last) {
			return
		}
	}
}

// retriable reports whether another attempt is safe and useful.
func (s ServiceCall) retriable(last Attempt, ticketed bool) bool {
	if last.Status >= 400 && last.Status < 500 && last.Status != http.StatusTooManyRequests && !last.TicketSpent {
		return false
	}
	return ticketed || last.Verdict == verdict.NotRun || s.Method == http.MethodGet || s.Method == http.MethodHead
}

func (s ServiceCall) request(ticket string, attempt int) request {
	header := http.Header{}
	if s.ContentType != "" {
		header.Set("Content-Type", s.ContentType)
	}
	if s.IdempotencyKey != "" {
		header.Set("Idempotency-Key", s.IdempotencyKey)
	}
	if ticket != "" {
		header.Set("Ticket", ticket)
		header.Set("Ticket-Attempt", strconv.Itoa(attempt))
	}
	return request{method: s.Method, path: "/v1/services/" + s.Service + s.Path, header: header, body: s.Body}
}

// Send makes one attempt with exactly the given headers and the bearer key. If
// ctx is canceled, the connection is closed. Only a deadline of ctx is sent to
// the entry VM.
func (c *Client) Send(ctx context.Context, method, path string, header http.Header, body []byte) Outcome {
	var o Outcome
	began := time.Now()
	c.sendOnce(ctx, request{method: method, path: path, header: header, body: body}, &o)
	o.Duration = time.Since(began)
	return o
}
