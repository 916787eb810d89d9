package command

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/retry"
	"github.com/coltsfootbay/coltsfootbay/internal/routing"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// maxCrashRetries bounds the retries of a request that was in flight when
	// its server or agent ended, because the request may be the cause.
	maxCrashRetries = 1
	// maxOtherRetries bounds the retries after refusals for load.
	maxOtherRetries = 1
	// minRetryTime is the least time before the deadline to begin a retry.
	minRetryTime = 10 * time.Millisecond
	// overloadRetryAfter is what refusals for load ask callers to wait.
	overloadRetryAfter = time.Second
)

// attempts tracks the attempts of one request.
type attempts struct {
	commands *Commands
	call     *Call
	query    routing.Request
	count    uint32
	crashes  int
	others   int
	// ran tells that an earlier attempt may have run.
	ran bool
}

// choose returns an agent that was not tried yet.
func (a *attempts) choose() (member.Agent, *verdict.Error) {
	agent, ok := a.commands.Router.Choose(a.commands.View.Agents(), a.query)
	if !ok {
		return member.Agent{}, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackendServer,
			"no backend server can take the request now").WithRetryAfter(overloadRetryAfter)
	}
	a.count++
	a.commands.Recorder.Record("request.routed", a.call.ID, events.F("agent", agent.Hello.Process), events.F("attempt", a.count))
	return agent, nil
}

// open opens a stream to an agent and counts the request there.
func (a *attempts) open(ctx context.Context, agent member.Agent, cancel bool) (*exchange, *verdict.Error) {
	s, start, err := a.commands.Links.Open(ctx, agent.Hello.Process)
	if err != nil {
		return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonLinkLost, "agent %s cannot be reached", agent.Hello.Process)
	}
	x := newExchange(ctx, s, agent.Hello.Process, start, cancel)
	x.server = agent.Report.ServerStart
	x.deadlineUptime = a.deadlineUptime(agent, start)
	x.ended = a.commands.Router.RecordSent(agent.Hello.Process, a.query)
	return x, nil
}

// deadlineUptime returns the deadline as the agent's uptime in milliseconds.
// It is zero without a report of the given start, whose uptime is not known.
func (a *attempts) deadlineUptime(agent member.Agent, start fleet.StartID) int64 {
	if agent.Report.Sequence == 0 || agent.Hello.Start != start {
		return 0
	}
	return agent.Uptime() + a.call.remaining()
}

// failed turns the end of a sent attempt into a verdict. A lost link blames the
// request, and the others know before this returns.
func (a *attempts) failed(ctx context.Context, x *exchange, err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	if ctx.Err() != nil {
		return deadlineOrCanceled(ctx)
	}
	if x.stream.LinkLost() {
		a.blame(ctx, x)
	}
	return verdict.Uncertain(verdict.ReasonLinkLost, "the link to agent %s was lost", x.agent)
}

// blame names the server start that the request was sent to, so that the agent's
// own blame for the same crash does not count as a second one.
func (a *attempts) blame(ctx context.Context, x *exchange) {
	crash := wire.Crash{Agent: x.agent, ServerStart: x.server}
	s := a.commands.Quarantine.AddCrash(a.call.Fingerprint, a.call.Account.ID, crash)
	a.commands.Links.PublishSuspicions(ctx, []wire.Suspicion{s})
}

func deadlineOrCanceled(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e := verdict.Uncertain(verdict.ReasonDeadline, "the deadline passed before the answer")
		e.Status = http.StatusGatewayTimeout
		return e
	}
	return verdict.Uncertain(verdict.ReasonCanceled, "the caller closed its connection")
}

// again reports whether to try another agent after e, and waits the backoff.
// Call it only when a further run does no harm.
func (a *attempts) again(ctx context.Context, agent fleet.ProcessID, e *verdict.Error) bool {
	if e.Verdict != verdict.NotRun {
		a.ran = true
	}
	if !a.worthwhile(e) || time.Until(a.call.Deadline) < minRetryTime || ctx.Err() != nil {
		return false
	}
	if a.commands.Quarantine.State(a.call.Fingerprint) == quarantine.Quarantined {
		return false
	}
	exclude := append(a.query.Exclude, agent)
	next := a.query
	next.Exclude = exclude
	if len(routing.Candidates(a.commands.View.Agents(), next)) == 0 || !a.commands.Budget.Take() {
		return false
	}
	a.query.Exclude = exclude
	a.commands.Recorder.Record("request.retried", a.call.ID, events.F("agent", agent), events.F("reason", e.Reason))
	a.commands.Usage.Retried()
	return wait(ctx, retry.Backoff(a.crashes+a.others))
}

func (a *attempts) worthwhile(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.ReasonServerCrashed:
		a.crashes++
		return a.crashes <= maxCrashRetries
	case verdict.ReasonLinkLost:
		if e.Verdict == verdict.NotRun {
			a.others++
			return a.others <= maxOtherRetries
		}
		a.crashes++
		return a.crashes <= maxCrashRetries
	case verdict.ReasonQueueFull, verdict.ReasonOverloaded, verdict.ReasonLeaving,
		verdict.ReasonNoBackendServer, verdict.ReasonServerFailed:
		a.others++
		return a.others <= maxOtherRetries
	}
	return false
}

// final returns e with a verdict that is true for all attempts together.
func (a *attempts) final(e *verdict.Error) *verdict.Error {
	c := *e
	if a.ran && c.Verdict == verdict.NotRun {
		c.Verdict = verdict.MayHaveRun
	}
	return &c
}

// note tells the router how an attempt ended. A crashed server and a passed
// deadline are left to the agent's report: the quarantine judges the first, and
// only the agent knows whether its server made progress before the second.
func (a *attempts) note(agent member.Agent, e *verdict.Error) {
	switch {
	case e == nil:
		a.commands.Router.RecordResult(agent, false)
	case e.Verdict == verdict.NotRun:
	case e.Reason == verdict.ReasonServerFailed || e.Reason == verdict.ReasonLinkLost:
		a.commands.Router.RecordResult(agent, true)
	}
}

// succeeded clears a suspicion of the request.
func (a *attempts) succeeded() {
	if s, ok := a.commands.Quarantine.RecordSuccess(a.call.Fingerprint); ok {
		go a.commands.Links.PublishSuspicions(context.Background(), []wire.Suspicion{s})
	}
}

// wait pauses for d; it returns false if ctx ended before.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
