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
	// onceStep lets a message pass between processes before the next fault.
	onceStep = 200 * time.Millisecond
	// onceLinkLoss is enough time to give up a silent link.
	onceLinkLoss = 5 * time.Second
)

var cutLink = harness.LinkFault{Cut: true}

// onceBench is a fleet with one agent, so that the ticket's agent is known.
type onceBench struct {
	t     *testing.T
	fleet *harness.Fleet
	agent *harness.Agent
}

func newOnceBench(t *testing.T, slots int) *onceBench {
	f := onceFleet(t, 3, 1, slots)
	return &onceBench{t: t, fleet: f, agent: f.Agents[0]}
}

// filing returns a filing with a ticket, once every entry VM can issue one.
func (b *onceBench) filing(id string) *harness.Filing { b.t.Helper(); return b.filingAt(2, id) }

// filingAt takes the ticket from an entry VM.
func (b *onceBench) filingAt(entry int, id string) *harness.Filing {
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

// waitLinked waits until all entry VMs see the present starts of all agents.
func (b *onceBench) waitLinked(ctx context.Context) {
	b.t.Helper()
	for _, a := range b.fleet.Agents {
		if err := b.fleet.WaitLinked(ctx, a); err != nil {
			b.t.Fatal(err)
		}
	}
}

func (b *onceBench) runTime(d time.Duration) {
	b.t.Helper()
	if err := b.agent.SetRunTime(context.Background(), d); err != nil {
		b.t.Fatal(err)
	}
}

func (b *onceBench) send(g *harness.Filing, entry int, limit time.Duration) <-chan harness.FilingAnswer {
	return g.Attempt(context.Background(), b.fleet.Entry(entry, g.Account), limit)
}

func (b *onceBench) runs(id string) int {
	b.t.Helper()
	runs, err := b.fleet.Runs()
	if err != nil {
		b.t.Fatal(err)
	}
	return runs[id]
}

// check compares all answers of a filing with its runs, also those to attempts
// that a later one followed: no answer may claim not_run for a filing that ran.
func (b *onceBench) check(g *harness.Filing, wantRuns int) {
	b.t.Helper()
	answers, runs := g.Answers(), b.runs(g.ID)
	if runs != wantRuns {
		b.t.Errorf("filing %s ran %d times, want %d", g.ID, runs, wantRuns)
	}
	for _, a := range answers {
		if a.Status != 0 && a.Verdict == verdict.NotRun && runs > 0 {
			b.t.Errorf("filing %s ran and attempt %d was told not_run, reason %s", g.ID, a.Number, a.Reason)
		}
		if a.Verdict == verdict.Completed && runs == 0 {
			b.t.Errorf("filing %s did not run and attempt %d was told completed", g.ID, a.Number)
		}
	}
}

// Guards against a false verdict when the agent is killed, and so loses its
// ledger, at each point of the exchange.
func TestOnceAgentKilledAtEachPoint(t *testing.T) {
	b := newOnceBench(t, 16)
	for _, c := range []struct {
		name string
		runs int
		want verdict.Verdict
		kill func(g *harness.Filing) <-chan harness.FilingAnswer
	}{
		{"before_send", 0, verdict.NotRun, func(g *harness.Filing) <-chan harness.FilingAnswer {
			b.agent.Kill()
			time.Sleep(onceLinkLoss)
			return b.send(g, 0, onceLimit)
		}},
		// The entry VM sends over a link of which it does not know yet that the
		// agent is gone, so nobody can tell that nothing arrived.
		{"before_send_unnoticed", 0, verdict.MayHaveRun, func(g *harness.Filing) <-chan harness.FilingAnswer {
			b.agent.Kill()
			return b.send(g, 0, onceLimit)
		}},
		{"after_send", 0, verdict.MayHaveRun, func(g *harness.Filing) <-chan harness.FilingAnswer {
			b.fleet.SetLink(b.fleet.Entries[0], b.agent, cutLink, harness.LinkFault{})
			answer := b.send(g, 0, onceLimit)
			time.Sleep(onceStep)
			b.agent.Kill()
			return answer
		}},
		{"during_run", 1, verdict.MayHaveRun, func(g *harness.Filing) <-chan harness.FilingAnswer {
			b.runTime(onceRunTime)
			answer := b.send(g, 0, onceLimit)
			time.Sleep(onceStep)
			b.agent.Kill()
			return answer
		}},
		{"before_answer", 1, verdict.MayHaveRun, func(g *harness.Filing) <-chan harness.FilingAnswer {
			b.fleet.SetLink(b.fleet.Entries[0], b.agent, harness.LinkFault{}, cutLink)
			answer := b.send(g, 0, onceLimit)
			time.Sleep(onceStep)
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
			time.Sleep(onceStep)
			is.NoErr(b.agent.Start())
			b.fleet.Heal()
			is.Equal((<-answer).Verdict, c.want)
			// The empty agent knows nothing of the ticket.
			again := <-b.send(g, 1, onceLimit)
			is.Equal(again.Verdict, verdict.MayHaveRun)
			b.check(g, c.runs)
		})
	}
	b.t = t
	proved(t, "once_agent_killed", "points", 5)
}

// Guards against a second run and a lost answer when the entry VM is killed at
// each point of the exchange and the caller sends again through another one.
func TestOnceEntryKilledAtEachPoint(t *testing.T) {
	b := newOnceBench(t, 16)
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
			time.Sleep(onceStep)
			entry.Kill()
			again := <-b.send(g, 1, onceLimit)
			is.Equal(again.Verdict, verdict.Completed)
			is.Equal(again.Text != "", true) // the stored answer or that of the run under way
			is.NoErr(entry.Start())
			b.fleet.Heal()
			b.check(g, 1)
		})
	}
	b.t = t
	proved(t, "once_entry_killed", "points", 4)
}

