package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

type clock struct{ now time.Time }

func newTestQueue(o Options) (*Queue, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	o.Now = func() time.Time { return c.now }
	if o.Items == 0 {
		o.Items = 1000
	}
	o.Bytes = 1 << 20
	return New(o), c
}

func (c *clock) item(account fleet.ClientAccount, weight float64, rank fleet.Rank) *Item {
	return &Item{Account: account, Weight: weight, Rank: rank, Tokens: 100, Bytes: 1, Deadline: c.now.Add(time.Hour)}
}

func started(i *Item) bool {
	select {
	case <-i.Ready():
		return i.Refused() == nil
	default:
		return false
	}
}

// serve runs the queued items one at a time and returns the number of items per group
// among the first n.
func serve(q *Queue, items []*Item, n int, group func(*Item) string) map[string]int {
	counts := map[string]int{}
	finished := map[*Item]bool{}
	q.SetSlots(1)
	for range n {
		for _, i := range items {
			if !finished[i] && started(i) {
				finished[i] = true
				counts[group(i)]++
				q.Done(i, i.Tokens)
				break
			}
		}
	}
	return counts
}

func pushItems(q *Queue, n int, make func() *Item) []*Item {
	var items []*Item
	for range n {
		i := make()
		if q.Push(i) == nil {
			items = append(items, i)
		}
	}
	return items
}

func byRank(i *Item) string    { return i.Rank.String() }
func byAccount(i *Item) string { return string(i.Account) }

// Guards against starvation of lower ranks under a flood of top-rank work, as the
// strict baseline shows.
func TestFloors(t *testing.T) {
	is := is.New(t)
	run := func(o Ordering) map[string]int {
		q, c := newTestQueue(Options{Floors: [3]float64{0, 0.2, 0.1}, Ordering: o})
		var items []*Item
		for rank := range fleet.Rank(fleet.RankCount) {
			items = append(items, pushItems(q, 100, func() *Item { return c.item("a", 1, rank) })...)
		}
		return serve(q, items, 100, byRank)
	}
	fair := run(Fair)
	is.True(fair["middle"] >= 19)
	is.True(fair["bottom"] >= 9)
	is.True(fair["top"] >= 65)
	is.Equal(run(Strict)["top"], 100)
}

// Guards against an account that exceeds its weighted share by sending more requests,
// as the FIFO baseline shows, and against top-rank work beyond the account's share that
// keeps precedence over middle-rank work.
func TestFairnessByAccount(t *testing.T) {
	is := is.New(t)
	run := func(o Ordering, small fleet.Rank) map[string]int {
		q, c := newTestQueue(Options{Ordering: o})
		items := pushItems(q, 200, func() *Item { return c.item("big", 0.5, fleet.RankTop) })
		items = append(items, pushItems(q, 50, func() *Item { return c.item("small", 0.5, small) })...)
		return serve(q, items, 80, byAccount)
	}
	is.True(run(Fair, fleet.RankTop)["small"] >= 38)
	is.True(run(Fair, fleet.RankMiddle)["small"] >= 35)
	is.Equal(run(FIFO, fleet.RankTop)["small"], 0)
}

// Guards against an account that gains service by underestimating its token usage.
func TestChargeIsCorrectedByUsage(t *testing.T) {
	is := is.New(t)
	q, c := newTestQueue(Options{})
	liar := pushItems(q, 20, func() *Item { return c.item("liar", 0.5, fleet.RankMiddle) })
	honest := pushItems(q, 20, func() *Item { return c.item("honest", 0.5, fleet.RankMiddle) })
	q.SetSlots(1)
	served := 0
	for served < 10 {
		if started(liar[0]) {
			q.Done(liar[0], 1000)
			liar = liar[1:]
			continue
		}
		is.True(started(honest[0]))
		q.Done(honest[0], 100)
		honest = honest[1:]
		served++
	}
	is.Equal(len(liar), 19)
}

// Guards against starvation of a bottom-rank item, and against aged bottom-rank items
// that starve urgent work.
func TestAgedBottomItemTakesPrecedence(t *testing.T) {
	is := is.New(t)
	q, c := newTestQueue(Options{})
	items := pushItems(q, 50, func() *Item {
		i := c.item("b", 1, fleet.RankBottom)
		i.MaxAge = time.Second
		return i
	})
	c.now = c.now.Add(2 * time.Second)
	items = append(items, pushItems(q, 50, func() *Item { return c.item("t", 1, fleet.RankTop) })...)
	q.SetSlots(1)
	is.True(started(items[0]))
	is.True(serve(q, items, 40, byRank)["bottom"] <= 12)
}

// Guards against queueing requests that cannot start in time, and against refusing a
// small account because another account floods the queue.
func TestEarlyRefusal(t *testing.T) {
	is := is.New(t)
	q, c := newTestQueue(Options{Slots: 1, Rate: func() float64 { return 100 }})
	urgent := func(account fleet.ClientAccount) *Item {
		i := c.item(account, 0.5, fleet.RankTop)
		i.FirstToken = time.Second
		return i
	}
	flood := pushItems(q, 50, func() *Item { return urgent("big") })
	is.True(len(flood) < 8)
	e := q.Push(urgent("big"))
	is.Equal(e.Verdict, verdict.NotRun)
	is.True(e.RetryAfter > 0)
	is.True(q.Push(urgent("small")) == nil)
	late := c.item("big", 0.5, fleet.RankTop)
	late.Deadline = c.now
	is.Equal(q.Push(late).Reason, verdict.ReasonDeadline)
}

