package integration

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	onceLimit   = 5 * time.Second
	onceRunTime = 500 * time.Millisecond
	// onceMessageTime is the time for a message between processes to arrive before
	// the next fault.
	onceMessageTime = 200 * time.Millisecond
	// onceLinkTimeout is longer than the time after which a silent link is closed.
	onceLinkTimeout = 5 * time.Second
)

var cutLink = harness.LinkFault{Cut: true}

// onceFixture is a fleet to which filings are sent. agent is set if the fleet has
// only one agent, which is then the agent of every ticket.
type onceFixture struct {
	t     *testing.T
	fleet *harness.Fleet
	agent *harness.Agent
}

func newOnceFixture(t *testing.T, slots int) *onceFixture {
	f := onceFleet(t, 3, 1, slots)
	return &onceFixture{t: t, fleet: f, agent: f.Agents[0]}
}

// filing returns a filing with a ticket, once every entry VM can issue one.
func (b *onceFixture) filing(id string) *harness.Filing { b.t.Helper(); return b.filingAt(2, id) }

// filingAt is like filing, with a ticket from the given entry VM.
func (b *onceFixture) filingAt(entry int, id string) *harness.Filing {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if err := b.fleet.WaitReady(ctx); err != nil {
		b.t.Fatal(err)
	}
	b.waitLinked(ctx)
	g := &harness.Filing{ID: id, Service: "records", Account: "acme"}
	g.Ticket, _ = b.fleet.Entry(entry, g.Account).Ticket(ctx, g.Service, "")
	return g
}

// waitLinked waits until all entry VMs are linked to the current start of every
// agent.
func (b *onceFixture) waitLinked(ctx context.Context) {
	b.t.Helper()
	for _, a := range b.fleet.Agents {
		if err := b.fleet.WaitLinked(ctx, a); err != nil {
			b.t.Fatal(err)
		}
	}
}

func (b *onceFixture) runTime(d time.Duration) {
	b.t.Helper()
	if err := b.agent.SetRunTime(context.Background(), d); err != nil {
		b.t.Fatal(err)
	}
}

func (b *onceFixture) send(g *harness.Filing, entry int, limit time.Duration) <-chan harness.FilingAnswer {
	return g.Attempt(context.Background(), b.fleet.Entry(entry, g.Account), limit)
}

func (b *onceFixture) runs(id string) int {
	b.t.Helper()
	runs, err := b.fleet.Runs()
	if err != nil {
		b.t.Fatal(err)
	}
	return runs[id]
}

// waitRun waits until a filing has begun to run.
func (b *onceFixture) waitRun(g *harness.Filing) {
	b.t.Helper()
	for end := time.Now().Add(onceLimit); b.runs(g.ID) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("filing %s does not run", g.ID)
		}
	}
}

// check compares all answers of a filing, including those to superseded attempts,
// with its runs: no answer may claim not_run for a filing that ran.
func (b *onceFixture) check(g *harness.Filing, wantRuns int) {
	b.t.Helper()
	answers, runs := g.Answers(), b.runs(g.ID)
	if runs != wantRuns {
		b.t.Errorf("filing %s ran %d times, want %d", g.ID, runs, wantRuns)
	}
	for _, a := range answers {
		if a.Status != 0 && a.Verdict == verdict.NotRun && runs > 0 {
			b.t.Errorf("filing %s ran but attempt %d was answered not_run, reason %s", g.ID, a.Number, a.Reason)
		}
		if a.Verdict == verdict.Completed && runs == 0 {
			b.t.Errorf("filing %s did not run but attempt %d was answered completed", g.ID, a.Number)
		}
	}
}

