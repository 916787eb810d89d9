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
	// maxDeadline bounds the deadline that a request may state.
	maxDeadline = 10 * time.Minute
	// bytesPerToken estimates the tokens of a prompt.
	bytesPerToken = 4
	// firstAttempt states that a ticket was never sent before.
	firstAttempt = 1
	// queueItemBytes estimates the size of a request beside its texts.
	queueItemBytes = 512
)

// submit runs a request or attaches to its earlier delivery.
func (a *agent) submit(c *call, m *wire.Submit) {
	if m.Ticket != "" {
		a.submitTicket(c, m)
		return
	}
	// A repeat attaches even if new requests are refused now: refusing it
	// with not_run would be false.
	if existing := a.runs.find(runKey{request: m.Request, account: m.Account}); existing != nil && existing.submit.Attempt >= m.Attempt {
		a.attachRepeat(c, m, existing)
		return
	}
	if e := a.refusal(m); e != nil {
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
	a.begin(r)
	a.follow(c, target{run: r, state: r.state, next: firstPart(m), deadline: r.deadline, accepted: true})
}

// attachRepeat attaches a repeated request; an older attempt never runs.
func (a *agent) attachRepeat(c *call, m *wire.Submit, r *run) {
	if r.submit.Attempt > m.Attempt {
		a.refuse(c, m.Request, verdict.Refuse(http.StatusConflict, verdict.ReasonCanceled, "attempt %d of the request replaced this one", r.submit.Attempt))
		return
	}
	a.follow(c, target{run: r, state: r.state, next: firstPart(m), deadline: deadlineFrom(m.Deadline), accepted: true})
}

// submitTicket runs the request of a ticket unless the ledger knows the ticket.
func (a *agent) submitTicket(c *call, m *wire.Submit) {
	t, e := a.verifyTicket(m.Ticket, m.Account, m.Attempt == firstAttempt)
	if e != nil {
		a.refuse(c, m.Request, e)
		return
	}
	state, fresh := a.admitTicket(t, m)
	if !fresh {
		a.follow(c, target{run: a.runOf(t, state), state: state, deadline: deadlineFrom(m.Deadline), accepted: true})
		return
	}
	r := a.newRun(m, t, state)
	a.runs.add(r)
	a.begin(r)
	a.follow(c, target{run: r, state: state, deadline: r.deadline, accepted: true})
}

// runOf returns the open run of a ticket, or nil if it has ended.
func (a *agent) runOf(t ticket.Token, state *ledger.Run) *run {
	r := a.runs.find(runKey{request: t.Request, account: t.Account})
	if r == nil || r.state != state {
		return nil
	}
	return r
}

// admitTicket returns the ledger's run for a ticket. A refusal spends the
// ticket, so that a later delivery cannot run.
func (a *agent) admitTicket(t ticket.Token, m *wire.Submit) (state *ledger.Run, fresh bool) {
	e := a.refusal(m)
	if e == nil {
		e = ticketMismatch(t, m)
	}
	if e != nil {
		state, known := a.ledger.Refuse(t, m.Attempt, e)
		if !known {
			a.noteRefusal(m.Request, state.Answer().Err)
		}
		return state, false
	}
	state, fresh, e = a.ledger.Admit(t, m.Attempt)
	if e == nil {
		return state, fresh
	}
	state = ledger.NewRun()
	state.Refuse(e)
	a.noteRefusal(m.Request, e)
	return state, false
}

// ticketMismatch refuses a request that the ticket was not issued for.
func ticketMismatch(t ticket.Token, m *wire.Submit) *verdict.Error {
	if m.Service == nil {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "only calls of plain services take a ticket")
	}
	if t.Service != m.Service.Name {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonTicketInvalid, "the ticket is for service %q", t.Service)
	}
	return nil
}

// verifyTicket checks signature and account. Keys rotate, so a ticket that no
// longer verifies may have run before unless this is its first use.
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

// refusal says why the agent cannot take a new request now.
func (a *agent) refusal(m *wire.Submit) *verdict.Error {
	switch {
	case (m.Completion == nil) == (m.Service == nil) || m.Rank >= fleet.RankCount || m.Request == "":
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "the request is malformed")
	case m.Completion != nil && (!a.isModel() || m.Completion.Model != a.servedModel()):
		return verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownModel, "the agent does not serve model %q", m.Completion.Model)
	case m.Service != nil && (a.isModel() || m.Service.Name != a.config.BackendServer.Name):
		return verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownService, "the agent does not serve service %q", m.Service.Name)
	case m.Deadline <= 0:
		return verdict.Refuse(http.StatusGatewayTimeout, verdict.ReasonDeadline, "the deadline has passed")
	case a.leaving.Load():
		return leavingError()
	case a.quarantine.State(m.Fingerprint) == quarantine.Quarantined:
		return quarantinedError()
	case !a.server.snapshot().up:
		return serverDownError()
	}
	return nil
}

func (a *agent) newRun(m *wire.Submit, t ticket.Token, state *ledger.Run) *run {
	r := &run{submit: m, ticket: t, state: state, deadline: deadlineFrom(m.Deadline)}
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
	i := &queue.Item{Account: m.Account, Rank: m.Rank, Tokens: 1, Bytes: queueItemBytes, Deadline: r.deadline}
	i.Suspect = func() bool { return a.quarantine.State(m.Fingerprint) == quarantine.Suspect }
	if c := m.Completion; c != nil {
		i.Tokens = int64((len(c.Prompt)+len(c.Generated))/bytesPerToken + max(c.MaxTokens, 1))
		i.Bytes += int64(len(c.Prompt) + len(c.Generated))
	}
	if m.Service != nil {
		i.Bytes += int64(len(m.Service.Body))
	}
	if account, ok := a.store.Effective().AccountByID(m.Account); ok {
		i.Weight = account.EffectiveShare
		if account.Template != nil {
			i.FirstToken, i.MaxAge = account.Template.FirstToken, account.Template.MaxAge
		}
	}
	return i
}

// refuse answers a stream with a failure.
func (a *agent) refuse(c *call, request fleet.RequestID, e *verdict.Error) {
	a.noteRefusal(request, e)
	_ = c.stream.Send(wire.RefusedFrom(e)) // a lost link leaves nobody to tell
}

func (a *agent) noteRefusal(request fleet.RequestID, e *verdict.Error) {
	a.meters.refused(string(e.Reason))
	a.recorder.Record("request.refused", request, events.F("reason", string(e.Reason)), events.F("verdict", string(e.Verdict)))
}

func firstPart(m *wire.Submit) uint64 {
	if m.Completion == nil {
		return 0
	}
	return m.Completion.NextPart
}

// remaining returns the milliseconds until the deadline of a request. The
// number in the message does not count the time on the way and in the socket
// of a paused process; the agent's uptime does.
func (a *agent) remaining(m *wire.Submit) int64 {
	if m.DeadlineUptime == 0 {
		return m.Deadline
	}
	return min(m.Deadline, m.DeadlineUptime-a.uptime().Milliseconds())
}

// deadlineFrom returns the end of a wait in milliseconds on the monotonic
// clock.
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
