package harness

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/standin"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	// renewalFraction is the fraction of an address answer's lifetime after
	// which a caller of a Load queries again.
	renewalFraction = 0.9
	// callPause is the time between the calls of one caller.
	callPause = 20 * time.Millisecond
	// lateUseMargin is how long before the end of an address answer's lifetime
	// a holder sends its request.
	lateUseMargin = 20 * time.Millisecond
	// maxFaultTexts is the maximum number of fault descriptions that are kept.
	maxFaultTexts = 20
	// loadCallTimeout bounds one call.
	loadCallTimeout = 10 * time.Second
)

// LoadOptions describes the callers of a Load.
type LoadOptions struct {
	Account string
	// Model is the model that is sent streaming and non-streaming completions
	// of Tokens tokens; empty sends none.
	Model  string
	Tokens int
	// Service is the plain service that is sent GET calls to /records and POST
	// calls to /filings; empty sends none.
	Service string
	// Callers is the number of callers for each kind of call.
	Callers int
	// Pinned distributes the callers over the entry VMs and keeps each at one
	// of them. A frozen entry VM then does not reduce the load on the others.
	Pinned bool
	// Holders is the number of callers that use each address of an address
	// answer once at the end of its lifetime, half of them on a connection that
	// they have kept open.
	Holders int
	// TicketHolders is the number of callers that keep a ticket for Service for
	// the duration TicketHold before they use it.
	TicketHolders int
	TicketHold    time.Duration
}

// LoadCounts holds the results of the callers of a Load.
type LoadCounts struct {
	Calls int64
	// Refused counts calls whose first attempt was refused with not_run and
	// Retry-After and whose next attempt was served.
	Refused int64
	// HeldUses counts requests at the end of an address answer's lifetime.
	HeldUses int64
	// Faults counts failures that a caller must not see: cut requests, broken
	// connections and failed calls.
	Faults int64
	// FaultTexts describes the first maxFaultTexts faults.
	FaultTexts []string
	// Filings holds the identifiers of the POST calls that were served.
	Filings []string
}

// Load is a set of callers that send calls until Stop.
type Load struct {
	fleet   *Fleet
	options LoadOptions
	cancel  context.CancelFunc
	group   sync.WaitGroup
	number  atomic.Int64

	mu     sync.Mutex
	counts LoadCounts
}

// StartLoad starts callers. Each queries addresses for itself and uses the answer
// for its lifetime.
func (f *Fleet) StartLoad(o LoadOptions) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{fleet: f, options: o, cancel: cancel}
	var kinds []func(context.Context, *Client) Outcome
	if o.Model != "" {
		kinds = append(kinds, l.stream, l.whole)
	}
	if o.Service != "" {
		kinds = append(kinds, l.get, l.post(false), l.post(true))
	}
	for _, kind := range kinds {
		for i := range o.Callers {
			l.group.Go(func() { l.caller(ctx, i, kind) })
		}
	}
	for i := range o.Holders {
		l.group.Go(func() { l.holder(ctx, i%2 == 0) })
	}
	for range o.TicketHolders {
		l.group.Go(func() { l.ticketHolder(ctx) })
	}
	return l
}

