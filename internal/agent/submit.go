package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/ledger"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/queue"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// maxDeadline limits the time that a caller may ask the agent to wait.
	maxDeadline = 10 * time.Minute
	// bytesPerToken is the estimated length of a token in a prompt.
	bytesPerToken = 4
	// firstAttempt is the attempt number of the first submission of a ticket.
	firstAttempt = 1
	// queueItemBytes is the estimated size of a queued request without its
	// prompt or body.
	queueItemBytes = 512
)

// submit runs a request, or attaches to its run if the request was submitted
// before.
func (a *agent) submit(c *call, m *wire.Submit) {
	if m.Ticket != "" {
		a.submitTicket(c, m)
		return
	}
	// A repeated request attaches even if the agent currently refuses new
	// requests: the verdict not_run would be false for it.
	if existing := a.runs.find(runKey{request: m.Request, account: m.Account}); existing != nil && existing.submit.Attempt >= m.Attempt {
		a.attachRepeat(c, m, existing)
		return
	}
	if e := a.admissionError(m); e != nil {
		a.refuse(c, m.Request, e)
		return
	}
	if m.Service != nil && !m.Service.Idempotent {
		a.refuse(c, m.Request, verdict.Refuse(http.StatusPreconditionRequired, verdict.ReasonTicketRequired, "a request that is not idempotent needs a ticket"))
		return
	}
	r := a.newRun(m, ticket.Token{}, ledger.NewRun())
	existing, replaced := a.runs.add(r)
	if existing != nil {
		a.attachRepeat(c, m, existing)
		return
	}
	if replaced != nil {
		replaced.stop(canceledError())
	}
	a.enqueue(r)
	a.follow(c, target{run: r, state: r.state, next: firstPart(m), deadline: r.deadline, accepted: true})
}

// attachRepeat attaches a repeated request to its run. It refuses an attempt
// that a later one has replaced.
func (a *agent) attachRepeat(c *call, m *wire.Submit, r *run) {
	if r.submit.Attempt > m.Attempt {
		a.refuse(c, m.Request, verdict.Refuse(http.StatusConflict, verdict.ReasonCanceled, "attempt %d of the request replaced this one", r.submit.Attempt))
		return
	}
	a.follow(c, target{run: r, state: r.state, next: firstPart(m), deadline: deadlineFrom(m.RemainingMS), accepted: true})
}

// submitTicket runs the request of a ticket, or attaches to its run if the
// ledger already has a record of the ticket.
func (a *agent) submitTicket(c *call, m *wire.Submit) {
	t, e := a.verifyTicket(m.Ticket, m.Account, m.Attempt == firstAttempt)
	if e != nil {
		a.refuse(c, m.Request, e)
		return
	}
	state, isNew := a.admitTicket(t, m)
	if !isNew {
		a.follow(c, target{run: a.openRun(t, state), state: state, deadline: deadlineFrom(m.RemainingMS), accepted: true})
		return
	}
	r := a.newRun(m, t, state)
	a.runs.add(r)
	a.enqueue(r)
	a.follow(c, target{run: r, state: state, deadline: r.deadline, accepted: true})
}

// openRun returns the run of a ticket while it is open, or nil after it has
// ended.
func (a *agent) openRun(t ticket.Token, state *ledger.Run) *run {
	r := a.runs.find(runKey{request: t.Request, account: t.Account})
	if r == nil || r.state != state {
		return nil
	}
	return r
}

// admitTicket returns the ledger's run for a ticket; isNew reports whether the
// caller must execute it. A refusal marks the ticket as spent, so that a
// delayed delivery cannot run.
func (a *agent) admitTicket(t ticket.Token, m *wire.Submit) (state *ledger.Run, isNew bool) {
	e := a.admissionError(m)
	if e == nil {
		e = ticketMismatch(t, m)
	}
	if e != nil {
		state, known := a.ledger.Refuse(t, m.Attempt, e)
		if !known {
			a.recordRefusal(m.Request, state.Answer().Err)
		}
		return state, false
	}
	state, isNew, e = a.ledger.Admit(t, m.Attempt)
	if e == nil {
		return state, isNew
	}
	state = ledger.NewRun()
	state.Refuse(e)
	a.recordRefusal(m.Request, e)
	return state, false
}

// ticketMismatch returns an error if the ticket was not issued for the request.
func ticketMismatch(t ticket.Token, m *wire.Submit) *verdict.Error {
	if m.Service == nil {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "only calls of plain services take a ticket")
	}
	if t.Service != m.Service.Name {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonTicketInvalid, "the ticket is for service %q", t.Service)
	}
	return nil
}

