package retry

import (
	"slices"
	"sync"
	"time"
)

const (
	// windowSlices is the number of slices into which the window of a ServiceBudgets is
	// divided; it is even.
	windowSlices = 50
	// RetrySlices is the number of slices for which retries count, the current one included:
	// one longer than the window, which covers the time that they take to reach a server.
	RetrySlices = windowSlices + 2
	// HistorySlices is the number of slices that are kept: requests of the window before one
	// that has retries may pay for them.
	HistorySlices = RetrySlices + windowSlices
)

// ServiceBudgets limits the retries at each service, in any time window, to a ratio of the
// requests for the service plus a fixed number. The requests are those in the window, in the
// one before it or in the one half a window before it, whichever has most. A retry is
// reserved when it is decided and counts from when it is sent. It is safe for concurrent use.
//
// Load pattern: backend servers refuse requests while processes restart. The retries of a
// window are paid by requests that arrived before it, so a process that starts with an empty
// count repeats what its predecessor has just spent. Until it knows what that was, it has
// none; see Hold.
type ServiceBudgets struct {
	ratio float64
	slice time.Duration
	// elapsed returns the monotonic time since some moment more than a window ago: the time
	// of day may jump.
	elapsed func() time.Duration

	mu sync.Mutex
	// fixed is this process's part of fleetFixed, the fixed number of retries of all.
	fixed, fleetFixed float64
	// others adds what other processes have counted, as far as is known.
	others func(service string, to *Counts)
	// heldUntil is the time until which no retry is allowed.
	heldUntil time.Duration
	services  map[string]*history
}

// history holds the counts of one service by slice, as a ring that is indexed by the slice
// number.
type history struct {
	// newest is the number of the current slice.
	newest            int64
	requests, retries [HistorySlices]uint32
	// reserved is the number of retries that are allowed and not sent yet.
	reserved int
}

// NewServiceBudgets returns budgets that allow ratio retries per request in each window. The
// fixed number of retries is 0 until SetFixed is called.
func NewServiceBudgets(ratio float64, window time.Duration) *ServiceBudgets {
	slice := max(window/windowSlices, time.Millisecond)
	began := time.Now().Add(-HistorySlices * slice)
	return &ServiceBudgets{
		ratio: ratio, slice: slice, elapsed: func() time.Duration { return time.Since(began) }, services: map[string]*history{},
		others: func(string, *Counts) {},
	}
}

// SetFixed sets the fixed number of retries per service and window of all processes, and
// this process's part of it.
func (b *ServiceBudgets) SetFixed(fleet, part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fixed, b.fleetFixed = part, fleet
}

// SetOthers sets a function that adds what the other processes have counted, see Add. It can
// only reduce the retries of this process. Load pattern: callers move from gateways that
// stop to others. Both would send the retries that the same callers' requests pay for.
func (b *ServiceBudgets) SetOthers(others func(service string, to *Counts)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others = others
}

// Hold allows no retries until those of any predecessor have left the window, or HoldFor is
// called.
func (b *ServiceBudgets) Hold() { b.HoldFor(RetrySlices * b.slice) }

// HeldFor returns for how long no retries are allowed because of Hold; 0 if they are.
func (b *ServiceBudgets) HeldFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.heldUntil-b.elapsed(), 0)
}

// Request counts a new request for a service.
func (b *ServiceBudgets) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(service)
	h.requests[h.index(0)]++
}

// Reserve reserves a retry. It returns false if none is left. The caller must call Sent or
// Cancel.
func (b *ServiceBudgets) Reserve(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(service)
	own := h.counts()
	if b.elapsed() < b.heldUntil || !own.allowsRetry(b.ratio, b.fixed) {
		return false
	}
	all := own
	b.others(service, &all)
	if !all.allowsRetry(b.ratio, b.fleetFixed) {
		return false
	}
	h.reserved++
	return true
}

// Sent counts a reserved retry as sent now.
func (b *ServiceBudgets) Sent(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(service)
	h.reserved--
	h.retries[h.index(0)]++
}

// Cancel returns a reserved retry that is not sent.
func (b *ServiceBudgets) Cancel(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history(service).reserved--
}

// Counts are the requests and retries of one service by slice, the newest first. Reserved
// retries count in the current slice.
type Counts struct {
	requests [HistorySlices]float64
	retries  [RetrySlices]float64
}

