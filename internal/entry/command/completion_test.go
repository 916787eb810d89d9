package command

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

func part(m *wire.Submit, number uint64, text string) *wire.Part {
	return &wire.Part{Attempt: m.Attempt, Number: number, Text: text, Tokens: 1}
}

func collect(b *Buffer) (string, []Part, *StreamEnd) {
	var text strings.Builder
	var all []Part
	for {
		parts, end := b.Next()
		if end != nil {
			return text.String(), all, end
		}
		for _, p := range parts {
			text.WriteString(p.Text)
		}
		all = append(all, parts...)
	}
}

var prompt = Completion{Model: "m", Prompt: "p", MaxTokens: 8}

// Guards against lost, duplicated or reordered parts if the engine crashes during
// a stream and another agent continues it.
func TestStreamContinuesOnAnotherAgent(t *testing.T) {
	is := is.New(t)
	f, commands := newFleet(t)
	script := func(s *fakeStream, m wire.Message) {
		submit := m.(*wire.Submit)
		if submit.Completion.Generated == "" {
			s.reply(part(submit, 1, "b"), part(submit, 0, "a"), part(submit, 0, "a"),
				&wire.Refused{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonServerCrashed, Status: 502})
			return
		}
		if submit.Completion.Generated != "ab" || submit.Completion.NextPart != 2 || submit.Completion.MaxTokens != 6 {
			t.Errorf("second Submit has %+v", submit.Completion)
		}
		late := part(submit, 2, "late")
		late.Attempt--
		s.reply(late, part(submit, 2, "c"), &wire.Done{Parts: 3, FinishReason: "stop"})
	}
	f.add("agent-1", wire.Report{Model: "m"}, script)
	f.add("agent-2", wire.Report{Model: "m"}, script)
	buffer, e := commands.StartCompletion(context.Background(), newCall(time.Second), prompt)
	is.Equal(e, nil)
	text, parts, end := collect(buffer)
	is.Equal(end.Refusal, nil)
	is.Equal(text, "abc")
	is.True(parts[0].Token != "" && parts[1].Token == "" && parts[2].Token != "") // each attempt sends its own token
}

// Guards against a stream that has begun and ends as complete, or with the error of the next
// agent among its parts, when the next agent refuses it or fails.
func TestErrorOfTheNextAgentEndsTheStreamAsIncomplete(t *testing.T) {
	for name, next := range map[string][]wire.Message{
		"refused, not run":            {&wire.Refused{Verdict: verdict.NotRun, Reason: verdict.ReasonOverloaded, Status: 503, Detail: "ERROR"}},
		"invalid":                     {&wire.Refused{Verdict: verdict.NotRun, Reason: verdict.ReasonBadRequest, Status: 400, Detail: "ERROR"}},
		"failed":                      {&wire.Refused{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonServerFailed, Status: 502, Detail: "ERROR"}},
		"response of a plain service": {&wire.Response{Status: 500}, &wire.Chunk{Data: []byte("ERROR")}, &wire.Done{}},
		"end without the rest":        {&wire.Done{Parts: 5, FinishReason: "stop"}, &wire.Refused{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonServerFailed, Status: 502}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, commands := newFleet(t)
			script := func(s *fakeStream, m wire.Message) {
				submit := m.(*wire.Submit)
				if submit.Completion.Generated == "" {
					s.reply(part(submit, 0, "a"), part(submit, 1, "b"), &wire.Refused{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonServerCrashed, Status: 502})
					return
				}
				s.reply(next...)
			}
			a, b := f.add("agent-1", wire.Report{Model: "m"}, script), f.add("agent-2", wire.Report{Model: "m"}, script)
			buffer, e := commands.StartCompletion(context.Background(), newCall(time.Second), prompt)
			is.Equal(e, nil)
			text, _, end := collect(buffer)
			is.Equal(text, "ab")
			is.True(end.Refusal != nil)
			is.Equal(end.Refusal.Verdict, verdict.MayHaveRun)
			is.Equal(len(a.submits())+len(b.submits()), 2)
		})
	}
}

// Guards against a request that crashes every server that it runs on, and against
// not_run for a request whose first attempt ran.
func TestCrashIsRetriedOnceWithTrueVerdict(t *testing.T) {
	for _, second := range []*wire.Refused{
		{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonServerCrashed, Status: 502},
		{Verdict: verdict.NotRun, Reason: verdict.ReasonBadRequest, Status: 400},
	} {
		is := is.New(t)
		f, commands := newFleet(t)
		sent := 0
		for _, name := range []string{"agent-1", "agent-2", "agent-3"} {
			f.add(fleet.ProcessID(name), wire.Report{Model: "m"}, func(s *fakeStream, _ wire.Message) {
				sent++
				if sent == 1 {
					s.reply(&wire.Refused{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonServerCrashed, Status: 502})
					return
				}
				s.reply(second)
			})
		}
		buffer, _ := commands.StartCompletion(context.Background(), newCall(time.Second), prompt)
		_, _, end := collect(buffer)
		is.Equal(end.Refusal.Verdict, verdict.MayHaveRun)
		is.Equal(sent, 2)
	}
}

