package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	testWindow = 10 * time.Second
	testRatio  = 0.2
	testFixed  = 10
)

// testBudgets are budgets whose time a test sets.
type testBudgets struct {
	*ServiceBudgets
	at time.Duration
	// sent holds the times at which retries were sent.
	sent []time.Duration
}

func newTestBudgets(at time.Duration) *testBudgets {
	b := &testBudgets{ServiceBudgets: NewServiceBudgets(testRatio, testWindow), at: at}
	b.elapsed = func() time.Duration { return b.at }
	b.SetFixed(testFixed, testFixed)
	return b
}

// retry sends a retry if the budget allows it.
func (b *testBudgets) retry() {
	if b.Reserve("s") {
		b.Sent("s")
		b.sent = append(b.sent, b.at)
	}
}

// checkWindows checks the retries of each window that begins with one.
func checkWindows(t *testing.T, sent []time.Duration, allowed float64) {
	t.Helper()
	for _, from := range sent {
		n := 0
		for _, at := range sent {
			if at >= from && at < from+testWindow {
				n++
			}
		}
		if float64(n) > allowed {
			t.Fatalf("%d retries in the window from %s, allowed %.0f", n, from, allowed)
		}
	}
}

// Guards against more retries than the budget in any window, wherever the window begins.
func TestWindowBoundsRetries(t *testing.T) {
	is := is.New(t)
	b := newTestBudgets(time.Minute)
	for range 600 { // 60 s with 10 requests a second
		b.at += 100 * time.Millisecond
		b.Request("s")
		for range 5 {
			b.retry()
		}
	}
	checkWindows(t, b.sent, 0.2*100+testFixed)
	is.True(len(b.sent) > 60)
	b.SetFixed(0, 0)
	b.at += time.Minute
	is.True(!b.Reserve("s"))
}

// checkRule checks each window that begins with a retry: the requests that pay for its retries
// are those in the window, in the one before it or in the one half a window before it,
// whichever has most.
func checkRule(t *testing.T, name string, sent, requests []time.Duration, ratio, fixed float64) {
	t.Helper()
	count := func(times []time.Duration, from time.Duration) float64 {
		first, _ := slices.BinarySearch(times, from)
		end, _ := slices.BinarySearch(times, from+testWindow)
		return float64(end - first)
	}
	slices.Sort(sent)
	for _, from := range sent {
		paid := max(count(requests, from), count(requests, from-testWindow/2), count(requests, from-testWindow))
		if n := count(sent, from); n > ratio*paid+fixed {
			t.Fatalf("%s: %.0f retries in the window from %s, allowed %.1f for %.0f requests", name, n, from, ratio*paid+fixed, paid)
		}
	}
}

// share is the part of what the rule allows that gateways use. The rest is for counts that
// cannot be exact: restarts and messages move them by up to a slice, and the counts of
// other processes are some time old.
const share = 0.9

// Guards against retries that are paid by requests of no single window of the rule, when the
// load changes within a window while backend servers refuse requests, and the process is
// replaced meanwhile.
func TestChangingLoadKeepsEveryWindow(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		restarts := seed%2 == 1
		start := func(at time.Duration) *testBudgets {
			b := newTestBudgets(at)
			if restarts {
				b.ratio = testRatio * share
				b.SetFixed(testFixed*share, testFixed*share)
			}
			return b
		}
		b := start(time.Minute)
		var requests []time.Duration
		rate, refused := 0.1, false
		for range 8000 { // 80 s
			b.at += 10 * time.Millisecond
			if random.IntN(400) == 0 {
				rate = 2 * random.Float64() * random.Float64() // up to 200 a second
			}
			if random.IntN(300) == 0 {
				refused = !refused
			}
			if restarts && random.IntN(500) == 0 {
				history, sent, killedAt := b.History(), b.sent, b.at
				b = start(killedAt + time.Duration(random.IntN(500))*time.Millisecond)
				b.sent = sent
				for _, h := range history {
					b.Restore(h, b.at-killedAt)
				}
			}
			for n := rate + random.Float64() - 0.5; n > 0; n-- {
				b.Request("s")
				requests = append(requests, b.at)
				if refused {
					b.retry()
					b.retry()
				}
			}
		}
		checkRule(t, fmt.Sprintf("seed %d", seed), b.sent, requests, testRatio, testFixed)
	}
}

