package integration

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/standin"
)

const (
	streamModel   = "small"
	streamAccount = "alpha"
	// streamDeadline bounds one stream with all its resumes.
	streamDeadline = 40 * time.Second
	// streamAttempts exceeds the attempts that one fault can cost, and bounds a
	// stream that is refused repeatedly.
	streamAttempts = 20
)

// streamFleet starts entry VMs and agents with one model and one account.
func streamFleet(t *testing.T, entries, agents int, change func(*harness.Options), arguments ...string) *harness.Fleet {
	t.Helper()
	o := harness.Options{
		Bin: *binaries, Dir: t.TempDir(), Zones: []string{"zone-1", "zone-2", "zone-3"}, Entries: entries,
		Models:    []harness.ModelSpec{{Name: streamModel}},
		Templates: []harness.TemplateSpec{{Name: "gold", Rank: "top", Share: 0.5, Models: []string{streamModel}}},
		Accounts:  []harness.AccountSpec{{ID: streamAccount, Key: "key-alpha", Template: "gold"}},
	}
	for range agents {
		o.Agents = append(o.Agents, harness.AgentSpec{Kind: settings.KindModel, Backend: streamModel, Arguments: arguments})
	}
	if change != nil {
		change(&o)
	}
	f, err := harness.Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// streamFault is one kind of fault. inject returns a function that ends the fault.
type streamFault struct {
	name   string
	inject func(f *harness.Fleet, r *rand.Rand) (heal func() error)
}

func healNothing() error { return nil }

func killEntry(f *harness.Fleet, r *rand.Rand) func() error {
	e := f.Entries[r.IntN(len(f.Entries))]
	e.Kill()
	return e.Start
}

func killEngine(f *harness.Fleet, r *rand.Rand) func() error {
	a := f.Agents[r.IntN(len(f.Agents))]
	a.Backend.Kill()
	return a.Backend.Start
}

func killAgent(f *harness.Fleet, r *rand.Rand) func() error {
	a := f.Agents[r.IntN(len(f.Agents))]
	a.Kill()
	return a.Start
}

// injectBoth combines two faults into one.
func injectBoth(first, second func(*harness.Fleet, *rand.Rand) func() error) func(*harness.Fleet, *rand.Rand) func() error {
	return func(f *harness.Fleet, r *rand.Rand) func() error {
		one, two := first(f, r), second(f, r)
		return func() error {
			if err := one(); err != nil {
				return err
			}
			return two()
		}
	}
}

// faultyLinks sets a fault on all links to one agent.
func faultyLinks(fault harness.LinkFault) func(*harness.Fleet, *rand.Rand) func() error {
	return func(f *harness.Fleet, r *rand.Rand) func() error {
		relay := f.Agents[r.IntN(len(f.Agents))].Relay
		relay.SetFaults(fault, fault)
		return func() error {
			relay.Heal()
			return nil
		}
	}
}

// cutLinksBriefly cuts all links to one agent for less time than it takes to close
// them.
func cutLinksBriefly(f *harness.Fleet, r *rand.Rand) func() error {
	heal := faultyLinks(harness.LinkFault{Cut: true})(f, r)
	time.Sleep(time.Duration(100+r.IntN(900)) * time.Millisecond)
	_ = heal()
	return healNothing
}

// slowLinks delays and drops packets at every agent.
func slowLinks(f *harness.Fleet, _ *rand.Rand) func() error {
	fault := harness.LinkFault{Drop: 0.05, Delay: 5 * time.Millisecond}
	for _, a := range f.Agents {
		a.Relay.SetFaults(fault, fault)
	}
	return func() error {
		for _, a := range f.Agents {
			a.Relay.Heal()
		}
		return nil
	}
}

// cutBackend breaks the connections between an agent and its engine, both of which
// keep running.
func cutBackend(f *harness.Fleet, r *rand.Rand) func() error {
	p := f.Agents[r.IntN(len(f.Agents))].BackendFaults
	p.Cut()
	return p.Heal
}

// streamFaults holds the kinds of fault; each wave has one. No kind stops more than
// one server, because a request that is involved in two crashes is quarantined.
var streamFaults = []streamFault{
	{"entry killed", killEntry},
	{"engine killed", killEngine},
	{"agent killed", killAgent},
	{"entry and agent killed", injectBoth(killEntry, killAgent)},
	{"entry and engine killed", injectBoth(killEntry, killEngine)},
	{"links cut", faultyLinks(harness.LinkFault{Cut: true})},
	{"links cut for a moment", cutLinksBriefly},
	{"links slow and lossy", slowLinks},
	{"entry killed, links slow and lossy", injectBoth(slowLinks, killEntry)},
	{"connection to the engine broken", cutBackend},
}

// streamTally counts what callers received.
type streamTally struct {
	mu                                      sync.Mutex
	streams, wrong, gaps, repeats, resumed  int
	incomplete, withoutText, refusedResumes int
	longest                                 time.Duration
}

// check compares what a caller received with what the stand-in generates.
func (s *streamTally) check(t *testing.T, label string, call harness.Completion, o harness.Outcome) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams++
	s.gaps += o.MissingParts
	s.repeats += o.RepeatedParts
	s.resumed += min(1, len(o.Attempts)-1)
	s.longest = max(s.longest, o.Duration)
	if call.OmitGenerated && len(o.Attempts) > 1 {
		s.withoutText++
	}
	for _, a := range o.Attempts {
		if a.Status == 410 {
			s.refusedResumes++
		}
	}
	if !o.Complete {
		s.incomplete++
		t.Errorf("%s: request %s is incomplete with %d parts: %s; attempts %+v", label, o.RequestID, o.NextPart, o, o.Attempts)
	}
	want := standin.Text(call.Model, call.Prompt, call.MaxTokens)
	if o.Complete && sha256.Sum256([]byte(o.Text)) != sha256.Sum256([]byte(want)) {
		s.wrong++
		t.Errorf("%s: request %s has %d bytes whose hash differs from that of the %d generated ones", label, o.RequestID, len(o.Text), len(want))
	}
	if o.MissingParts+o.RepeatedParts > 0 {
		t.Errorf("%s: request %s skipped %d parts and repeated %d", label, o.RequestID, o.MissingParts, o.RepeatedParts)
	}
}