// allowsRetry reports whether one more retry keeps the limit in each window that has
// begun. Load pattern: the load rises or falls within a window. A window that begins with
// the first retry may have fewer requests than the one that ends with the last.
func (c *Counts) allowsRetry(ratio, fixed float64) bool {
	// before[n] is the number of requests in the n newest slices.
	var before [HistorySlices + 1]float64
	for age, n := range c.requests {
		before[age+1] = before[age] + n
	}
	// between counts the requests in a window that begins in the slice from or earlier by
	// shift, up to now. Slices that the window has only a part of do not count.
	between := func(from, shift int) float64 {
		newest := 0
		if shift > 0 {
			newest = max(from+shift+1-windowSlices, 0)
		}
		return before[from+shift] - before[newest]
	}
	retries := 1.0
	for from, n := range c.retries {
		retries += n
		requests := max(between(from, 0), between(from, windowSlices/2), between(from, windowSlices))
		if retries > ratio*requests+fixed {
			return false
		}
	}
	return true
}

// sums returns the requests of the last window and the retries that count in it.
func (c *Counts) sums() Sums {
	var s Sums
	for _, n := range c.requests[:windowSlices] {
		s.Requests += n
	}
	for _, n := range c.retries {
		s.Retries += n
	}
	return s
}

// Sums are the requests and retries of a service in the last window. Reserved retries count
// as retries.
type Sums struct{ Requests, Retries float64 }

// Usage is the state of the budget of a service: what this process and what the others have
// counted, and this process's part of the fixed number of retries.
type Usage struct {
	Own, Others Sums
	Fixed       float64
}

// Usage returns the current state, for logs.
func (b *ServiceBudgets) Usage(service string) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	own, others := b.history(service).counts(), Counts{}
	b.others(service, &others)
	return Usage{Own: own.sums(), Others: others.sums(), Fixed: b.fixed}
}

// Add adds counts that another process with the same window recorded age ago.
func (b *ServiceBudgets) Add(to *Counts, x History, age time.Duration) {
	// Counts may fall between two slices. Retries must not leave the window early, nor
	// requests late.
	shift := int(max(age, 0) / b.slice)
	for i := 0; i < len(x.Requests) && i+shift+1 < HistorySlices; i++ {
		to.requests[i+shift+1] += float64(x.Requests[i])
	}
	for i := 0; i < len(x.Retries) && i+shift < RetrySlices; i++ {
		to.retries[i+shift] += float64(x.Retries[i])
	}
}

// History is the count of requests and retries of one service by slice, the newest first.
type History struct {
	Service           string
	Requests, Retries []uint32
}

// History returns the counts of the services that have any.
func (b *ServiceBudgets) History() []History {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]History, 0, len(b.services))
	for service := range b.services {
		if x := b.copy(service); slices.Max(x.Requests)+slices.Max(x.Retries) > 0 {
			out = append(out, x)
		}
	}
	return out
}

// ServiceHistory returns the counts of one service.
func (b *ServiceBudgets) ServiceHistory(service string) History {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.copy(service)
}

func (b *ServiceBudgets) copy(service string) History {
	h := b.history(service)
	x := History{Service: service, Requests: make([]uint32, HistorySlices), Retries: make([]uint32, RetrySlices)}
	for age := range x.Requests {
		x.Requests[age] = h.requests[h.index(age)]
	}
	for age := range x.Retries {
		x.Retries[age] = h.retries[h.index(age)]
	}
	return x
}

// Restore adds counts of a predecessor of this process that were recorded age ago.
func (b *ServiceBudgets) Restore(x History, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	shift := int(max(age, 0) / b.slice) // as in Add
	h := b.history(x.Service)
	h.add(&h.requests, x.Requests, shift+1)
	h.add(&h.retries, x.Retries, shift)
}

// HoldFor allows no retries for d, in place of the time that Hold has set.
func (b *ServiceBudgets) HoldFor(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heldUntil = b.elapsed() + d
}

// add adds counts by slice, the newest first, that are shift slices old.
func (h *history) add(to *[HistorySlices]uint32, counts []uint32, shift int) {
	for age := shift; age < HistorySlices && age-shift < len(counts); age++ {
		to[h.index(age)] += counts[age-shift]
	}
}

// history returns the counts of a service, with the slices cleared that have become too old.
func (b *ServiceBudgets) history(service string) *history {
	h := b.services[service]
	if h == nil {
		h = &history{}
		b.services[service] = h
	}
	n := int64(b.elapsed() / b.slice)
	for steps := min(n-h.newest, HistorySlices); steps > 0; steps-- {
		i := (n - steps + 1) % HistorySlices
		h.requests[i], h.retries[i] = 0, 0
	}
	h.newest = max(h.newest, n)
	return h
}

// counts returns the counts by age.
func (h *history) counts() Counts {
	var c Counts
	for age := range c.requests {
		c.requests[age] = float64(h.requests[h.index(age)])
	}
	for age := range c.retries {
		c.retries[age] = float64(h.retries[h.index(age)])
	}
	c.retries[0] += float64(h.reserved)
	return c
}

// index returns the position of the slice that is age slices old.
func (h *history) index(age int) int { return int((h.newest - int64(age)) % HistorySlices) }