// Guards against more retries than the rule allows all processes together, when the load
// changes and moves between them and each knows the counts of the others of up to 0.4 s ago.
func TestMovingLoadKeepsEveryWindowOfAll(t *testing.T) {
	const processes, fixed = 6, 90
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 3))
		var all [processes]*testBudgets
		known := [processes][]History{}
		var toldAt time.Duration
		for n := range all {
			b := newTestBudgets(time.Minute)
			b.ratio = testRatio * share
			b.SetFixed(fixed*share, fixed*share/processes)
			b.SetOthers(func(service string, c *Counts) {
				for other, histories := range known {
					if other != n && len(histories) > 0 {
						b.Add(c, histories[0], b.at-toldAt)
					}
				}
			})
			all[n] = b
		}
		var requests, sent []time.Duration
		rate, refused, from, to := 0.3, false, 0, processes
		for step := range 6000 { // 60 s
			if random.IntN(400) == 0 {
				rate = 2 * random.Float64()
			}
			if random.IntN(300) == 0 {
				refused = !refused
			}
			if random.IntN(300) == 0 { // callers move to other processes
				from = random.IntN(processes)
				to = from + 1 + random.IntN(processes-from)
			}
			for n, b := range all {
				b.at += 10 * time.Millisecond
				if step%40 == 0 {
					known[n], toldAt = b.History(), b.at
				}
			}
			for n := rate + random.Float64() - 0.5; n > 0; n-- {
				b := all[from+random.IntN(to-from)]
				b.Request("s")
				requests = append(requests, b.at)
				if refused {
					b.retry()
					b.retry()
				}
			}
		}
		for _, b := range all {
			sent = append(sent, b.sent...)
		}
		checkRule(t, fmt.Sprintf("seed %d", seed), sent, requests, testRatio, fixed)
	}
}

// Guards against retries that are decided in one window and sent in the next, beside those
// of the next: a retry may wait for seconds.
func TestReservedRetryCountsWhenSent(t *testing.T) {
	is := is.New(t)
	b := newTestBudgets(time.Minute)
	for range testFixed {
		is.True(b.Reserve("s"))
	}
	b.at += testWindow * 2
	is.True(!b.Reserve("s"))
	for range testFixed {
		b.Sent("s")
	}
	b.at += testWindow
	is.True(!b.Reserve("s"))
	b.at += testWindow
	is.True(b.Reserve("s"))
	b.Cancel("s")
	is.Equal(b.Usage("s").Own.Retries, 0.0)
}

// Guards against retries at one service that are paid by the requests for another.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	is := is.New(t)
	b := newTestBudgets(time.Minute)
	b.SetFixed(0, 0)
	for range 100 {
		b.Request("other")
	}
	is.True(!b.Reserve("s"))
	is.True(b.Reserve("other"))
}

// Guards against restarts that renew the budget: whenever and however often a process is
// replaced, and whether or not anybody knows what its predecessor has sent, each window has
// at most the retries that one process would be allowed.
func TestRestartKeepsWindow(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		b := newTestBudgets(time.Minute)
		var sent []time.Duration
		for range 4000 {
			b.at += 10 * time.Millisecond
			b.Request("s")
			b.retry()
			if random.IntN(300) > 0 {
				continue
			}
			history, heldFor, at := b.History(), b.HeldFor(), b.at
			sent = append(sent, b.sent...)
			b = newTestBudgets(at + time.Duration(random.IntN(500))*time.Millisecond)
			b.Hold()
			if random.IntN(2) == 0 {
				for _, h := range history {
					b.Restore(h, b.at-at)
				}
				b.HoldFor(heldFor - (b.at - at))
			}
		}
		checkWindows(t, append(sent, b.sent...), 0.2*1000+testFixed)
	}
}

// Guards against retries that two processes pay with the same callers' requests, when the
// callers move from one process to the other.
func TestMovedCallersPayOnce(t *testing.T) {
	is := is.New(t)
	a, b := newTestBudgets(time.Minute), newTestBudgets(time.Minute)
	total := func(of *testBudgets, at *testBudgets) func(string, *Counts) {
		return func(_ string, c *Counts) {
			for _, h := range of.History() {
				at.Add(c, h, 0)
			}
		}
	}
	b.SetOthers(total(a, b))
	for _, x := range []*testBudgets{a, b} {
		x.SetFixed(testFixed, testFixed/2)
	}
	for range 2000 { // 20 s at a, which then sends what the last window paid for
		a.at += 10 * time.Millisecond
		b.at = a.at
		a.Request("s")
	}
	for range 1000 {
		a.retry()
	}
	is.True(len(a.sent) > 190)
	for range 950 { // 9.5 s at b
		b.at += 10 * time.Millisecond
		a.at = b.at
		b.Request("s")
		b.retry()
	}
	checkWindows(t, append(a.sent, b.sent...), 0.2*1000+testFixed)
}

// Guards against a process that never retries because nobody remembers its predecessor.
func TestHoldEndsAfterWindow(t *testing.T) {
	is := is.New(t)
	b := newTestBudgets(time.Minute)
	b.Hold()
	is.True(!b.Reserve("s"))
	b.at += testWindow + 2*b.slice
	is.True(b.Reserve("s"))
}