// Stop ends the load, waits for the open calls and returns the results.
func (l *Load) Stop() LoadCounts {
	l.cancel()
	l.group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// fault counts a fault and keeps its description.
func (l *Load) fault(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Faults++
	if len(l.counts.FaultTexts) < maxFaultTexts {
		l.counts.FaultTexts = append(l.counts.FaultTexts, time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
	}
}

// caller sends one call after another. It uses each address answer only for its
// lifetime.
func (l *Load) caller(ctx context.Context, number int, call func(context.Context, *Client) Outcome) {
	c := &loadCaller{load: l, client: l.fleet.Client(l.options.Account)}
	if l.options.Pinned {
		e := l.fleet.Entries[number%len(l.fleet.Entries)]
		c.client.setAddresses([]Address{{Address: e.Settings.CallerAddress}})
		c.renewAt = time.Now().Add(time.Hour)
	}
	defer c.client.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.callOnce(call)
		time.Sleep(callPause)
	}
}

// loadCaller is a caller with its current address answer.
type loadCaller struct {
	load   *Load
	client *Client
	// renewAt is when the caller queries addresses again, and expires is the end
	// of the current answer's lifetime.
	renewAt, expires time.Time
}

// renew queries addresses if the current address answer is about to expire. An
// entry VM of an expired answer may be gone; no response from one of a valid
// answer is a fault.
func (c *loadCaller) renew() {
	for !time.Now().Before(c.renewAt) {
		valid := time.Now().Before(c.expires)
		ctx, cancel := context.WithTimeout(context.Background(), loadCallTimeout)
		answer, lifetime, err := c.client.Addresses(ctx)
		cancel()
		if err == nil && len(answer) > 0 {
			c.client.setAddresses(answer)
			c.renewAt = time.Now().Add(time.Duration(float64(lifetime) * renewalFraction))
			c.expires = time.Now().Add(lifetime)
			return
		}
		if valid {
			c.load.fault("address query: %d addresses, error %v", len(answer), err)
		}
		time.Sleep(callPause)
	}
}

// callOnce makes a call and, after a refusal that allows it, a second attempt.
func (c *loadCaller) callOnce(call func(context.Context, *Client) Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), loadCallTimeout)
	defer cancel()
	c.renew()
	first := call(ctx, c.client)
	c.checkOutcome(ctx, first, call)
}

// checkOutcome checks the outcome of a first attempt and makes a second one after
// a refusal that allows it.
func (c *loadCaller) checkOutcome(ctx context.Context, first Outcome, call func(context.Context, *Client) Outcome) {
	l := c.load
	l.mu.Lock()
	l.counts.Calls++
	l.mu.Unlock()
	if first.Complete {
		l.checkParts(first)
		return
	}
	last := first.Attempts[len(first.Attempts)-1]
	if first.Verdict != verdict.NotRun || last.Status == 0 || last.RetryAfter == 0 {
		l.fault("call through %s: %s request=%s", first.Address, first, first.RequestID)
		return
	}
	wait(ctx, last)
	c.renew()
	second := call(ctx, c.client)
	if !second.Complete {
		l.fault("second attempt after %s (%s, request %s): through %s: %s request=%s", first.Reason, first.Address, first.RequestID, second.Address, second, second.RequestID)
		return
	}
	l.checkParts(second)
	l.mu.Lock()
	l.counts.Refused++
	l.mu.Unlock()
}

func (l *Load) checkParts(o Outcome) {
	if o.RepeatedParts > 0 || o.MissingParts > 0 {
		l.fault("stream %s: %d repeated, %d missing parts", o.RequestID, o.RepeatedParts, o.MissingParts)
	}
}

func (l *Load) completion() Completion {
	return Completion{Model: l.options.Model, Prompt: fmt.Sprintf("prompt %d", l.number.Add(1)), MaxTokens: l.options.Tokens, MaxAttempts: 1}
}

func (l *Load) stream(ctx context.Context, c *Client) Outcome { return c.Complete(ctx, l.completion()) }

func (l *Load) whole(ctx context.Context, c *Client) Outcome {
	call := l.completion()
	call.Whole = true
	return c.Complete(ctx, call)
}

func (l *Load) get(ctx context.Context, c *Client) Outcome {
	return c.CallService(ctx, ServiceCall{Service: l.options.Service, Method: http.MethodGet, Path: "/records", MaxAttempts: 1})
}

// post returns a function that sends a filing in one attempt. Each attempt of a
// ticketed call requests its own ticket; the ticket of a refused attempt is never
// used again.
func (l *Load) post(ticketed bool) func(context.Context, *Client) Outcome {
	return func(ctx context.Context, c *Client) Outcome {
		id, call := l.filing()
		call.Ticketed = ticketed
		o := c.CallService(ctx, call)
		if o.Complete {
			l.mu.Lock()
			l.counts.Filings = append(l.counts.Filings, id)
			l.mu.Unlock()
		}
		return o
	}
}

