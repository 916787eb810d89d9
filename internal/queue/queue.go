// Package queue decides which of an agent's queued requests starts next and which are
// refused. Requests are ordered by rank, with a guaranteed minimum share (floor) per
// rank, and by weighted fair queueing between the client accounts of a rank.
package queue

import (
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// Ordering selects the scheduling policy for queued items.
type Ordering int

// Orderings. All but Fair are baselines for measurements. FIFO and Strict refuse items
// only when the queue is full; Strict serves a rank only when no more urgent rank has
// items. TokenBuckets refuses items beyond an account's share of the rate and serves the
// others in order of arrival.
const (
	Fair Ordering = iota
	FIFO
	Strict
	TokenBuckets
)

// orderingNames maps the names used in settings to orderings.
var orderingNames = map[string]Ordering{"fair": Fair, "fifo": FIFO, "strict": Strict, "token_buckets": TokenBuckets}

// ParseOrdering returns the ordering with the given name, and false if there is none.
func ParseOrdering(name string) (Ordering, bool) {
	o, ok := orderingNames[name]
	return o, ok
}

// minWeight is the minimum weight of an account. It keeps accounts without a share from
// starving.
const minWeight = 0.001

// Options are the parameters of a Queue.
type Options struct {
	// Items is the maximum number of queued items, Bytes their maximum total size.
	Items int
	Bytes int64
	// Slots is the number of items that run at a time.
	Slots int
	// Preempting reports whether the server preempts less urgent work for more urgent work.
	// Top-rank items may then start without a free slot.
	Preempting bool
	// Floors holds the minimum fraction of the served tokens per rank, from 0 to 1.
	Floors [fleet.RankCount]float64
	// Rate returns the server's throughput in tokens per second; 0 means unknown.
	Rate     func() float64
	Ordering Ordering
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Item is one request in the queue. The exported fields are set by the caller
// before Push and not changed later.
type Item struct {
	Account fleet.ClientAccount
	// Weight is the account's effective share, from 0 to 1.
	Weight float64
	Rank   fleet.Rank
	// Tokens is the estimated work in tokens, Bytes the size of the request.
	Tokens int64
	Bytes  int64
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// FirstToken is the latency target for the first token, and MaxAge the age above
	// which a bottom-rank item takes precedence; zero means none.
	FirstToken time.Duration
	MaxAge     time.Duration
	// Suspect reports whether the request is suspected of crashing servers; nil means
	// never.
	Suspect func() bool

	ready    chan struct{}
	refused  *verdict.Error
	sequence uint64
	arrived  time.Time
	class    fleet.Rank
	waiting  bool
	// chargedToShare reports whether the item started within its account's share.
	chargedToShare bool
}

// Ready returns a channel that is closed when the item may run or was evicted; Refused
// distinguishes the two cases.
func (i *Item) Ready() <-chan struct{} { return i.ready }

// Refused returns the reason why the item was evicted, or nil if it may run. It is valid
// after Ready is closed.
func (i *Item) Refused() *verdict.Error { return i.refused }

// Stats describes the state of a queue.
type Stats struct {
	Queued  int
	Running int
	// Tokens is the estimated work, in tokens, of all queued and running items.
	Tokens int64
	// ByRank is the number of queued items per rank.
	ByRank [fleet.RankCount]int
}

// Queue schedules the requests of one agent. It is safe for concurrent use.
type Queue struct {
	options Options

	mu       sync.Mutex
	accounts map[fleet.ClientAccount]*account
	// virtualTime is the virtual time per class.
	virtualTime [fleet.RankCount]float64
	// served counts the tokens served per rank.
	served [fleet.RankCount]tokenWindow
	// servedTokens is the total number of tokens served.
	servedTokens float64
	sequence     uint64
	stats        Stats
	// queuedByRank is the estimated work, in tokens, of the queued items per rank.
	queuedByRank [fleet.RankCount]int64
	queuedBytes  int64
	// running holds the items that were started and are not done.
	running map[*Item]struct{}
}

// New returns an empty queue.
func New(o Options) *Queue {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rate == nil {
		o.Rate = func() float64 { return 0 }
	}
	return &Queue{options: o, accounts: map[fleet.ClientAccount]*account{}, running: map[*Item]struct{}{}}
}

// Push adds an item. It returns an error if the deadline has passed, the queue is full,
// the estimated wait is too long, or the account's token bucket is empty.
func (q *Queue) Push(i *Item) *verdict.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.options.Now()
	if !now.Before(i.Deadline) {
		return deadlineError()
	}
	if e := q.refuseEarly(i, now); e != nil {
		return e
	}
	if e := q.refuseOverShare(i, now); e != nil {
		return e
	}
	if !q.makeRoom(i) {
		return fullError()
	}
	q.add(i, now)
	q.dispatch()
	return nil
}

func (q *Queue) add(i *Item, now time.Time) {
	q.sequence++
	i.ready, i.sequence, i.arrived, i.waiting = make(chan struct{}), q.sequence, now, true
	a := q.account(i)
	if a.waiting() == 0 {
		q.clearDeficit(a)
	}
	a.activate(i.Rank, &q.virtualTime)
	a.items[i.Rank] = append(a.items[i.Rank], i)
	q.adjustCounts(i, 1)
	q.stats.Tokens += i.Tokens
}

// Remove removes a queued item. It returns false if the item was started or evicted
// before; a started item needs Done.
func (q *Queue) Remove(i *Item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !i.waiting {
		return false
	}
	q.unlink(i)
	q.stats.Tokens -= i.Tokens
	q.dispatch()
	return true
}

// unlink removes a queued item from its account's list and from the counts.
func (q *Queue) unlink(i *Item) {
	a := q.accounts[i.Account]
	list := a.items[i.Rank]
	for n := range list {
		if list[n] == i {
			a.items[i.Rank] = append(list[:n:n], list[n+1:]...)
			break
		}
	}
	i.waiting = false
	q.adjustCounts(i, -1)
}

func (q *Queue) adjustCounts(i *Item, n int) {
	q.stats.Queued += n
	q.stats.ByRank[i.Rank] += n
	q.queuedByRank[i.Rank] += int64(n) * i.Tokens
	q.queuedBytes += int64(n) * i.Bytes
}

// Done frees the slot of an item and corrects its charge to the number of tokens used.
func (q *Queue) Done(i *Item, used int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stats.Running--
	q.stats.Tokens -= i.Tokens
	delete(q.running, i)
	a := q.accounts[i.Account]
	a.running--
	q.charge(a, i, used-i.Tokens)
	if i.chargedToShare {
		a.excess += float64(used - i.Tokens)
	}
	q.prune()
	q.dispatch()
}

// SetSlots sets the number of items that run at a time; 0 stops dispatching.
func (q *Queue) SetSlots(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.options.Slots = n
	q.dispatch()
}

// Stats returns the current state.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stats
}