// freezeWith freezes an entry VM that holds the first attempt of a filing.
func (b *onceBench) freezeWith(g *harness.Filing) <-chan harness.FilingAnswer {
	b.t.Helper()
	if err := b.fleet.Entries[0].Freeze(); err != nil {
		b.t.Fatal(err)
	}
	answer := b.send(g, 0, onceLimit)
	time.Sleep(onceStep)
	return answer
}

func (b *onceBench) wake() {
	b.t.Helper()
	if err := b.fleet.Entries[0].Unfreeze(); err != nil {
		b.t.Fatal(err)
	}
}

// Guards against a second run by a frozen entry VM that delivers the first
// attempt after the caller got its answer through another entry VM.
func TestOnceFrozenEntryDeliversLate(t *testing.T) {
	b := newOnceBench(t, 1)
	t.Run("after_completed", func(t *testing.T) {
		is := is.New(t)
		b.t = t
		g := b.filing("late-completed")
		late := b.freezeWith(g)
		is.Equal((<-b.send(g, 1, onceLimit)).Verdict, verdict.Completed)
		b.wake()
		is.Equal((<-late).Verdict, verdict.Completed)
		b.check(g, 1)
	})
	t.Run("after_not_run", func(t *testing.T) {
		is := is.New(t)
		b.t = t
		b.runTime(2 * onceRunTime)
		g, other := b.filing("late-refused"), b.filing("occupies")
		late := b.freezeWith(g)
		b.send(other, 1, onceLimit) // takes the only slot
		time.Sleep(onceStep)
		refused := <-b.send(g, 1, onceStep)
		is.Equal(refused.Verdict, verdict.NotRun)
		is.Equal(refused.Spent(), true)
		other.Answers()
		b.wake()
		is.Equal((<-late).Verdict, verdict.NotRun)
		b.check(g, 0)
	})
	b.t = t
	proved(t, "once_frozen_entry", "cases", 2)
}

// Guards against a queued filing that runs after the entry VM asked for its fate
// over a new link and told the caller not_run.
func TestOnceResolvedWhileQueued(t *testing.T) {
	is := is.New(t)
	b := newOnceBench(t, 1)
	b.runTime(2 * onceLinkLoss)
	g, other := b.filing("resolved"), b.filing("occupies-slot")
	b.send(other, 1, 4*onceLinkLoss) // takes the only slot
	time.Sleep(onceStep)
	b.runTime(0)
	answer := b.send(g, 0, 4*onceLinkLoss)
	time.Sleep(onceStep)
	b.fleet.SetLink(b.fleet.Entries[0], b.agent, cutLink, cutLink)
	time.Sleep(onceLinkLoss)
	b.fleet.Heal()
	told := <-answer
	is.Equal(told.Verdict, verdict.NotRun)
	is.Equal(told.Spent(), true)
	is.Equal(other.Answers()[0].Verdict, verdict.Completed)
	time.Sleep(onceStep) // the slot is free
	b.check(g, 0)
	proved(t, "once_resolved_while_queued", "filings", 1)
}

// Guards against a not_run that trusts Ticket-Attempt: 1 although the attempt is
// old: a second one ran through another entry VM, and the record is gone.
func TestOnceOldFirstAttemptIsNotTrusted(t *testing.T) {
	b := newOnceBench(t, 16)
	entry := b.fleet.Entries[0]
	t.Run("frozen_entry", func(t *testing.T) {
		is := is.New(t)
		b.t = t
		g := b.filing("old-frozen")
		late := b.freezeWith(g)
		is.Equal((<-b.send(g, 1, onceLimit)).Verdict, verdict.Completed)
		is.NoErr(b.agent.Restart())
		time.Sleep(onceLinkLoss) // the woken entry VM finds its link closed
		b.wake()
		is.Equal((<-late).Verdict, verdict.MayHaveRun)
		b.check(g, 1)
	})
	t.Run("unreachable_agent", func(t *testing.T) {
		is := is.New(t)
		b.t = t
		g := b.filing("old-unreachable")
		b.fleet.SetLink(entry, b.agent, cutLink, cutLink)
		defer b.fleet.Heal()
		time.Sleep(onceLinkLoss)
		first := b.send(g, 0, 2*time.Second)
		time.Sleep(1100 * time.Millisecond)
		is.Equal((<-b.send(g, 1, onceLimit)).Verdict, verdict.Completed)
		early := <-first
		// An answer that came before the second attempt was sent is true.
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
	b := &onceBench{t: t, fleet: f}
	for n := range 6 {
		g := b.filing("views-" + string(rune('a'+n)))
		// Each entry VM reaches another agent only.
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

// Guards against a second run when a caller that lost its ticket takes another
// one for the same key. Entry VMs that see different agents may still choose
// different ones; a key is only the second safeguard.
func TestOnceTwoTicketsForOneKey(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f := onceFleet(t, 3, 3, 16)
	b := &onceBench{t: t, fleet: f}
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

// Guards against an uncertain answer for a ticket that expired unused, and
// against a run on it.
func TestOnceExpiredTicketIsCertain(t *testing.T) {
	is := is.New(t)
	f := onceFleet(t, 2, 1, 16, func(c *settings.EntryConfig) { c.TicketLifetime = tomlfile.Duration(time.Second) })
	b := &onceBench{t: t, fleet: f, agent: f.Agents[0]}
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
