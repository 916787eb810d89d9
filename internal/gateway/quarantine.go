package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/balance"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	// maxParts bounds the parts of a prompt that are examined; a request with more is
	// judged by the first ones.
	maxParts = 63
	// trialRetryInterval is the time between two attempts to begin the trial of a request.
	trialRetryInterval = 40 * time.Millisecond
	// plainTrialWait bounds the wait for a trial at a plain service.
	plainTrialWait = 500 * time.Millisecond
	// quarantineRetryAfter is the Retry-After value of a quarantined request. A
	// quarantine lasts for minutes.
	quarantineRetryAfter = time.Minute
)

// Suspicions exchanges suspicions with the other gateways.
type Suspicions interface {
	// Publish sends an update to all other gateways.
	Publish(u quarantine.Update)
	// BeginTrial asks whether a trial may begin now at a service. decided is false if
	// nobody answered.
	BeginTrial(ctx context.Context, service string, t quarantine.Trial) (granted, decided bool)
	// EndTrial ends a trial that has begun.
	EndTrial(service string, id uint64)
	// Remembers reports whether the gateways know of all crashes whose suspicions have not
	// expired.
	Remembers() bool
}

// fingerprints returns the fingerprint of the request, and those of the parts of its
// prompt that other requests share.
func fingerprints(r *request) []uint64 {
	parts := r.PromptParts[:min(len(r.PromptParts), maxParts)]
	out := make([]uint64, 0, len(parts)+1)
	out = append(out, quarantine.Fingerprint(r.account, []byte(r.in.Method), []byte(r.in.Host), []byte(r.in.URL.RequestURI()), r.body))
	for _, id := range parts {
		out = append(out, quarantine.PropertyFingerprint("prompt part", id))
	}
	return out
}

// refuseQuarantined returns the refusal of a request that is quarantined and has not run,
// or nil.
func (g *Gateway) refuseQuarantined(r *request) *verdict.Error {
	if state, _ := g.Quarantine.Check(r.fingerprints); state != quarantine.Quarantined {
		return nil
	}
	g.Metrics.Quarantined.Inc(1)
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonQuarantined, "backend servers crash when they run requests like this one").
		WithRetryAfter(quarantineRetryAfter)
}

// waitForRun waits for a slot and, if the request needs one, for its trial. It refuses a
// request that is quarantined or could not start in time.
func (g *Gateway) waitForRun(ctx context.Context, x *service, r *request) (*slot, *verdict.Error) {
	if refusal := g.refuseQuarantined(r); refusal != nil {
		return nil, refusal
	}
	p, refusal := g.waitForSlot(ctx, x, r)
	if refusal != nil {
		return nil, refusal
	}
	for until := refuseAt(r, false); !g.mayRun(ctx, r, p); {
		p.release()
		if p, refusal = g.waitForNextTry(ctx, x, r, until); refusal != nil {
			return nil, refusal
		}
	}
	return p, nil
}

// waitForNextTry waits for trialRetryInterval and then for a free slot. The request has had
// its turn in the queue. It is refused if it is quarantined or until has passed.
func (g *Gateway) waitForNextTry(ctx context.Context, x *service, r *request, until time.Time) (*slot, *verdict.Error) {
	for {
		sleep(ctx, trialRetryInterval)
		if refusal := g.refuseQuarantined(r); refusal != nil {
			return nil, refusal
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, "requests like this one run one at a time after a crash").
				WithRetryAfter(g.retryAfter(r, 0))
		}
		if p := x.tryQueuedSlot(); p != nil {
			return p, nil
		}
	}
}

// tryRun returns a slot that is free now, or nil. It waits for the trial of a request
// under suspicion, for a short time.
func (g *Gateway) tryRun(ctx context.Context, x *service, r *request) *slot {
	until := time.Now().Add(min(plainTrialWait, r.remaining()/2))
	for {
		if state, _ := g.Quarantine.Check(r.fingerprints); state == quarantine.Quarantined {
			return nil
		}
		p := x.trySlot(balance.Constraint{Exclude: r.tried})
		if p == nil || g.mayRun(ctx, r, p) {
			return p
		}
		p.release()
		if ctx.Err() != nil || time.Now().After(until) {
			return nil
		}
		sleep(ctx, trialRetryInterval)
	}
}