// dispatch starts items while slots are free.
func (q *Queue) dispatch() {
	for q.stats.Running < q.options.Slots {
		i, class := q.next(q.options.Now())
		if i == nil {
			return
		}
		q.startOrRefuse(i, class)
	}
	for q.stats.Running < q.options.Slots+q.urgentSlots() {
		i := q.nextInClass(fleet.RankTop, q.withinShare)
		if i == nil {
			return
		}
		q.startOrRefuse(i, fleet.RankTop)
	}
}

// startOrRefuse starts an item, or refuses it if it would not finish by its deadline.
// A run cut off by the deadline is wasted work, and delays the caller's retry until
// then.
func (q *Queue) startOrRefuse(i *Item, class fleet.Rank) {
	if q.options.Ordering == Fair && q.estimateRunTime(i) > i.Deadline.Sub(q.options.Now()) {
		q.evict(i, lateError())
		return
	}
	q.start(i, class)
}

// evict removes a queued item and refuses it with the given error.
func (q *Queue) evict(i *Item, e *verdict.Error) {
	q.unlink(i)
	q.stats.Tokens -= i.Tokens
	i.refused = e
	close(i.ready)
}

// slotsPerUrgentSlot is the number of slots per additional top-rank item that may run
// beyond the slots. If all responses have the same length, items that start together also
// finish together; without additional slots, urgent items would wait for up to the
// duration of a whole response.
const slotsPerUrgentSlot = 2

// urgentSlots returns the number of top-rank items that may run beyond the slots.
func (q *Queue) urgentSlots() int {
	if !q.options.Preempting || q.options.Ordering != Fair {
		return 0
	}
	return (q.options.Slots + slotsPerUrgentSlot - 1) / slotsPerUrgentSlot
}

func (q *Queue) start(i *Item, class fleet.Rank) {
	a := q.accounts[i.Account]
	q.unlink(i)
	i.class = class
	q.virtualTime[class] = max(q.virtualTime[class], a.startTimes[class])
	q.chargeShare(a, i)
	q.charge(a, i, i.Tokens)
	a.running++
	q.stats.Running++
	q.running[i] = struct{}{}
	close(i.ready)
}

// suspectRunning reports whether any running item is a suspect now. An item may become a
// suspect after it was started, when another copy of it crashes a server.
func (q *Queue) suspectRunning() bool {
	for i := range q.running {
		if i.Suspect != nil && i.Suspect() {
			return true
		}
	}
	return false
}

// charge adds tokens, which may be negative, to the service counted for the account and
// the rank.
func (q *Queue) charge(a *account, i *Item, tokens int64) {
	now := q.options.Now()
	a.startTimes[i.class] += float64(tokens) / a.weight
	q.served[i.Rank].add(now, tokens)
	q.servedTokens += float64(tokens)
}

func deadlineError() *verdict.Error {
	return verdict.Refuse(http.StatusGatewayTimeout, verdict.ReasonDeadline, "the deadline passed before the request began")
}

func lateError() *verdict.Error {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, "too little time is left before the deadline").WithRetryAfter(time.Second)
}

func fullError() *verdict.Error {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonQueueFull, "the agent's queue is full").WithRetryAfter(time.Second)
}