// filing returns a POST call with a unique identifier.
func (l *Load) filing() (id string, call ServiceCall) {
	id = fmt.Sprintf("load-%d", l.number.Add(1))
	return id, ServiceCall{
		Service: l.options.Service, Method: http.MethodPost, Path: "/filings", ContentType: "application/json",
		Body: fmt.Appendf(nil, `{"id":%q}`, id), MaxAttempts: 1,
	}
}

// ticketHolder uses each ticket only after TicketHold. After a refusal it uses a
// new ticket without this delay.
func (l *Load) ticketHolder(ctx context.Context) {
	c := &loadCaller{load: l, client: l.fleet.Client(l.options.Account)}
	defer c.client.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.renew()
		c.callWithHeldTicket()
	}
}

// callWithHeldTicket requests a ticket, keeps it for TicketHold and uses it for
// one filing.
func (c *loadCaller) callWithHeldTicket() {
	ctx, cancel := context.WithTimeout(context.Background(), loadCallTimeout)
	defer cancel()
	l := c.load
	ticket, o := c.client.Ticket(ctx, l.options.Service, "")
	if ticket != "" {
		time.Sleep(l.options.TicketHold)
		c.renew()
		_, call := l.filing()
		o = Outcome{}
		c.client.sendOnce(ctx, call.request(ticket, 1), &o)
	}
	c.checkOutcome(ctx, o, l.post(true))
}

// holder queries addresses repeatedly and uses each of them at the end of the
// answer's lifetime.
func (l *Load) holder(ctx context.Context, keepConnection bool) {
	client := l.fleet.Client(l.options.Account)
	defer client.http.CloseIdleConnections()
	var uses sync.WaitGroup
	defer uses.Wait()
	var renewAt time.Time
	for ctx.Err() == nil {
		queriedAt := time.Now()
		answer, lifetime, err := client.Addresses(context.WithoutCancel(ctx))
		if err != nil {
			// The holder queries more often than it renews its own addresses,
			// so the query may go to an entry VM that no longer exists.
			time.Sleep(callPause)
			continue
		}
		if queriedAt.After(renewAt) {
			renewAt = queriedAt.Add(lifetime / 2)
			client.setAddresses(answer)
		}
		// The lifetime begins when the caller receives the answer.
		useAt := time.Now().Add(lifetime - lateUseMargin)
		for _, a := range answer {
			uses.Go(func() { l.useBeforeExpiry(a.Address, useAt, keepConnection) })
		}
		time.Sleep(callPause)
	}
}

// setAddresses replaces the addresses that the client uses.
func (c *Client) setAddresses(answer []Address) {
	var addresses []string
	for _, a := range answer {
		addresses = append(addresses, a.Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
}

// useBeforeExpiry sends a request shortly before an address answer expires, on a
// new connection or on one that was opened when the answer arrived.
func (l *Load) useBeforeExpiry(address string, useAt time.Time, keepConnection bool) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: loadCallTimeout}
	if keepConnection && !l.queryAddresses(client, address) {
		return
	}
	time.Sleep(time.Until(useAt))
	l.mu.Lock()
	l.counts.HeldUses++
	l.mu.Unlock()
	l.queryAddresses(client, address)
}

// queryAddresses queries addresses from the entry VM at address and reports
// whether it responded; an error is a fault.
func (l *Load) queryAddresses(client *http.Client, address string) bool {
	response, err := client.Get("http://" + address + "/v1/addresses")
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		l.fault("held address %s: %v", address, err)
		return false
	}
	return true
}

// EngineRuns returns the number of runs that the stand-in engine has begun since
// its last start.
func (a *Agent) EngineRuns(ctx context.Context) (int, error) {
	counts, err := a.EngineCounts(ctx)
	return sumRuns(counts), err
}

func sumRuns(counts standin.EngineCounts) int {
	sum := 0
	for _, n := range counts.Runs {
		sum += n
	}
	return sum
}