// Guards against retries that multiply the load after the retry budget is used up.
func TestBudgetEndsRetries(t *testing.T) {
	is := is.New(t)
	f, commands := newFleet(t)
	sent := 0
	full := func(s *fakeStream, _ wire.Message) {
		sent++
		s.reply(&wire.Refused{Verdict: verdict.NotRun, Reason: verdict.ReasonQueueFull, Status: 503, RetryAfter: 1000})
	}
	f.add("agent-1", wire.Report{Model: "m"}, full)
	f.add("agent-2", wire.Report{Model: "m"}, full)
	for range 20 {
		buffer, _ := commands.StartCompletion(context.Background(), newCall(time.Second), prompt)
		_, _, end := collect(buffer)
		is.Equal(end.Refusal.RetryAfter, time.Second)
	}
	is.Equal(sent, 23) // 20 requests and the 3 retries that the budget starts with
}

// Guards against an engine that continues to work for a caller that closed its
// connection.
func TestClosedConnectionCancelsRun(t *testing.T) {
	is := is.New(t)
	f, commands := newFleet(t)
	a := f.add("agent-1", wire.Report{Model: "m"}, func(s *fakeStream, m wire.Message) { s.reply(part(m.(*wire.Submit), 0, "a")) })
	ctx, hangUp := context.WithCancel(context.Background())
	buffer, _ := commands.StartCompletion(ctx, newCall(time.Minute), prompt)
	buffer.Next()
	hangUp()
	_, _, end := collect(buffer)
	is.Equal(end.Refusal.Reason, verdict.ReasonCanceled)
	is.True(a.canceled())
}

// Guards against a resumed stream that repeats or loses text. It continues from
// the agent's parts or, after a restart of the agent, from the caller's own text.
func TestResumeFromAgentOrFromCallersText(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		is := is.New(t)
		f, commands := newFleet(t)
		a := f.add("agent-1", wire.Report{Model: "m"}, func(s *fakeStream, m wire.Message) {
			switch m := m.(type) {
			case *wire.Attach:
				s.reply(&wire.Part{Attempt: 4, Number: m.NextPart, Text: "c"}, &wire.Done{Parts: 3})
			case *wire.Submit:
				if m.Completion.Generated != "ab" {
					t.Errorf("Submit after the restart has the text %q", m.Completion.Generated)
				}
				s.reply(part(m, m.Completion.NextPart, "c"), &wire.Done{Parts: 3})
			}
		})
		c := commands.newCompletion(newCall(time.Second), prompt)
		token := c.streamToken("agent-1", 1)
		if restarted {
			a.start = 2
		}
		resumed := prompt
		resumed.Resume = &Resume{StreamToken: token, NextPart: 2, Generated: "ab"}
		buffer, e := commands.StartCompletion(context.Background(), newCall(time.Second), resumed)
		is.Equal(e, nil)
		text, parts, end := collect(buffer)
		is.Equal(end.Refusal, nil)
		is.Equal(text, "c")
		is.Equal(parts[0].Number, uint64(2))
		is.Equal(len(a.submits()), map[bool]int{false: 0, true: 1}[restarted])
	}
}

// Guards against unbounded memory use for a caller that does not read.
func TestSlowCallerStopsTheProducer(t *testing.T) {
	is := is.New(t)
	b := newBuffer(10)
	is.True(b.put(Part{Text: "0123456789"}))
	taken := make(chan bool)
	go func() { taken <- b.put(Part{Text: "x"}) }()
	select {
	case <-taken:
		t.Fatal("the buffer accepted more bytes than its limit")
	case <-time.After(20 * time.Millisecond):
	}
	b.Next()
	is.True(<-taken)
}

// Guards against callers that raise their rank above that of their template.
func TestRankIsNeverRaised(t *testing.T) {
	is := is.New(t)
	account := newCall(0).Account // its template has the rank middle
	for wish, want := range map[string]fleet.Rank{"": fleet.RankMiddle, "top": fleet.RankMiddle, "middle": fleet.RankMiddle, "bottom": fleet.RankBottom} {
		rank, e := Rank(account, wish)
		is.Equal(e, nil)
		is.Equal(rank, want)
	}
}

// Guards against an extra token if all tokens arrived and only the end of the
// stream was lost.
func TestLostEndAfterLastTokenNeedsNoAttempt(t *testing.T) {
	is := is.New(t)
	f, commands := newFleet(t)
	attempts := 0
	script := func(s *fakeStream, m wire.Message) {
		attempts++
		for n := range prompt.MaxTokens {
			s.reply(part(m.(*wire.Submit), uint64(n), "x"))
		}
		s.reply(&wire.Refused{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonServerCrashed, Status: 502})
	}
	f.add("agent-1", wire.Report{Model: "m"}, script)
	f.add("agent-2", wire.Report{Model: "m"}, script)
	buffer, e := commands.StartCompletion(context.Background(), newCall(time.Second), prompt)
	is.Equal(e, nil)
	text, _, end := collect(buffer)
	is.Equal(end.Refusal, nil)
	is.Equal(text, "xxxxxxxx")
	is.Equal(attempts, 1)
}
