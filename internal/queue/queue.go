// Package queue orders an agent's waiting requests: by rank with floors, and
// fairly by client account inside a rank.
package queue

import (
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// Ordering selects how waiting items are ordered.
type Ordering int

// Orderings. All but Fair are baselines for measurements. FIFO and Strict
// refuse only at the bounds of the queue. TokenBuckets refuses what is beyond
// an account's share of the rate and serves the rest in order of arrival.
const (
	Fair Ordering = iota
	FIFO
	Strict
	TokenBuckets
)

// orderingNames are the names that settings use.
var orderingNames = map[string]Ordering{"fair": Fair, "fifo": FIFO, "strict": Strict, "token_buckets": TokenBuckets}

// ParseOrdering returns the ordering of a name; false means that no ordering
// has the name.
func ParseOrdering(name string) (Ordering, bool) {
	o, ok := orderingNames[name]
	return o, ok
}

// minWeight keeps an account without a share from waiting for ever.
const minWeight = 0.001

// Options are the parameters of a Queue.
type Options struct {
	// Items and Bytes bound the waiting items.
	Items int
	Bytes int64
	// Slots is how many items run at a time.
	Slots int
	// Preempting tells that the server interrupts less urgent work for more
	// urgent work, so that top-rank work need not wait for a slot.
	Preempting bool
	// Floors holds each rank's part of token time, from 0 to 1.
	Floors [fleet.RankCount]float64
	// Rate returns the server's tokens per second; 0 means unknown.
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
	// Tokens is the estimated work; Bytes is the size of the request.
	Tokens int64
	Bytes  int64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// FirstToken is the latency target and MaxAge the age from which a bottom
	// item goes next; zero means none.
	FirstToken time.Duration
	MaxAge     time.Duration
	// Suspect tells whether the request may crash its server; nil means never.
	Suspect func() bool

	ready    chan struct{}
	refused  *verdict.Error
	sequence uint64
	arrived  time.Time
	class    fleet.Rank
	waiting  bool
	// paid tells that the item began as part of its account's share.
	paid bool
}

// Ready is closed when the item may run or was pushed out; see Refused.
func (i *Item) Ready() <-chan struct{} { return i.ready }

// Refused returns why the item was pushed out, or nil if it may run. It is
// valid after Ready is closed.
func (i *Item) Refused() *verdict.Error { return i.refused }

// Stats describes the queue.
type Stats struct {
	Queued  int
	Running int
	// Tokens is the estimated work that waits or runs.
	Tokens int64
	ByRank [fleet.RankCount]int
}

// Queue is safe for concurrent use.
type Queue struct {
	options Options

	mu       sync.Mutex
	accounts map[fleet.ClientAccount]*account
	// virtual is the virtual time per class.
	virtual [fleet.RankCount]float64
	served  [fleet.RankCount]window
	// tokens counts all tokens served.
	tokens   float64
	sequence uint64
	stats    Stats
	queued   [fleet.RankCount]int64
	bytes    int64
	// running holds the dispatched items until Done.
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

// Push adds an item, or refuses it if the queue is full or the estimated wait
// is too long.
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
	if e := q.refuseBucket(i, now); e != nil {
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
		q.forfeit(a)
	}
	a.activate(i.Rank, &q.virtual)
	a.items[i.Rank] = append(a.items[i.Rank], i)
	q.count(i, 1)
	q.stats.Tokens += i.Tokens
}

// Remove takes a waiting item out. It returns false if the item was given a
// slot or pushed out already; an item with a slot needs Done.
func (q *Queue) Remove(i *Item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !i.waiting {
		return false
	}
	q.take(i)
	q.stats.Tokens -= i.Tokens
	q.dispatch()
	return true
}

// take removes a waiting item from its account's list.
func (q *Queue) take(i *Item) {
	a := q.accounts[i.Account]
	list := a.items[i.Rank]
	for n := range list {
		if list[n] == i {
			a.items[i.Rank] = append(list[:n:n], list[n+1:]...)
			break
		}
	}
	i.waiting = false
	q.count(i, -1)
}

func (q *Queue) count(i *Item, n int) {
	q.stats.Queued += n
	q.stats.ByRank[i.Rank] += n
	q.queued[i.Rank] += int64(n) * i.Tokens
	q.bytes += int64(n) * i.Bytes
}

// Done frees the slot of an item and corrects its charge by the tokens used.
func (q *Queue) Done(i *Item, used int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stats.Running--
	q.stats.Tokens -= i.Tokens
	delete(q.running, i)
	a := q.accounts[i.Account]
	a.running--
	q.charge(a, i, used-i.Tokens)
	if i.paid {
		a.ahead += float64(used - i.Tokens)
	}
	q.prune()
	q.dispatch()
}

// SetSlots changes how many items run at a time; 0 stops the dispatch.
func (q *Queue) SetSlots(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.options.Slots = n
	q.dispatch()
}

// Stats returns the present state.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stats
}

// dispatch gives free slots to the next items.
func (q *Queue) dispatch() {
	for q.stats.Running < q.options.Slots {
		i, class := q.pick(q.options.Now())
		if i == nil {
			return
		}
		q.startOrRefuse(i, class)
	}
	for q.stats.Running < q.options.Slots+q.urgentSlots() {
		i := q.pickClass(fleet.RankTop, q.withinShare)
		if i == nil {
			return
		}
		q.startOrRefuse(i, fleet.RankTop)
	}
}

// startOrRefuse starts an item unless it would run into its deadline: work that
// is cut off is lost, and its caller learns only then that it must try again.
func (q *Queue) startOrRefuse(i *Item, class fleet.Rank) {
	if q.options.Ordering == Fair && q.runTime(i) > i.Deadline.Sub(q.options.Now()) {
		q.pushOut(i, lateError())
		return
	}
	q.start(i, class)
}

// pushOut refuses a waiting item.
func (q *Queue) pushOut(i *Item, e *verdict.Error) {
	q.take(i)
	q.stats.Tokens -= i.Tokens
	i.refused = e
	close(i.ready)
}

// urgentDivisor sets how many items of the top rank may run beyond the slots:
// one for so many slots. With answers of one length, a batch that filled at
// once also ends at once, and urgent work waited for up to a whole answer.
const urgentDivisor = 2

// urgentSlots returns how many items of the top rank may run beyond the slots.
func (q *Queue) urgentSlots() int {
	if !q.options.Preempting || q.options.Ordering != Fair {
		return 0
	}
	return (q.options.Slots + urgentDivisor - 1) / urgentDivisor
}

func (q *Queue) start(i *Item, class fleet.Rank) {
	a := q.accounts[i.Account]
	q.take(i)
	i.class = class
	q.virtual[class] = max(q.virtual[class], a.start[class])
	q.pay(a, i)
	q.charge(a, i, i.Tokens)
	a.running++
	q.stats.Running++
	q.running[i] = struct{}{}
	close(i.ready)
}

// suspectRuns reports whether a running item is a suspect now. An item may have
// become one after its dispatch, when another copy of it ended a server.
func (q *Queue) suspectRuns() bool {
	for i := range q.running {
		if i.Suspect != nil && i.Suspect() {
			return true
		}
	}
	return false
}

// charge adds tokens to what the account and the rank were served.
func (q *Queue) charge(a *account, i *Item, tokens int64) {
	now := q.options.Now()
	a.start[i.class] += float64(tokens) / a.weight
	q.served[i.Rank].add(now, tokens)
	q.tokens += float64(tokens)
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