// Guards against a false verdict when the agent is killed, and so loses its
// ledger, at each point of the exchange.
func TestOnceAgentKilledAtEachPoint(t *testing.T) {
	b := newOnceFixture(t, 16)
	for _, c := range []struct {
		name string
		runs int
		want verdict.Verdict
		kill func(g *harness.Filing) <-chan harness.FilingAnswer
	}{
		{"before_send", 0, verdict.NotRun, func(g *harness.Filing) <-chan harness.FilingAnswer {
			b.agent.Kill()
			time.Sleep(onceLinkTimeout)
			return b.send(g, 0, onceLimit)
		}},
		// The entry VM has not yet detected the loss of the link over which it sends,
		// so it cannot know that nothing arrived.
		{"before_send_unnoticed", 0, verdict.MayHaveRun, func(g *harness.Filing) <-chan harness.FilingAnswer {
			b.agent.Kill()
			return b.send(g, 0, onceLimit)
		}},
		{"after_send", 0, verdict.MayHaveRun, func(g *harness.Filing) <-chan harness.FilingAnswer {
			b.fleet.SetLink(b.fleet.Entries[0], b.agent, cutLink, harness.LinkFault{})
			answer := b.send(g, 0, onceLimit)
			time.Sleep(onceMessageTime)
			b.agent.Kill()
			return answer
		}},
		{"during_run", 1, verdict.MayHaveRun, func(g *harness.Filing) <-chan harness.FilingAnswer {
			b.runTime(onceRunTime)
			answer := b.send(g, 0, onceLimit)
			time.Sleep(onceMessageTime)
			b.agent.Kill()
			return answer
		}},
		{"before_answer", 1, verdict.MayHaveRun, func(g *harness.Filing) <-chan harness.FilingAnswer {
			b.fleet.SetLink(b.fleet.Entries[0], b.agent, harness.LinkFault{}, cutLink)
			answer := b.send(g, 0, onceLimit)
			time.Sleep(onceMessageTime)
			b.agent.Kill()
			return answer
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b.t = t
			b.runTime(0)
			g := b.filing("agent-" + c.name)
			answer := c.kill(g)
			time.Sleep(onceMessageTime)
			is.NoErr(b.agent.Start())
			b.fleet.Heal()
			is.Equal((<-answer).Verdict, c.want)
			// The restarted agent has no record of the ticket.
			again := <-b.send(g, 1, onceLimit)
			is.Equal(again.Verdict, verdict.MayHaveRun)
			b.check(g, c.runs)
		})
	}
	b.t = t
	proved(t, "once_agent_killed", "points", 5)
}

// Guards against a second run and a lost answer when the entry VM is killed at
// each point of the exchange and the caller retries through another one.
func TestOnceEntryKilledAtEachPoint(t *testing.T) {
	b := newOnceFixture(t, 16)
	entry := b.fleet.Entries[0]
	for _, c := range []struct {
		name    string
		runTime time.Duration
		toAgent harness.LinkFault
		toEntry harness.LinkFault
	}{
		{name: "before_send"},
		{name: "after_send", toAgent: cutLink},
		{name: "during_run", runTime: onceRunTime},
		{name: "before_answer", toEntry: cutLink},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b.t = t
			b.runTime(c.runTime)
			g := b.filing("entry-" + c.name)
			b.fleet.SetLink(entry, b.agent, c.toAgent, c.toEntry)
			if c.name == "before_send" {
				entry.Kill()
			}
			b.send(g, 0, onceLimit)
			time.Sleep(onceMessageTime)
			entry.Kill()
			again := <-b.send(g, 1, onceLimit)
			is.Equal(again.Verdict, verdict.Completed)
			is.Equal(again.Text != "", true) // the stored answer or that of the run in progress
			is.NoErr(entry.Start())
			b.fleet.Heal()
			b.check(g, 1)
		})
	}
	b.t = t
	proved(t, "once_entry_killed", "points", 4)
}

// sendToFrozenEntry freezes an entry VM and sends it the first attempt of a filing.
func (b *onceFixture) sendToFrozenEntry(g *harness.Filing) <-chan harness.FilingAnswer {
	b.t.Helper()
	if err := b.fleet.Entries[0].Freeze(); err != nil {
		b.t.Fatal(err)
	}
	answer := b.send(g, 0, onceLimit)
	time.Sleep(onceMessageTime)
	return answer
}

