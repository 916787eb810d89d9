package harness

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// FilingAnswer is the result of one attempt of a filing as the caller saw it.
type FilingAnswer struct {
	Outcome
	// Number is the attempt's Ticket-Attempt header.
	Number int
	// Superseded reports whether a later attempt of the ticket was sent before
	// this answer arrived.
	Superseded bool
	// Connected is false if no entry VM received the attempt.
	Connected bool
}

// Filing is one non-idempotent request to a plain service with one ticket. Its
// attempts may overlap.
type Filing struct {
	ID      string
	Service string
	Account string
	Ticket  string
	Began   time.Time
	Ended   time.Time

	mu      sync.Mutex
	sent    int
	answers []FilingAnswer
	open    sync.WaitGroup
}

// FilingPath is the path of filings below the service's name.
const FilingPath = "/filings"

// Entry returns a client that uses one entry VM only.
func (f *Fleet) Entry(i int, account string) *Client {
	c := f.Client(account)
	c.addresses = []string{f.Entries[i].Settings.CallerAddress}
	return c
}

// Attempt sends the filing through a client and returns a channel that receives
// the answer. limit is the timeout sent to the entry VM, in whole milliseconds.
// If ctx is canceled, the connection is closed.
func (f *Filing) Attempt(ctx context.Context, c *Client, limit time.Duration) <-chan FilingAnswer {
	f.mu.Lock()
	f.sent++
	number := f.sent
	f.mu.Unlock()
	body, _ := json.Marshal(map[string]string{"id": f.ID})
	header := http.Header{"Content-Type": {"application/json"}, "Ticket": {f.Ticket}}
	header.Set("Ticket-Attempt", strconv.Itoa(number))
	header.Set("Request-Timeout-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	answered := make(chan FilingAnswer, 1)
	f.open.Add(1)
	go func() {
		defer f.open.Done()
		o := c.Send(ctx, http.MethodPost, "/v1/services/"+f.Service+FilingPath, header, body)
		f.mu.Lock()
		defer f.mu.Unlock()
		a := FilingAnswer{Outcome: o, Number: number, Superseded: f.sent > number, Connected: o.Attempts[0].Sent}
		f.answers = append(f.answers, a)
		answered <- a
	}()
	return answered
}

// Answers waits for the open attempts and returns the answers of all attempts.
func (f *Filing) Answers() []FilingAnswer {
	f.open.Wait()
	return f.answers
}

// Spent reports whether the answer states, on behalf of the ticket's agent, that
// the ticket did not run and never will.
func (a FilingAnswer) Spent() bool { return a.Attempts[0].TicketSpent }

// ConcludedVerdict returns the verdict that the caller may conclude from all of
// its answers. A not_run that does not spend the ticket covers only the attempts
// up to its own, so it counts only for a first attempt that was not superseded.
func (f *Filing) ConcludedVerdict() verdict.Verdict {
	concluded := verdict.NotRun
	for _, a := range f.Answers() {
		switch {
		case a.Verdict == verdict.Completed:
			return verdict.Completed
		case a.Status != 0 && a.Verdict == verdict.NotRun && a.Spent():
			return verdict.NotRun
		case !a.Connected || a.Verdict == verdict.NotRun && a.Number == 1 && !a.Superseded:
		default:
			concluded = verdict.MayHaveRun
		}
	}
	return concluded
}

// SetLink sets the faults between an entry VM and an agent, regardless of which
// of them dialed. It requires UDPFaults.
func (f *Fleet) SetLink(e *Entry, a *Agent, toAgent, toEntry LinkFault) {
	_ = a.Relay.SetFaultsFor(e.Settings.PeerAddress, toAgent, toEntry)
	_ = e.Relay.SetFaultsFor(a.Settings.PeerAddress, toEntry, toAgent)
}

// Heal removes the link faults of the whole fleet.
func (f *Fleet) Heal() {
	for _, e := range f.Entries {
		e.Relay.Heal()
	}
	for _, a := range f.Agents {
		a.Relay.Heal()
	}
}