// Guards against a flood from one account that fills the queue for all accounts.
func TestFullQueueEvictsItemsOfTheLargestAccount(t *testing.T) {
	is := is.New(t)
	q, c := newTestQueue(Options{Items: 10})
	flood := pushItems(q, 20, func() *Item { return c.item("big", 0.5, fleet.RankBottom) })
	is.Equal(len(flood), 10)
	is.True(q.Push(c.item("small", 0.5, fleet.RankBottom)) == nil)
	<-flood[9].Ready()
	is.Equal(flood[9].Refused().Reason, verdict.ReasonQueueFull)
	is.True(!q.Remove(flood[9]))
	is.Equal(q.Stats().Queued, 10)
}

// Guards against a canceled item that remains in the queue, and against two suspects
// that run at the same time.
func TestRemoveAndSuspects(t *testing.T) {
	is := is.New(t)
	q, c := newTestQueue(Options{Slots: 2})
	suspect := func() *Item {
		i := c.item("a", 1, fleet.RankTop)
		i.Suspect = func() bool { return true }
		return i
	}
	first, second, clean, last := suspect(), suspect(), c.item("a", 1, fleet.RankTop), c.item("a", 1, fleet.RankTop)
	for _, i := range []*Item{first, second, clean, last} {
		is.True(q.Push(i) == nil)
	}
	is.True(started(first) && !started(second) && started(clean))
	is.True(!q.Remove(clean))
	is.True(q.Remove(last))
	q.Done(first, 0)
	is.True(started(second))
	is.Equal(q.Stats().Queued, 0)
	q.Done(second, 0)
	q.Done(clean, 0)
	is.Equal(q.Stats().Tokens, int64(0))
}

// Guards against starting a suspect while an item runs that became a suspect after it
// was started: a crash would then be attributed to both.
func TestRunningItemThatBecomesSuspectBlocksSuspects(t *testing.T) {
	is := is.New(t)
	q, c := newTestQueue(Options{Slots: 2})
	suspected := false
	running, waiting := c.item("a", 1, fleet.RankTop), c.item("a", 1, fleet.RankTop)
	running.Suspect = func() bool { return suspected }
	waiting.Suspect = func() bool { return true }
	is.True(q.Push(running) == nil)
	suspected = true
	is.True(q.Push(waiting) == nil)
	is.True(started(running) && !started(waiting))
	q.Done(running, 0)
	is.True(started(waiting))
}

// Guards against token buckets that do not limit an account, or that refuse an account
// within its share.
func TestTokenBucketsLimitEachAccount(t *testing.T) {
	is := is.New(t)
	q, c := newTestQueue(Options{Ordering: TokenBuckets, Rate: func() float64 { return 1000 }})
	push := func(account fleet.ClientAccount, n int) (refused int) {
		for range n {
			if e := q.Push(c.item(account, 0.5, fleet.RankMiddle)); e != nil {
				is.Equal(e.Verdict, verdict.NotRun)
				is.True(e.RetryAfter > 0)
				refused++
			}
		}
		return refused
	}
	is.Equal(push("large", 20), 10) // 2 s at 500 tokens/s hold 10 items of 100 tokens
	is.Equal(push("small", 5), 0)
	c.now = c.now.Add(time.Second)
	is.Equal(push("large", 10), 5)
}

// Guards against an account of a higher rank that takes capacity within the share that an
// account of a lower rank demands, and against a lower rank that precedes a higher one
// within its share.
func TestSharesHoldAcrossRanks(t *testing.T) {
	is := is.New(t)
	rate := func() float64 { return 100 }
	q, c := newTestQueue(Options{Rate: rate})
	var items []*Item
	push := func(n int, account fleet.ClientAccount, weight float64, rank fleet.Rank) {
		items = append(items, pushItems(q, n, func() *Item { return c.item(account, weight, rank) })...)
	}
	push(150, "urgent", 0.5, fleet.RankTop)
	push(150, "routine", 0.3, fleet.RankMiddle)
	push(150, "background", 0.2, fleet.RankBottom)
	counts := serve(q, items, 250, byAccount)
	// The shares are 125, 75 and 50 items. urgent and routine may exceed theirs by 5
	// and 3 items.
	is.True(counts["urgent"] >= 120 && counts["urgent"] <= 132)
	is.True(counts["routine"] >= 70)
	is.True(counts["background"] >= 50-10)
}

// Guards against top-rank work that waits for a slot of a preempting server, and
// against other work that uses the additional slots.
func TestTopRankRunsBeyondTheSlots(t *testing.T) {
	is := is.New(t)
	run := func(preempting bool, rank fleet.Rank) int {
		q, c := newTestQueue(Options{Slots: 4, Preempting: preempting})
		pushItems(q, 4, func() *Item { return c.item("background", 0.5, fleet.RankBottom) })
		pushItems(q, 10, func() *Item { return c.item("urgent", 0.5, rank) })
		return q.Stats().Running
	}
	is.Equal(run(true, fleet.RankTop), 6)
	is.Equal(run(true, fleet.RankMiddle), 4)
	is.Equal(run(false, fleet.RankTop), 4)
}

// Guards against starting an item that its deadline will cut off, which wastes the work
// and delays the caller's retry.
func TestItemWithoutTimeToRunIsRefused(t *testing.T) {
	is := is.New(t)
	q, c := newTestQueue(Options{Slots: 1, Rate: func() float64 { return 100 }})
	first := pushItems(q, 1, func() *Item { return c.item("a", 1, fleet.RankTop) })[0]
	i := c.item("a", 1, fleet.RankTop) // runs for 1 s
	i.Deadline = c.now.Add(3 * time.Second)
	is.True(q.Push(i) == nil)
	c.now = c.now.Add(2500 * time.Millisecond)
	q.Done(first, 100)
	<-i.Ready()
	is.Equal(i.Refused().Verdict, verdict.NotRun)
	is.True(i.Refused().RetryAfter > 0)
}
