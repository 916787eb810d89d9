package agent

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/ledger"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// begin queues a run and starts the goroutine that carries it out.
func (a *agent) begin(r *run) {
	if e := a.queue.Push(r.item); e != nil {
		r.refuse(e)
		a.settle(r)
		return
	}
	a.recorder.Record("request.accepted", r.submit.Request, events.F("rank", r.submit.Rank.String()), events.F("attempt", r.submit.Attempt))
	a.notify()
	go a.execute(r)
}

// execute carries out a queued run.
func (a *agent) execute(r *run) {
	expiry := time.AfterFunc(time.Until(r.deadline), r.expire)
	defer expiry.Stop()
	if a.waitForSlot(r) {
		answer := a.call(r)
		a.noteOutcome(r, answer)
		a.finish(r, answer)
		a.rate.add(r.item.Tokens, time.Now())
		a.queue.Done(r.item, r.usedTokens(answer))
	}
	a.settle(r)
}

// waitForSlot returns true when the run holds a slot and may begin.
func (a *agent) waitForSlot(r *run) bool {
	select {
	case <-r.item.Ready():
	case <-r.state.Finished():
	}
	if r.state.State() == ledger.Queued {
		if e := r.item.Refused(); e != nil {
			r.refuse(e)
			return false
		}
		return true
	}
	if !a.queue.Remove(r.item) && r.item.Refused() == nil {
		a.queue.Done(r.item, 0)
	}
	return false
}

// beginner returns the check that runs right before the request is written:
// the process may have been paused since the run was given its slot.
func (a *agent) beginner(r *run) func() error {
	return func() error {
		if !time.Now().Before(r.deadline) {
			r.expire()
		}
		if a.quarantine.State(r.submit.Fingerprint) == quarantine.Quarantined {
			r.refuse(quarantinedError())
		}
		a.runs.calls(r, a.server.snapshot().start)
		if err := r.state.Begin(); err != nil {
			return err
		}
		a.meters.runs.Inc(1)
		a.recorder.Record("request.begun", r.submit.Request)
		return nil
	}
}

// call runs the request on the backend server and returns its answer.
func (a *agent) call(r *run) ledger.Answer {
	var answer ledger.Answer
	var err error
	if r.submit.Completion != nil {
		answer, err = a.callEngine(r)
	} else {
		answer, err = a.callService(r)
	}
	if err == nil {
		return answer
	}
	return refusal(a.failure(r, err))
}

// failure turns the error of a call into the failure to answer with.
func (a *agent) failure(r *run, err error) *verdict.Error {
	cause := context.Cause(r.ctx)
	switch r.state.State() {
	case ledger.Queued:
		return a.notBegun(cause)
	case ledger.Spent:
		return r.state.Answer().Err
	}
	if cause != nil {
		return uncertain(verdict.From(cause))
	}
	var known *verdict.Error
	if errors.As(err, &known) {
		return known
	}
	return a.connectionBroken(r, err)
}

// notBegun returns the failure of a run of which nothing was written.
func (a *agent) notBegun(cause error) *verdict.Error {
	if cause != nil {
		return verdict.From(cause)
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	a.probe(ctx, 1)
	return serverDownError()
}

// uncertain returns the error of a run that was ended after it began.
func uncertain(e *verdict.Error) *verdict.Error {
	c := *e
	c.Verdict = verdict.MayHaveRun
	return &c
}

// finish gives the run its answer.
func (a *agent) finish(r *run, answer ledger.Answer) {
	if r.state.State() == ledger.Queued && answer.Err != nil && r.refuse(answer.Err) {
		return
	}
	if r.ticketed() {
		a.ledger.Finish(r.ticket.Request, answer)
	} else {
		r.state.Finish(answer)
	}
	if answer.Err == nil {
		a.succeeded(r)
	}
	if c := r.submit.Completion; c != nil && answer.Err == nil {
		a.cache.completed(c.Model, c.Prompt)
	}
}

// settle records how the run ended and forgets it: a stream after its grace
// period, everything else at once.
func (a *agent) settle(r *run) {
	r.cancel(nil)
	a.runs.settled(r)
	a.recordEnd(r)
	a.notify()
	if r.buffer == nil || r.state.State() == ledger.Spent {
		a.runs.remove(r)
		return
	}
	time.AfterFunc(a.config.ResumeGrace.Std(), func() { a.runs.remove(r) })
}

func (a *agent) recordEnd(r *run) {
	answer := r.state.Answer()
	switch e := answer.Err; {
	case e == nil:
		a.recorder.Record("request.completed", r.submit.Request, events.F("tokens", answer.Done.CompletionTokens))
	case e.Reason == verdict.ReasonCanceled:
		a.recorder.Record("request.canceled", r.submit.Request, events.F("verdict", string(e.Verdict)))
	case e.Verdict == verdict.NotRun:
		a.noteRefusal(r.submit.Request, e)
	default:
		a.recorder.Record("request.failed", r.submit.Request, events.F("reason", string(e.Reason)), events.F("verdict", string(e.Verdict)))
	}
	a.meters.tokens.Inc(r.generated())
}

// generated returns the number of parts that the engine sent.
func (r *run) generated() int64 {
	if r.buffer == nil {
		return 0
	}
	return int64(r.buffer.next() - r.submit.Completion.NextPart)
}

// usedTokens returns what the run cost.
func (r *run) usedTokens(answer ledger.Answer) int64 {
	if r.buffer == nil {
		return r.item.Tokens
	}
	if used := answer.Done.PromptTokens + answer.Done.CompletionTokens; used > 0 {
		return int64(used)
	}
	return int64(len(r.submit.Completion.Prompt)/bytesPerToken) + r.generated()
}