func (b *onceFixture) unfreezeEntry() {
	b.t.Helper()
	if err := b.fleet.Entries[0].Unfreeze(); err != nil {
		b.t.Fatal(err)
	}
}

// Guards against a second run by a frozen entry VM that delivers the first
// attempt after the caller got its answer through another entry VM.
func TestOnceFrozenEntryDeliversLate(t *testing.T) {
	b := newOnceFixture(t, 1)
	t.Run("after_completed", func(t *testing.T) {
		is := is.New(t)
		b.t = t
		g := b.filing("late-completed")
		late := b.sendToFrozenEntry(g)
		is.Equal((<-b.send(g, 1, onceLimit)).Verdict, verdict.Completed)
		b.unfreezeEntry()
		is.Equal((<-late).Verdict, verdict.Completed)
		b.check(g, 1)
	})
	t.Run("after_not_run", func(t *testing.T) {
		is := is.New(t)
		b.t = t
		b.runTime(2 * onceRunTime)
		g, other := b.filing("late-refused"), b.filing("occupies")
		late := b.sendToFrozenEntry(g)
		b.send(other, 1, onceLimit)
		b.waitRun(other) // it has the only slot
		refused := <-b.send(g, 1, onceMessageTime)
		t.Logf("the attempt with a short limit: status=%d verdict=%s reason=%s", refused.Status, refused.Verdict, refused.Reason)
		is.Equal(refused.Verdict, verdict.NotRun)
		is.Equal(refused.Spent(), true)
		other.Answers()
		b.unfreezeEntry()
		is.Equal((<-late).Verdict, verdict.NotRun)
		b.check(g, 0)
	})
	b.t = t
	proved(t, "once_frozen_entry", "cases", 2)
}

// Guards against a queued filing that runs after the entry VM resolved its ticket
// over a new link and answered not_run to the caller.
func TestOnceResolvedWhileQueued(t *testing.T) {
	is := is.New(t)
	b := newOnceFixture(t, 1)
	b.runTime(2 * onceLinkTimeout)
	g, other := b.filing("resolved"), b.filing("occupies-slot")
	b.send(other, 1, 4*onceLinkTimeout)
	b.waitRun(other) // it has the only slot
	b.runTime(0)
	answer := b.send(g, 0, 4*onceLinkTimeout)
	time.Sleep(onceMessageTime)
	b.fleet.SetLink(b.fleet.Entries[0], b.agent, cutLink, cutLink)
	time.Sleep(onceLinkTimeout)
	b.fleet.Heal()
	result := <-answer
	is.Equal(result.Verdict, verdict.NotRun)
	is.Equal(result.Spent(), true)
	is.Equal(other.Answers()[0].Verdict, verdict.Completed)
	time.Sleep(onceMessageTime) // the slot is free
	b.check(g, 0)
	proved(t, "once_resolved_while_queued", "filings", 1)
}

