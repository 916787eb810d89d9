package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/standin"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	// maxCrashedServers is the number of servers that one request may crash.
	maxCrashedServers = 2
	// badDeadline bounds one attempt of a crashing request.
	badDeadline = 10 * time.Second
	// liftBound is how long a lift may take to reach every entry VM.
	liftBound = 3 * time.Second
	// goodCallers is the number of callers that send good requests during each
	// crashing one, one after another, from goodLead before it to goodTail after
	// its last refusal.
	goodCallers = 12
	goodLead    = 200 * time.Millisecond
	goodTail    = 300 * time.Millisecond
)

// suspicion is one item of GET /admin/v1/quarantine.
type suspicion struct {
	Fingerprint string `json:"fingerprint"`
	Account     string `json:"account"`
	Crashes     int    `json:"crashes"`
	Quarantined bool   `json:"quarantined"`
}

// quarantined returns the suspicions of an entry VM that are quarantined.
func quarantined(t *testing.T, f *harness.Fleet, e *harness.Entry) []suspicion {
	t.Helper()
	var all, out []suspicion
	if err := f.Admin(t.Context(), http.MethodGet, e.Settings.AdminAddress, "/admin/v1/quarantine", nil, &all); err != nil {
		t.Error(err)
	}
	for _, s := range all {
		if s.Quarantined {
			out = append(out, s)
		}
	}
	return out
}

// checkStatus checks that the status of an entry VM shows the number of its
// quarantines.
func checkStatus(t *testing.T, f *harness.Fleet, e *harness.Entry) {
	t.Helper()
	var status struct {
		Quarantined *int `json:"quarantined"`
	}
	if err := f.Admin(t.Context(), http.MethodGet, e.Settings.AdminAddress, "/admin/v1/status", nil, &status); err != nil {
		t.Error(err)
		return
	}
	if want := len(quarantined(t, f, e)); status.Quarantined == nil || *status.Quarantined != want {
		t.Errorf("the status of %s does not show its %d quarantines", e.Name, want)
	}
}

// countStoppedEngines counts the engines that a request has crashed.
func countStoppedEngines(f *harness.Fleet) int {
	n := 0
	for _, a := range f.Agents {
		if !a.Backend.Running() {
			n++
		}
	}
	return n
}

// goodTraffic counts the outcomes of good requests.
type goodTraffic struct{ sent, complete, quarantined, failed atomic.Int64 }

// run sends good requests until ctx is done.
func (g *goodTraffic) run(ctx context.Context, f *harness.Fleet, caller int) {
	client := f.ClientFrom(streamAccount, caller)
	for i := 0; ctx.Err() == nil; i++ {
		call := harness.Completion{Model: streamModel, MaxTokens: 10, Prompt: fmt.Sprintf("good %d of caller %d", i, caller), MaxAttempts: streamAttempts}
		timed, cancel := context.WithTimeout(context.WithoutCancel(ctx), badDeadline)
		o := client.Complete(timed, call)
		cancel()
		g.sent.Add(1)
		switch {
		case o.Complete:
			g.complete.Add(1)
		case o.Reason == verdict.ReasonQuarantined:
			g.quarantined.Add(1)
		default:
			g.failed.Add(1)
		}
	}
}

// sendUntilQuarantined repeats a crashing request, each time through the next entry
// VM, until it has been refused as quarantined twice per entry VM.
func sendUntilQuarantined(ctx context.Context, f *harness.Fleet, prompt string, entry int) (refusals int) {
	client := f.ClientFrom(streamAccount, entry)
	for refusals < 2*len(f.Entries) && ctx.Err() == nil {
		timed, cancel := context.WithTimeout(ctx, badDeadline)
		o := client.Complete(timed, harness.Completion{Model: streamModel, MaxTokens: 8, Prompt: prompt, MaxAttempts: 1})
		cancel()
		if o.Reason == verdict.ReasonQuarantined {
			refusals++
		}
	}
	return refusals
}

// quarantineRound is one crashing request with its callers.
type quarantineRound struct {
	name    string
	callers int
	// cut cuts the link between two entry VMs.
	cut bool
	// together makes the callers send at the same time.
	together bool
}