// streamWave runs concurrent streams and injects one fault while they run.
func streamWave(t *testing.T, f *harness.Fleet, r *rand.Rand, fault streamFault, wave, streams int, tally *streamTally) {
	t.Helper()
	label := fmt.Sprintf("seed %d wave %d (%s)", *seed, wave, fault.name)
	var group sync.WaitGroup
	for i := range streams {
		call := harness.Completion{
			Model: streamModel, MaxTokens: 60 + r.IntN(80), MaxAttempts: streamAttempts,
			Prompt:        fmt.Sprintf("seed %d wave %d stream %d", *seed, wave, i),
			OmitGenerated: r.IntN(2) == 0,
			Whole:         r.IntN(8) == 0,
		}
		pause := time.Duration(r.IntN(100)) * time.Millisecond
		client := f.ClientFrom(streamAccount, r.IntN(len(f.Entries)))
		group.Go(func() {
			time.Sleep(pause)
			ctx, cancel := context.WithTimeout(t.Context(), streamDeadline)
			defer cancel()
			tally.check(t, label, call, client.Complete(ctx, call))
		})
	}
	time.Sleep(time.Duration(150+r.IntN(300)) * time.Millisecond)
	heal := fault.inject(f, r)
	group.Wait()
	if err := heal(); err != nil {
		t.Fatalf("%s: %v", label, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), streamDeadline)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatalf("%s: %v", label, err)
	}
}

// Guards against answers with gaps, repeats, another caller's parts or no end
// when an entry VM, an agent, an engine or a link fails during a stream.
func TestStreamsWholeUnderFaults(t *testing.T) {
	f := streamFleet(t, 3, 3, func(o *harness.Options) { o.UDPFaults, o.TCPFaults = true, true }, "--step-base", "6ms")
	r := rand.New(rand.NewPCG(uint64(*seed), 1))
	streams := amount(60, 600)
	const perWave = 6
	var tally streamTally
	for wave := 0; wave < streams/perWave; {
		for _, i := range r.Perm(len(streamFaults)) {
			streamWave(t, f, r, streamFaults[i], wave, perWave, &tally)
			wave++
		}
	}
	proved(t, "streams_whole", "streams", tally.streams, "wrong", tally.wrong, "incomplete", tally.incomplete, "gaps", tally.gaps,
		"repeats", tally.repeats, "resumed_or_retried", tally.resumed, "resumed_without_generated", tally.withoutText,
		"resumes_refused_410", tally.refusedResumes, "longest_ms", tally.longest.Milliseconds())
}

// Guards against parts that reach another caller's stream when many streams
// share the links.
func TestStreamsDoNotMix(t *testing.T) {
	f := streamFleet(t, 3, 3, nil, "--step-base", "5ms")
	var tally streamTally
	var group sync.WaitGroup
	for i := range amount(120, 600) {
		client := f.ClientFrom(streamAccount, i%len(f.Entries))
		call := harness.Completion{Model: streamModel, MaxTokens: 30, Prompt: fmt.Sprintf("mix %d of seed %d", i, *seed), MaxAttempts: streamAttempts}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), streamDeadline)
			defer cancel()
			tally.check(t, "mix", call, client.Complete(ctx, call))
		})
	}
	group.Wait()
	proved(t, "streams_do_not_mix", "streams", tally.streams, "wrong", tally.wrong, "incomplete", tally.incomplete)
}
