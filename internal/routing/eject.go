package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/outlier"
)

const (
	// firstProbe is the time from an ejection to the first probe request.
	firstProbe = 500 * time.Millisecond
	// maxProbeInterval bounds the time between probe requests. It is the time
	// that a recovered engine can stay without work.
	maxProbeInterval = 10 * time.Second
)

// record is what this process saw of one start of an agent and its server. A
// new server start begins a new record: the server of a request that crashes
// servers is not at fault.
type record struct {
	start       fleet.StartID
	serverStart string
	share       outlier.FailureRate
	// failedRuns is the reported count at which the next probe was set.
	failedRuns uint64
	interval   time.Duration
	// grown is when the interval was last doubled.
	grown     time.Time
	nextProbe time.Time
}

func (k *record) of(a member.Agent) bool {
	return k.start == a.Hello.Start && k.serverStart == a.Report.ServerStart
}

// postpone sets the next probe, at growing intervals. Runs that were in flight
// together fail together, so the interval grows at most once in its own length.
func (k *record) postpone(now time.Time) {
	k.nextProbe = now.Add(jitter(k.interval))
	if now.Sub(k.grown) >= k.interval {
		k.interval, k.grown = min(2*k.interval, maxProbeInterval), now
	}
}

// Ended notes how a request that was sent to an agent ended. Refusals and
// requests whose caller left say nothing about the server and are not noted.
func (r *Router) Ended(agent member.Agent, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.records[agent.Hello.Process]
	if k == nil || !k.of(agent) {
		return
	}
	k.share.Record(failed)
	if !failed {
		k.interval, k.nextProbe = firstProbe, time.Now()
	}
}

// recordOf returns the record of the agent's present server.
func (r *Router) recordOf(a member.Agent) *record {
	k := r.records[a.Hello.Process]
	if k == nil || !k.of(a) {
		k = &record{start: a.Hello.Start, serverStart: a.Report.ServerStart}
		r.records[a.Hello.Process] = k
	}
	return k
}

// failedShare returns the higher one of the share that the agent reports, which
// all entries caused, and of what this process saw itself.
func (r *Router) failedShare(a member.Agent) outlier.FailureRate {
	return max(r.recordOf(a).share, outlier.FailureRate(a.Report.FailedShare))
}

// eject divides the candidates into those that take work and the ejected ones.
// At most half are ejected, the worst first: a cause that all share must not
// take the model out of service.
func (r *Router) eject(candidates []member.Agent, now time.Time) (kept, ejected []member.Agent) {
	for _, a := range candidates {
		if r.failedShare(a).Outlier() {
			ejected = append(ejected, a)
		} else {
			r.recordOf(a).interval = 0
			kept = append(kept, a)
		}
	}
	slices.SortStableFunc(ejected, func(a, b member.Agent) int { return cmp.Compare(r.failedShare(b), r.failedShare(a)) })
	most := min(len(ejected), len(candidates)/2)
	kept = append(kept, ejected[most:]...)
	ejected = ejected[:most]
	for _, a := range ejected {
		r.delayProbe(a, now)
	}
	return kept, ejected
}

// delayProbe sets the next probe of an agent that was just ejected or that
// another process just probed without success, so that the number of probes
// does not grow with the number of entries.
func (r *Router) delayProbe(a member.Agent, now time.Time) {
	k := r.recordOf(a)
	if k.interval == 0 {
		k.interval, k.grown = firstProbe, now
	} else if k.failedRuns == a.Report.FailedRuns {
		return
	}
	k.failedRuns = a.Report.FailedRuns
	k.postpone(now)
}

// probe returns an ejected agent whose probe is due.
func (r *Router) probe(agents, ejected []member.Agent, q Request, now time.Time) (member.Agent, bool) {
	if q.NotRetryable || q.Confinement == Suspected {
		return member.Agent{}, false
	}
	if q.Confinement == Untried && q.Service == "" {
		ejected = present(home(agents, q), ejected)
	}
	for _, a := range ejected {
		k := r.recordOf(a)
		if now.Before(k.nextProbe) {
			continue
		}
		k.postpone(now)
		return a, true
	}
	return member.Agent{}, false
}

// jitter spreads the probes of several entries.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