// mayRun reports whether the request may run at the server of a slot now. It begins a
// trial if the request is under suspicion or, after a crash, has unproven properties. Load
// pattern: a group was down, and many requests wait that share a part which no server has
// answered yet. If they began together, each could crash a server.
func (g *Gateway) mayRun(ctx context.Context, r *request, p *slot) bool {
	state, suspects := g.Quarantine.Check(r.fingerprints)
	trial := quarantine.Trial{ID: r.trial.ID, Fingerprints: suspects}
	switch state {
	case quarantine.Clear:
		if !r.proven {
			trial.Fingerprints = g.Quarantine.Unproven(r.fingerprints[1:])
		}
	case quarantine.Suspect:
		trial.Server = p.backend.Server.ID
	case quarantine.Quarantined:
		return false
	}
	if len(trial.Fingerprints) == 0 {
		return true
	}
	if trial.ID == 0 {
		trial.ID = rand.Uint64()
		r.trial.ID = trial.ID
	}
	granted, decided := g.Suspicions.BeginTrial(ctx, r.service.Name, trial)
	if !granted && (decided || state == quarantine.Suspect) {
		return false
	}
	r.trial, r.suspects = trial, suspects
	if state == quarantine.Suspect {
		g.Recorder.Record("trial_began", r.ID, events.F("server", trial.Server), events.F("fingerprints", formatFingerprints(suspects)))
	}
	return true
}

// endTrial ends the trial of a request if it has one.
func (g *Gateway) endTrial(r *request) {
	if len(r.trial.Fingerprints) == 0 {
		return
	}
	g.Suspicions.EndTrial(r.service.Name, r.trial.ID)
	r.trial, r.suspects = quarantine.Trial{ID: r.trial.ID}, nil
}

// recordProven records that a server has begun to answer a request, which clears the
// request of suspicion and ends its trial, unless servers crashed later in the answer.
func (g *Gateway) recordProven(r *request) {
	r.proven = true
	cleared := g.Quarantine.RecordSuccesses(r.fingerprints)
	if len(cleared) > 0 {
		g.Recorder.Record("suspicion_cleared", r.ID, events.F("count", len(cleared)))
	}
	g.Suspicions.Publish(quarantine.Update{Suspicions: cleared, Proven: r.trial.Fingerprints})
	if state, _ := g.Quarantine.Check(r.fingerprints[:1]); state == quarantine.Clear {
		g.endTrial(r)
	}
}

// recordCompletion records that a server has sent the whole answer to a request.
func (g *Gateway) recordCompletion(r *request) {
	cleared := g.Quarantine.RecordCompletion(r.fingerprints[0])
	if len(cleared) > 0 {
		g.Recorder.Record("suspicion_cleared", r.ID, events.F("count", len(cleared)))
	}
	g.Suspicions.Publish(quarantine.Update{Suspicions: cleared})
}

// waitingRequests holds the queued requests. They are refused as soon as they are
// quarantined.
type waitingRequests struct {
	mu     sync.Mutex
	cancel map[*request]context.CancelFunc
}

// acquire waits for a slot like service.acquire. It also ends when the request is
// quarantined.
func (g *Gateway) acquire(ctx context.Context, x *service, r *request, i *item) *slot {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &g.waiting
	w.mu.Lock()
	if w.cancel == nil {
		w.cancel = map[*request]context.CancelFunc{}
	}
	w.cancel[r] = cancel
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.cancel, r)
		w.mu.Unlock()
	}()
	return x.acquire(ctx, i)
}

// CancelQuarantined ends the wait of the queued requests that are quarantined. It must be
// called after suspicions have changed.
func (g *Gateway) CancelQuarantined() {
	g.waiting.mu.Lock()
	defer g.waiting.mu.Unlock()
	for r, cancel := range g.waiting.cancel {
		if state, _ := g.Quarantine.Check(r.fingerprints); state == quarantine.Quarantined {
			cancel()
		}
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
