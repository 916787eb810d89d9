package retry

import (
	"math/rand/v2"
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
	total := func(of *testBudgets, at *testBudgets) func(string) Sums {
		return func(string) Sums {
			var s Sums
			for _, h := range of.History() {
				s = at.Sum(h, 0)
			}
			return s
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
