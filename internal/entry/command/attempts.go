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
)

const (
	// maxCrashRetries bounds the retries of a request that was in flight when
	// its server or agent crashed, because the request may be the cause.
	maxCrashRetries = 1
	// maxOtherRetries bounds the retries after overload refusals and failures
	// other than crashes.
	maxOtherRetries = 1
	// minRetryTime is the least time that must be left before the deadline for
	// a retry.
	minRetryTime = 10 * time.Millisecond
	// overloadRetryAfter is the Retry-After of overload refusals.
	overloadRetryAfter = time.Second
)

// attempts tracks the attempts of one request.
type attempts struct {
	commands      *Commands
	call          *Call
	query         routing.Request
	count         uint32
	crashFailures int
	otherFailures int
	// mayHaveRun is true if an earlier attempt may have run.
	mayHaveRun bool
}

// choose returns an agent that has not been tried for this request.
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

// open opens a stream to an agent and adds the request to the router's load of
// that agent until the exchange is closed.
func (a *attempts) open(ctx context.Context, agent member.Agent, cancel bool) (*exchange, *verdict.Error) {
	s, start, err := a.commands.Links.Open(ctx, agent.Hello.Process)
	if err != nil {
		return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonLinkLost, "agent %s cannot be reached", agent.Hello.Process)
	}
	x := newExchange(ctx, s, agent.Hello.Process, start, cancel)
	x.server = agent.Report.ServerStart
	_, x.tried = a.commands.Quarantine.Check(a.call.fingerprints())
	x.deadlineUptime = a.deadlineUptime(agent, start)
	x.release = a.commands.Router.RecordSent(agent.Hello.Process, a.query)
	return x, nil
}

// deadlineUptime returns the deadline as the agent's uptime in milliseconds. It
// is 0 if the agent's uptime is unknown because no report of the given start has
// arrived.
func (a *attempts) deadlineUptime(agent member.Agent, start fleet.StartID) int64 {
	if agent.Report.Sequence == 0 || agent.Hello.Start != start {
		return 0
	}
	return agent.Uptime() + a.call.remainingMS()
}

// attemptError returns the verdict of an attempt that was sent and failed with
// err. If the link was lost, it adds a crash to the request's suspicion and
// publishes the suspicion to the other processes before it returns.
func (a *attempts) attemptError(ctx context.Context, x *exchange, err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	if ctx.Err() != nil {
		return deadlineOrCanceled(ctx)
	}
	if x.stream.LinkLost() {
		a.reportCrash(ctx, x)
	}
	return verdict.Uncertain(verdict.ReasonLinkLost, "the link to agent %s was lost", x.agent)
}

// reportCrash adds a crash with the server start that the request was sent to, so
// that the agent's own report of the same crash is not counted again.
func (a *attempts) reportCrash(ctx context.Context, x *exchange) {
	update := a.commands.Quarantine.AddBlame(quarantine.Blame{
		Request: a.call.Fingerprint, Properties: a.call.Properties, Account: a.call.Account.ID, Tried: x.tried,
		Agent: x.agent, ServerStart: x.server, Begun: true,
	})
	a.commands.Links.PublishSuspicions(ctx, update.Suspicions)
}

func deadlineOrCanceled(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e := verdict.Uncertain(verdict.ReasonDeadline, "the deadline passed before the answer")
		e.Status = http.StatusGatewayTimeout
		return e
	}
	return verdict.Uncertain(verdict.ReasonCanceled, "the caller closed its connection")
}

// prepareRetry reports whether to try another agent after e. If so, it excludes
// the failed agent, takes a retry from the budget and waits for the backoff. It
// must be called only if running the request again is harmless.
func (a *attempts) prepareRetry(ctx context.Context, agent fleet.ProcessID, e *verdict.Error) bool {
	if e.Verdict != verdict.NotRun {
		a.mayHaveRun = true
	}
	if !a.retryAllowed(e) || time.Until(a.call.Deadline) < minRetryTime || ctx.Err() != nil {
		return false
	}
	if state, _ := a.commands.Quarantine.Check(a.call.fingerprints()); state == quarantine.Quarantined {
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
	a.commands.Usage.CountRetry()
	return wait(ctx, retry.Backoff(a.crashFailures+a.otherFailures))
}

// retryAllowed counts the failure e and reports whether its kind may be retried
// again.
func (a *attempts) retryAllowed(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.ReasonServerCrashed:
		a.crashFailures++
		return a.crashFailures <= maxCrashRetries
	case verdict.ReasonLinkLost:
		if e.Verdict == verdict.NotRun {
			a.otherFailures++
			return a.otherFailures <= maxOtherRetries
		}
		a.crashFailures++
		return a.crashFailures <= maxCrashRetries
	case verdict.ReasonQueueFull, verdict.ReasonOverloaded, verdict.ReasonLeaving,
		verdict.ReasonNoBackendServer, verdict.ReasonServerFailed:
		a.otherFailures++
		return a.otherFailures <= maxOtherRetries
	}
	return false
}

// finalError returns e with a verdict that covers all attempts.
func (a *attempts) finalError(e *verdict.Error) *verdict.Error {
	c := *e
	if a.mayHaveRun && c.Verdict == verdict.NotRun {
		c.Verdict = verdict.MayHaveRun
	}
	return &c
}

// recordResult reports the result of an attempt to the router. Crashed servers
// and passed deadlines are excluded: the quarantine handles crashes, and only
// the agent knows whether its server made progress before the deadline.
func (a *attempts) recordResult(agent member.Agent, e *verdict.Error) {
	switch {
	case e == nil:
		a.commands.Router.RecordResult(agent, false)
	case e.Verdict == verdict.NotRun:
	case e.Reason == verdict.ReasonServerFailed || e.Reason == verdict.ReasonLinkLost:
		a.commands.Router.RecordResult(agent, true)
	}
}

// clearSuspicion clears a suspicion of the request after a success.
func (a *attempts) clearSuspicion() {
	if cleared := a.commands.Quarantine.RecordSuccesses(a.call.fingerprints()); len(cleared) > 0 {
		go a.commands.Links.PublishSuspicions(context.Background(), cleared)
	}
}

// wait waits for d. It returns false if ctx is done first.
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