// Guards against a not_run answer that relies on Ticket-Attempt: 1 although the
// attempt is old: a second one ran through another entry VM, and its record is lost.
func TestOnceOldFirstAttemptIsNotTrusted(t *testing.T) {
	b := newOnceFixture(t, 16)
	entry := b.fleet.Entries[0]
	t.Run("frozen_entry", func(t *testing.T) {
		is := is.New(t)
		b.t = t
		g := b.filing("old-frozen")
		late := b.sendToFrozenEntry(g)
		is.Equal((<-b.send(g, 1, onceLimit)).Verdict, verdict.Completed)
		is.NoErr(b.agent.Restart())
		time.Sleep(onceLinkTimeout) // once unfrozen, the entry VM finds its link closed
		b.unfreezeEntry()
		is.Equal((<-late).Verdict, verdict.MayHaveRun)
		b.check(g, 1)
	})
	t.Run("unreachable_agent", func(t *testing.T) {
		is := is.New(t)
		b.t = t
		g := b.filing("old-unreachable")
		b.fleet.SetLink(entry, b.agent, cutLink, cutLink)
		defer b.fleet.Heal()
		time.Sleep(onceLinkTimeout)
		first := b.send(g, 0, 2*time.Second)
		time.Sleep(1100 * time.Millisecond)
		is.Equal((<-b.send(g, 1, onceLimit)).Verdict, verdict.Completed)
		early := <-first
		// A not_run answer that arrived before the second attempt was sent is correct.
		if early.Superseded {
			is.Equal(early.Verdict, verdict.MayHaveRun)
		}
		is.Equal(b.runs(g.ID), 1)
	})
	b.t = t
	proved(t, "once_old_first_attempt", "cases", 2)
}

// Guards against two runs of one ticket when two entry VMs hold different views
// of the fleet.
func TestOnceDifferentViews(t *testing.T) {
	is := is.New(t)
	f := onceFleet(t, 3, 3, 16)
	b := &onceFixture{t: t, fleet: f}
	for n := range 6 {
		g := b.filing("views-" + string(rune('a'+n)))
		// Each entry VM reaches only one agent, and each a different one.
		for e := range 2 {
			for a, agent := range f.Agents {
				if a != (e+n)%3 {
					f.SetLink(f.Entries[e], agent, cutLink, cutLink)
				}
			}
		}
		first := b.send(g, 0, time.Second)
		second := b.send(g, 1, time.Second)
		<-first
		<-second
		f.Heal()
		is.Equal((<-b.send(g, 2, onceLimit)).Superseded, false)
		runs, err := f.Runs()
		is.NoErr(err)
		is.True(runs[g.ID] <= 1)
	}
	proved(t, "once_different_views", "filings", 6)
}

// Guards against a second run when a caller that lost its ticket requests another
// one for the same key. Entry VMs that see different agents may still choose
// different ones; the key is only a secondary safeguard.
func TestOnceTwoTicketsForOneKey(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f := onceFleet(t, 3, 3, 16)
	b := &onceFixture{t: t, fleet: f}
	b.waitLinked(ctx)
	for n := range 10 {
		key := "key-" + string(rune('a'+n))
		o := [2]*harness.Filing{{ID: key, Service: "records", Account: "acme"}, {ID: key, Service: "records", Account: "acme"}}
		for i, g := range o {
			g.Ticket, _ = f.Entry(i, "acme").Ticket(ctx, g.Service, key)
			is.Equal((<-b.send(g, i, onceLimit)).Verdict, verdict.Completed)
		}
		is.True(o[0].Ticket != o[1].Ticket)
		is.Equal(b.runs(key), 1)
	}
	proved(t, "once_two_tickets_for_one_key", "keys", 10)
}

// Guards against an answer of may_have_run for a ticket that expired unused, and
// against a run with such a ticket.
func TestOnceExpiredTicketIsCertain(t *testing.T) {
	is := is.New(t)
	f := onceFleet(t, 2, 1, 16, func(c *settings.EntryConfig) { c.TicketLifetime = tomlfile.Duration(time.Second) })
	b := &onceFixture{t: t, fleet: f, agent: f.Agents[0]}
	unused, used := b.filingAt(1, "expired-unused"), b.filingAt(1, "expired-used")
	is.Equal((<-b.send(used, 0, onceLimit)).Verdict, verdict.Completed)
	time.Sleep(1500 * time.Millisecond)
	for range 2 {
		is.Equal((<-b.send(unused, 0, onceLimit)).Verdict, verdict.NotRun)
		is.Equal((<-b.send(used, 1, onceLimit)).Verdict, verdict.Completed)
	}
	b.check(unused, 0)
	b.check(used, 1)
	proved(t, "once_expired_ticket", "tickets", 2)
}