func (q quarantineRound) run(t *testing.T, f *harness.Fleet, r *rand.Rand, prompt string) int {
	t.Helper()
	dropped := droppedPackets(f)
	if q.cut {
		cutEntryLink(t, f, r)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var group sync.WaitGroup
	for range q.callers {
		entry, pause := r.IntN(len(f.Entries)), time.Duration(r.IntN(60))*time.Millisecond
		if q.together {
			pause = 0
		}
		group.Go(func() {
			time.Sleep(pause)
			if sendUntilQuarantined(ctx, f, prompt, entry) == 0 {
				t.Errorf("%s: the request was never refused as quarantined", q.name)
			}
		})
	}
	group.Wait()
	if q.cut && droppedPackets(f) == dropped {
		t.Errorf("%s: the cut dropped no packet", q.name)
	}
	return countStoppedEngines(f)
}

// droppedPackets counts the packets that cuts between entry VMs dropped.
func droppedPackets(f *harness.Fleet) int {
	n := 0
	for _, e := range f.Entries {
		n += e.Relay.Dropped()
	}
	return n
}

// cutEntryLink cuts the link between two entry VMs in both directions.
func cutEntryLink(t *testing.T, f *harness.Fleet, r *rand.Rand) {
	t.Helper()
	pair := r.Perm(len(f.Entries))[:2]
	cut := harness.LinkFault{Cut: true}
	for i := range pair {
		one, other := f.Entries[pair[i]], f.Entries[pair[1-i]]
		if err := one.Relay.SetFaultsFor(other.Settings.PeerAddress, cut, cut); err != nil {
			t.Fatal(err)
		}
	}
}

// healEngines heals the links, restarts the crashed engines and waits until every
// entry VM is ready.
func healEngines(t *testing.T, f *harness.Fleet) {
	t.Helper()
	for _, e := range f.Entries {
		e.Relay.Heal()
	}
	for _, a := range f.Agents {
		if !a.Backend.Running() {
			if err := a.Backend.Start(); err != nil {
				t.Fatal(err)
			}
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), badDeadline)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
}

// isQuarantined reports whether an entry VM has a quarantine of a fingerprint.
func isQuarantined(t *testing.T, f *harness.Fleet, e *harness.Entry, fingerprint string) bool {
	t.Helper()
	return slices.ContainsFunc(quarantined(t, f, e), func(s suspicion) bool { return s.Fingerprint == fingerprint })
}

// liftAll lifts a quarantine at one entry VM and returns how long it took until
// no entry VM had it.
func liftAll(t *testing.T, f *harness.Fleet, at int, fingerprint string) time.Duration {
	t.Helper()
	began := time.Now()
	if err := f.Admin(t.Context(), http.MethodDelete, f.Entries[at].Settings.AdminAddress, "/admin/v1/quarantine/"+fingerprint, nil, nil); err != nil {
		t.Fatal(err)
	}
	for _, e := range f.Entries {
		for isQuarantined(t, f, e, fingerprint) {
			if time.Since(began) > liftBound {
				t.Fatalf("%s still has the quarantine %s after it was lifted", e.Name, liftBound)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// Guards against a request that crashes every backend server that runs it and is
// retried immediately through other entry VMs, and against a quarantine that
// affects good requests, that operators cannot see or that a lift does not end.
func TestQuarantineBoundsCrashes(t *testing.T) {
	f := streamFleet(t, 8, 6, func(o *harness.Options) { o.UDPFaults = true }, "--crash", "--step-base", "10ms")
	r := rand.New(rand.NewPCG(uint64(*seed), 2))
	rounds := []quarantineRound{
		{name: "one caller", callers: 1},
		{name: "one caller, link between entry VMs cut", callers: 1, cut: true},
		{name: "five callers", callers: 5},
		{name: "five callers together", callers: 5, together: true},
		{name: "eight callers together, link between entry VMs cut", callers: 8, together: true, cut: true},
	}
	var good goodTraffic
	mostCrashed, seen, total, wrong := 0, 0, 0, 0
	var slowestLift time.Duration
	for repeat := range amount(1, 6) {
		for i, q := range rounds {
			ctx, stop := context.WithCancel(t.Context())
			var group sync.WaitGroup
			for caller := range goodCallers {
				group.Go(func() { good.run(ctx, f, caller+goodCallers*(i+repeat*len(rounds))) })
			}
			time.Sleep(goodLead)
			prompt := fmt.Sprintf("%s seed %d repeat %d round %d", standin.CrashMarker, *seed, repeat, i)
			n := q.run(t, f, r, prompt)
			time.Sleep(goodTail)
			stop()
			group.Wait()
			t.Logf("%s: %d engines crashed", q.name, n)
			mostCrashed = max(mostCrashed, n)
			total++
			if n > maxCrashedServers {
				t.Errorf("seed %d, %s: %d engines crashed, want at most %d", *seed, q.name, n, maxCrashedServers)
			}
			for _, e := range f.Entries {
				seen += len(quarantined(t, f, e))
				checkStatus(t, f, e)
			}
			healEngines(t, f)
			at := r.IntN(len(f.Entries))
			list := quarantined(t, f, f.Entries[at])
			wrong += max(0, len(list)-1)
			for _, s := range list {
				slowestLift = max(slowestLift, liftAll(t, f, at, s.Fingerprint))
			}
		}
	}
	if seen < total*len(f.Entries) {
		t.Errorf("operators see the quarantine %d times at %d entry VMs and %d requests", seen, len(f.Entries), total)
	}
	if wrong > 0 {
		t.Errorf("%d good requests are quarantined", wrong)
	}
	if n := good.quarantined.Load() + good.failed.Load(); n > 0 {
		t.Errorf("%d of %d good requests were refused or failed", n, good.sent.Load())
	}
	proved(t, "quarantine_bounds_crashes", "requests", total, "most_engines_ended", mostCrashed, "shown_at_entries", seen, "of", total*len(f.Entries),
		"good_sent", good.sent.Load(), "good_quarantined", wrong, "good_refused_as_quarantined", good.quarantined.Load(), "good_failed", good.failed.Load(), "slowest_lift_ms", slowestLift.Milliseconds())
}