// verifyTicket checks the signature and the account of a ticket. Signing keys
// rotate, so the request of a ticket that no longer verifies may have run
// before, unless this is its first attempt.
func (a *agent) verifyTicket(text string, account fleet.ClientAccount, first bool) (ticket.Token, *verdict.Error) {
	t, err := a.keyring().Verify(text, ticket.PurposeTicket)
	if err == nil && t.Account == account {
		return t, nil
	}
	e := verdict.Refuse(http.StatusBadRequest, verdict.ReasonTicketInvalid, "the ticket is malformed, not signed by this fleet or of another account")
	if !first {
		e.Verdict = verdict.MayHaveRun
	}
	return ticket.Token{}, e
}

// admissionError returns the reason why the agent cannot take a new request, or
// nil if it can.
func (a *agent) admissionError(m *wire.Submit) *verdict.Error {
	switch {
	case (m.Completion == nil) == (m.Service == nil) || m.Rank >= fleet.RankCount || m.Request == "":
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "the request is malformed")
	case m.Completion != nil && (!a.isModel() || m.Completion.Model != a.servedModel()):
		return verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownModel, "the agent does not serve model %q", m.Completion.Model)
	case m.Service != nil && (a.isModel() || m.Service.Name != a.config.BackendServer.Name):
		return verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownService, "the agent does not serve service %q", m.Service.Name)
	case m.RemainingMS <= 0:
		return verdict.Refuse(http.StatusGatewayTimeout, verdict.ReasonDeadline, "the deadline has passed")
	case a.leaving.Load():
		return leavingError()
	case a.stateOf(m) == quarantine.Quarantined:
		return quarantinedError()
	case !a.server.snapshot().up:
		return serverDownError()
	}
	return nil
}

// stateOf returns how a request is treated.
func (a *agent) stateOf(m *wire.Submit) quarantine.State {
	state, _ := a.quarantine.Check(m.Fingerprints())
	return state
}

func (a *agent) newRun(m *wire.Submit, t ticket.Token, state *ledger.Run) *run {
	r := &run{submit: m, ticket: t, state: state, deadline: deadlineFrom(m.RemainingMS)}
	r.key = runKey{request: m.Request, account: m.Account}
	if r.ticketed() {
		r.key.request = t.Request
	}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	if m.Completion != nil {
		r.buffer = newBuffer(a.config.StreamBufferBytes, m.Completion.NextPart)
	}
	r.item = a.newItem(r)
	return r
}

func (a *agent) newItem(r *run) *queue.Item {
	m := r.submit
	item := &queue.Item{Account: m.Account, Rank: m.Rank, Tokens: 1, Bytes: queueItemBytes, Deadline: r.deadline}
	item.Suspect = func() bool { return a.stateOf(m) == quarantine.Suspect }
	if c := m.Completion; c != nil {
		item.Tokens = int64((len(c.Prompt)+len(c.Generated))/bytesPerToken + max(c.MaxTokens, 1))
		item.Bytes += int64(len(c.Prompt) + len(c.Generated))
	}
	if m.Service != nil {
		item.Bytes += int64(len(m.Service.Body))
	}
	if account, ok := a.store.Effective().AccountByID(m.Account); ok {
		item.Weight = account.EffectiveShare
		if account.Template != nil {
			item.FirstToken, item.MaxAge = account.Template.FirstToken, account.Template.MaxAge
		}
	}
	return item
}

// refuse records a refusal and sends it as the answer.
func (a *agent) refuse(c *call, request fleet.RequestID, e *verdict.Error) {
	a.recordRefusal(request, e)
	_ = c.stream.Send(wire.RefusedFrom(e)) // no answer is possible if the link is lost
}

func (a *agent) recordRefusal(request fleet.RequestID, e *verdict.Error) {
	a.meters.countRefusal(string(e.Reason))
	a.recorder.Record("request.refused", request, events.F("reason", string(e.Reason)), events.F("verdict", string(e.Verdict)))
}

func firstPart(m *wire.Submit) uint64 {
	if m.Completion == nil {
		return 0
	}
	return m.Completion.NextPart
}

// remainingMS returns the time until the deadline of a request, in
// milliseconds. m.RemainingMS does not include the time that the message spent in
// transit or in the socket of a paused process; m.DeadlineUptime does.
func (a *agent) remainingMS(m *wire.Submit) int64 {
	if m.DeadlineUptime == 0 {
		return m.RemainingMS
	}
	return min(m.RemainingMS, m.DeadlineUptime-a.uptime().Milliseconds())
}

// deadlineFrom returns the time that is the given number of milliseconds from
// now, at least 0 and at most maxDeadline.
func deadlineFrom(milliseconds int64) time.Time {
	wait := min(max(milliseconds, 0), maxDeadline.Milliseconds())
	return time.Now().Add(time.Duration(wait) * time.Millisecond)
}

func leavingError() *verdict.Error {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonLeaving, "the agent is leaving")
}

func quarantinedError() *verdict.Error {
	return verdict.Refuse(http.StatusUnprocessableEntity, verdict.ReasonQuarantined, "the request ended several backend servers")
}

func canceledError() *verdict.Error {
	return verdict.Refuse(http.StatusConflict, verdict.ReasonCanceled, "the request was canceled")
}
