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

// enqueue adds a run to the queue and starts the goroutine that executes it. If
// the queue refuses the run, it is settled immediately.
func (a *agent) enqueue(r *run) {
	if e := a.queue.Push(r.item); e != nil {
		r.refuse(e)
		a.settle(r)
		return
	}
	a.recorder.Record("request.accepted", r.submit.Request, events.F("rank", r.submit.Rank.String()), events.F("attempt", r.submit.Attempt))
	a.triggerReport()
	go a.execute(r)
}

// execute waits for a slot and runs the request until it ends or expires.
func (a *agent) execute(r *run) {
	expiry := time.AfterFunc(time.Until(r.deadline), r.expire)
	defer expiry.Stop()
	if a.waitForSlot(r) {
		answer := a.call(r)
		a.recordOutcome(r, answer)
		a.finish(r, answer)
		a.rate.add(r.item.Tokens, time.Now())
		a.queue.Done(r.item, r.usedTokens(answer))
	}
	a.settle(r)
}

// waitForSlot reports whether the run got a slot and may begin. Otherwise the
// run has ended and its queue entry or slot is released.
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

// beginCheck returns the function that is called right before the request is
// written. It checks the deadline and the quarantine again, because the process
// may have been paused since the run got its slot.
func (a *agent) beginCheck(r *run) func() error {
	return func() error {
		if !time.Now().Before(r.deadline) {
			r.expire()
		}
		state, suspects := a.quarantine.Check(r.submit.Fingerprints())
		if state == quarantine.Quarantined {
			r.refuse(quarantinedError())
		}
		a.runs.startCall(r, a.server.snapshot().start, suspects)
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
	return errorAnswer(a.callError(r, err))
}

// callError returns the error to answer with when a call has failed with err.
func (a *agent) callError(r *run, err error) *verdict.Error {
	cause := context.Cause(r.ctx)
	switch r.state.State() {
	case ledger.Queued:
		return a.notBegunError(cause)
	case ledger.Spent:
		return r.state.Answer().Err
	}
	if cause != nil {
		return asMayHaveRun(verdict.From(cause))
	}
	var known *verdict.Error
	if errors.As(err, &known) {
		return known
	}
	return a.diagnoseBrokenConnection(r, err)
}

// notBegunError returns the error for a run that failed before anything was
// written to the backend server.
func (a *agent) notBegunError(cause error) *verdict.Error {
	if cause != nil {
		return verdict.From(cause)
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	a.probe(ctx, 1)
	return serverDownError()
}

// asMayHaveRun returns a copy of e with the verdict MayHaveRun, for a run that
// was ended after it began.
func asMayHaveRun(e *verdict.Error) *verdict.Error {
	c := *e
	c.Verdict = verdict.MayHaveRun
	return &c
}

// finish records the answer of a run, in the ledger if the run has a ticket.
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
		a.clearSuspicion(r)
	}
	if c := r.submit.Completion; c != nil && answer.Err == nil {
		a.cache.addPrompt(c.Model, c.Prompt)
	}
}

// settle records the end of a run and removes it from the table. A stream that
// began is kept for the grace period, so that it can be resumed.
func (a *agent) settle(r *run) {
	r.cancel(nil)
	a.runs.settle(r)
	a.recordResult(r)
	a.triggerReport()
	if r.buffer == nil || r.state.State() == ledger.Spent {
		a.runs.remove(r)
		return
	}
	time.AfterFunc(a.config.ResumeGrace.Std(), func() { a.runs.remove(r) })
}

func (a *agent) recordResult(r *run) {
	answer := r.state.Answer()
	switch e := answer.Err; {
	case e == nil:
		a.recorder.Record("request.completed", r.submit.Request, events.F("tokens", answer.Done.CompletionTokens))
	case e.Reason == verdict.ReasonCanceled:
		a.recorder.Record("request.canceled", r.submit.Request, events.F("verdict", string(e.Verdict)))
	case e.Verdict == verdict.NotRun:
		a.recordRefusal(r.submit.Request, e)
	default:
		a.recorder.Record("request.failed", r.submit.Request, events.F("reason", string(e.Reason)), events.F("verdict", string(e.Verdict)))
	}
	a.meters.tokens.Inc(r.generatedParts())
}

// generatedParts returns the number of parts that the engine has sent.
func (r *run) generatedParts() int64 {
	if r.buffer == nil {
		return 0
	}
	return int64(r.buffer.next() - r.submit.Completion.NextPart)
}

// usedTokens returns the number of tokens that the run consumed. Without usage
// data from the engine, it estimates them from the prompt and the parts.
func (r *run) usedTokens(answer ledger.Answer) int64 {
	if r.buffer == nil {
		return r.item.Tokens
	}
	if used := answer.Done.PromptTokens + answer.Done.CompletionTokens; used > 0 {
		return int64(used)
	}
	return int64(len(r.submit.Completion.Prompt)/bytesPerToken) + r.generatedParts()
}
