package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/standin"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// onceFleet starts entry VMs in three zones and agents of the service records.
func onceFleet(t *testing.T, entries, agents, slots int, change ...func(*settings.EntryConfig)) *harness.Fleet {
	t.Helper()
	o := harness.Options{
		Bin: *binaries, Zones: []string{"zone-1", "zone-2", "zone-3"}, Entries: entries, UDPFaults: true, TCPFaults: true,
		Services:  []harness.ServiceSpec{{Name: "records"}, {Name: "orders"}},
		Templates: []harness.TemplateSpec{{Name: "clerk", Rank: "middle", Share: 0.4, Services: []string{"records"}}, {Name: "both", Rank: "middle", Share: 0.4, Services: []string{"records", "orders"}}},
		Accounts:  []harness.AccountSpec{{ID: "acme", Key: "key-acme", Template: "clerk"}, {ID: "beta", Key: "key-beta", Template: "clerk"}},
	}
	if len(change) > 0 {
		o.EntrySettings = change[0]
	}
	for range agents {
		o.Agents = append(o.Agents, harness.AgentSpec{Kind: settings.KindService, Backend: "records", Slots: slots})
	}
	f, err := harness.Start(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// faultSpan is one injected fault with the time it lasted.
type faultSpan struct {
	kind     string
	from, to time.Time
}

// injector injects random faults concurrently. busy holds one lock per process, so
// a process has at most one fault at a time.
type injector struct {
	fleet    *harness.Fleet
	seed     int64
	busy     []sync.Mutex
	vmListMu sync.Mutex

	mu    sync.Mutex
	spans []faultSpan
}

func newInjector(f *harness.Fleet, seed int64) *injector {
	return &injector{fleet: f, seed: seed, busy: make([]sync.Mutex, len(f.Entries)+len(f.Agents))}
}

func (i *injector) run(ctx context.Context, number uint64) {
	r := rand.New(rand.NewPCG(uint64(i.seed), number))
	for ctx.Err() == nil {
		i.inject(ctx, r)
		time.Sleep(time.Duration(20+r.IntN(150)) * time.Millisecond)
	}
}

// varyRunTimes varies the run times of the services, from 0 to one second.
func (i *injector) varyRunTimes(ctx context.Context) {
	r := rand.New(rand.NewPCG(uint64(i.seed), 99))
	for ctx.Err() == nil {
		longest := []int{1, 200, 1000}[r.IntN(3)]
		a := i.fleet.Agents[r.IntN(len(i.fleet.Agents))]
		_ = a.SetRunTime(ctx, time.Duration(r.IntN(longest))*time.Millisecond)
		time.Sleep(50 * time.Millisecond)
	}
}

func (i *injector) inject(ctx context.Context, r *rand.Rand) {
	span := time.Duration(100+r.IntN(1000)) * time.Millisecond
	// Half of the faults target agents, although there are fewer of them.
	entries := len(i.fleet.Entries)
	target := r.IntN(entries)
	if r.IntN(2) == 0 {
		target = entries + r.IntN(len(i.fleet.Agents))
	}
	variant := r.IntN(3)
	if r.IntN(10) == 0 {
		i.wrongVMList(ctx, r, span)
		return
	}
	if !i.busy[target].TryLock() {
		return
	}
	defer i.busy[target].Unlock()
	if target < entries {
		i.entryFault(i.fleet.Entries[target], r.IntN(4), variant, span)
		return
	}
	i.agentFault(ctx, i.fleet.Agents[target-entries], r.IntN(8), variant, span)
}

// during records a fault that lasts for a time.
func (i *injector) during(kind string, span time.Duration, begin, end func()) {
	from := time.Now()
	begin()
	time.Sleep(span)
	end()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.spans = append(i.spans, faultSpan{kind, from, time.Now()})
}

func (i *injector) entryFault(e *harness.Entry, kind, variant int, span time.Duration) {
	switch kind {
	case 0:
		i.during("entry_kill", span/4, e.Kill, func() { _ = e.Start() })
	case 1, 2:
		i.during("entry_freeze", 3*span, func() { _ = e.Freeze() }, func() { _ = e.Unfreeze() })
	default:
		i.linkFault("peer_link", e.Relay, variant, span)
	}
}

func (i *injector) linkFault(kind string, relay *harness.UDPRelay, variant int, span time.Duration) {
	fault, none := harness.LinkFault{Cut: true}, harness.LinkFault{}
	name := "_cut"
	if span.Milliseconds()%2 == 0 {
		fault, name = harness.LinkFault{Delay: span / 4}, "_delay"
	}
	directions := [][2]harness.LinkFault{{fault, none}, {none, fault}, {fault, fault}}[variant]
	// A silent link is closed after 3 s, so some cuts have to last longer.
	i.during(kind+name, 4*span, func() { relay.SetFaults(directions[0], directions[1]) }, relay.Heal)
}

func (i *injector) agentFault(ctx context.Context, a *harness.Agent, kind, variant int, span time.Duration) {
	heal := func() { _ = a.BackendFaults.Heal() }
	switch kind {
	case 0, 1:
		i.during("agent_kill", span/4, a.Kill, func() { _ = a.Start() })
	case 2:
		i.during("backend_kill", span/4, a.Backend.Kill, func() { _ = a.Backend.Start() })
	case 3:
		i.during("agent_freeze", 3*span, func() { _ = a.Freeze() }, func() { _ = a.Unfreeze() })
	case 4:
		i.during("backend_cut", span/2, a.BackendFaults.Cut, heal)
	case 5:
		stream := []string{"upstream", "downstream", "downstream"}[variant]
		kind := []string{"latency", "latency", "timeout"}[variant]
		toxic := harness.Toxic{Name: "t", Type: kind, Stream: stream, Attributes: map[string]int{"latency": int(span.Milliseconds() / 2), "timeout": 100}}
		i.during("backend_delay", span, func() { _ = a.BackendFaults.Add(toxic) }, heal)
	default:
		i.linkFault("agent_link", a.Relay, variant, span)
	}
}

// wrongVMList leaves random VMs out of the list, which may also lag.
func (i *injector) wrongVMList(ctx context.Context, r *rand.Rand, span time.Duration) {
	if !i.vmListMu.TryLock() {
		return
	}
	defer i.vmListMu.Unlock()
	var shown []standin.VM
	for _, vm := range i.fleet.VMs() {
		if r.IntN(3) > 0 {
			shown = append(shown, vm)
		}
	}
	lag := time.Duration(r.IntN(2)) * span
	i.during("vm_list", span, func() {
		_ = i.fleet.SetVMLag(ctx, lag)
		_ = i.fleet.SetVMs(ctx, shown)
	}, func() {
		_ = i.fleet.SetVMs(context.WithoutCancel(ctx), i.fleet.VMs())
	})
}

// sendFiling sends attempts of one filing until an answer settles it or the caller
// gives up.
func sendFiling(ctx context.Context, f *harness.Fleet, r *rand.Rand, id string) *harness.Filing {
	const maxAttempts = 4
	g := &harness.Filing{ID: id, Service: "records", Account: []string{"acme", "beta"}[r.IntN(2)], Began: time.Now()}
	for range maxAttempts {
		short, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
		g.Ticket, _ = f.Entry(r.IntN(len(f.Entries)), g.Account).Ticket(short, g.Service, "")
		cancel()
		if g.Ticket != "" {
			break
		}
	}
	var closers []context.CancelFunc
	for range maxAttempts {
		if g.Ticket == "" {
			break
		}
		// The context has no deadline, so the caller may give up before its stated
		// deadline.
		attempt, cancel := context.WithCancel(ctx)
		closers = append(closers, cancel)
		answered := g.Attempt(attempt, f.Entry(r.IntN(len(f.Entries)), g.Account), time.Duration(300+r.IntN(2200))*time.Millisecond)
		timeout, keepOpen := time.Duration(50+r.IntN(1500))*time.Millisecond, r.IntN(2) == 0
		if known := waitAnswer(answered, timeout); known {
			break
		}
		if !keepOpen {
			cancel()
		}
	}
	// A frozen entry VM answers only after it is unfrozen.
	timer := time.AfterFunc(5*time.Second, func() {
		for _, c := range closers {
			c()
		}
	})
	g.Answers()
	timer.Stop()
	for _, c := range closers {
		c()
	}
	g.Ended = time.Now()
	return g
}

// waitAnswer reports whether an answer that settles the filing arrived within
// timeout.
func waitAnswer(answered <-chan harness.FilingAnswer, timeout time.Duration) bool {
	select {
	case a := <-answered:
		return a.Verdict == verdict.Completed || a.Status != 0 && a.Verdict == verdict.NotRun
	case <-time.After(timeout):
		return false
	}
}

// filingTally counts the results of comparing journals with the answers to callers.
type filingTally struct {
	requests, completed, notRun, mayHaveRun int
	repeated, falseNotRun, wrongAnswers     int
	// superseded counts the not_run answers to superseded attempts of filings that
	// ran. Callers ignore such answers.
	superseded int
	// uncertainRan counts the filings with may_have_run that did run.
	uncertainRan int
	failed       map[string]int
	uncertain    map[string]int
	reasons      map[string]int
	faults       map[string]int
}

func newFilingTally() *filingTally {
	return &filingTally{failed: map[string]int{}, uncertain: map[string]int{}, reasons: map[string]int{}, faults: map[string]int{}}
}

func (y *filingTally) add(t *testing.T, g *harness.Filing, runs int, spans []faultSpan) {
	t.Helper()
	y.requests++
	if runs > 1 {
		y.repeated++
		t.Errorf("filing %s ran %d times", g.ID, runs)
	}
	for _, a := range g.Answers() {
		y.check(t, g, a, runs)
	}
	concluded := g.ConcludedVerdict()
	switch concluded {
	case verdict.Completed:
		y.completed++
		return
	case verdict.NotRun:
		y.notRun++
	default:
		y.mayHaveRun++
		y.uncertainRan += runs
		for _, a := range g.Answers() {
			if a.Verdict == verdict.MayHaveRun {
				y.reasons[fmt.Sprintf("%s/%d", a.Reason, a.Status)]++
			}
		}
	}
	for kind := range overlapping(g, spans) {
		y.failed[kind]++
		if concluded == verdict.MayHaveRun {
			y.uncertain[kind]++
		}
	}
}

func (y *filingTally) check(t *testing.T, g *harness.Filing, a harness.FilingAnswer, runs int) {
	t.Helper()
	switch {
	case a.Verdict == verdict.Completed && a.Text != "" && !strings.Contains(a.Text, `"id":"`+g.ID+`"`):
		y.wrongAnswers++
		t.Errorf("filing %s got a wrong answer: %s", g.ID, a.Text)
	case a.Verdict == verdict.Completed && runs == 0:
		y.wrongAnswers++
		t.Errorf("filing %s was answered completed but did not run", g.ID)
	case a.Status != 0 && a.Verdict == verdict.NotRun && runs > 0 && a.Superseded && !a.Spent():
		y.superseded++
		t.Logf("filing %s: attempt %d of %d was answered not_run (%s) after a later one was sent", g.ID, a.Number, len(g.Answers()), a.Reason)
	case a.Status != 0 && a.Verdict == verdict.NotRun && runs > 0:
		y.falseNotRun++
		t.Errorf("filing %s ran but attempt %d was answered not_run, reason %s", g.ID, a.Number, a.Reason)
	}
}

// overlapping returns the kinds of the faults that overlapped with a filing.
func overlapping(g *harness.Filing, spans []faultSpan) map[string]bool {
	kinds := map[string]bool{}
	for _, s := range spans {
		if s.from.Before(g.Ended) && s.to.After(g.Began) {
			kinds[s.kind] = true
		}
	}
	return kinds
}

func (y *filingTally) uncertainShares() string {
	var out []string
	for kind, n := range y.failed {
		out = append(out, fmt.Sprintf("%s:%d/%d", kind, y.uncertain[kind], n))
	}
	sort.Strings(out)
	return strings.Join(out, ",")
}

// runSchedule sends filings from several callers while faults are injected.
func runSchedule(t *testing.T, seed int64, requests int, sum *filingTally) {
	const callers = 10
	f := onceFleet(t, 4, 3, 16)
	defer f.Close() // the next seed starts a fleet of its own
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	i := newInjector(f, seed)
	var faults, work sync.WaitGroup
	for n := range uint64(3) {
		faults.Go(func() { i.run(ctx, n) })
	}
	faults.Go(func() { i.varyRunTimes(ctx) })
	filings := make([]*harness.Filing, requests)
	for c := range callers {
		work.Go(func() {
			r := rand.New(rand.NewPCG(uint64(seed), uint64(100+c)))
			for n := c; n < requests; n += callers {
				filings[n] = sendFiling(context.Background(), f, r, fmt.Sprintf("s%d-%d", seed, n))
			}
		})
	}
	work.Wait()
	stop()
	faults.Wait()
	// Wait for late deliveries and abandoned runs before counting.
	time.Sleep(1500 * time.Millisecond)
	runs, err := f.Runs()
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range filings {
		sum.add(t, g, runs[g.ID], i.spans)
	}
	for _, s := range i.spans {
		sum.faults[s.kind]++
	}
}

// Guards against a filing that runs twice and against a false verdict while
// processes are killed, frozen and cut off at random.
func TestOnceSchedule(t *testing.T) {
	sum := newFilingTally()
	for n := range amount(1, 4) {
		runSchedule(t, *seed+int64(n), amount(100, 260), sum)
	}
	t.Logf("faults: %v", sum.faults)
	t.Logf("answers with may_have_run, by reason and status: %v", sum.reasons)
	proved(t, "once_schedule", "requests", sum.requests, "completed", sum.completed, "not_run", sum.notRun,
		"may_have_run", sum.mayHaveRun, "of_which_ran", sum.uncertainRan, "runs_above_one", sum.repeated, "false_not_run", sum.falseNotRun,
		"wrong_answer", sum.wrongAnswers, "superseded_not_run", sum.superseded, "may_have_run_of_failed", sum.uncertainShares())
}
