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
	// firstProbeDelay is the mean time from an ejection to the first probe
	// request.
	firstProbeDelay = 500 * time.Millisecond
	// maxProbeInterval bounds the mean time between probe requests, which is the
	// time for which a recovered engine can stay without work.
	maxProbeInterval = 10 * time.Second
)

// healthRecord holds the results that this process observed for one start of an
// agent and of its backend server. A restarted server gets a new record, because
// the crash may have been caused by the request and not by the server.
type healthRecord struct {
	start       fleet.StartID
	serverStart string
	failureRate outlier.FailureRate
	// failedRuns is the agent's reported count of failed runs at the time when
	// the next probe was scheduled.
	failedRuns    uint64
	probeInterval time.Duration
	// intervalSetAt is when the agent was ejected or probeInterval was last
	// doubled.
	intervalSetAt time.Time
	nextProbe     time.Time
}

func (k *healthRecord) matches(a member.Agent) bool {
	return k.start == a.Hello.Start && k.serverStart == a.Report.ServerStart
}

// scheduleProbe sets the time of the next probe and doubles the interval up to
// maxProbeInterval. Runs that were in flight at the same time fail at the same
// time, so the interval is doubled at most once per interval.
func (k *healthRecord) scheduleProbe(now time.Time) {
	k.nextProbe = now.Add(jitter(k.probeInterval))
	if now.Sub(k.intervalSetAt) >= k.probeInterval {
		k.probeInterval, k.intervalSetAt = min(2*k.probeInterval, maxProbeInterval), now
	}
}

// RecordResult records whether a request that was sent to an agent failed.
// Refusals and requests whose caller disconnected say nothing about the server
// and must not be recorded.
func (r *Router) RecordResult(agent member.Agent, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.records[agent.Hello.Process]
	if k == nil || !k.matches(agent) {
		return
	}
	k.failureRate.Record(failed)
	if !failed {
		k.probeInterval, k.nextProbe = firstProbeDelay, time.Now()
	}
}

// recordOf returns the record for the current start of the agent's server and
// creates it if necessary.
func (r *Router) recordOf(a member.Agent) *healthRecord {
	k := r.records[a.Hello.Process]
	if k == nil || !k.matches(a) {
		k = &healthRecord{start: a.Hello.Start, serverStart: a.Report.ServerStart}
		r.records[a.Hello.Process] = k
	}
	return k
}

// failureRate returns the higher of two failure rates: the one that the agent
// reports, which covers the runs of all entry VMs, and the one that this
// process observed itself.
func (r *Router) failureRate(a member.Agent) outlier.FailureRate {
	return max(r.recordOf(a).failureRate, outlier.FailureRate(a.Report.FailureRate))
}

// eject divides the candidates into those that receive requests and the ejected
// ones. At most half are ejected, those with the highest failure rates first: a
// cause that affects all servers must not take the model out of service.
func (r *Router) eject(candidates []member.Agent, now time.Time) (kept, ejected []member.Agent) {
	for _, a := range candidates {
		if r.failureRate(a).Outlier() {
			ejected = append(ejected, a)
		} else {
			r.recordOf(a).probeInterval = 0
			kept = append(kept, a)
		}
	}
	slices.SortStableFunc(ejected, func(a, b member.Agent) int { return cmp.Compare(r.failureRate(b), r.failureRate(a)) })
	ejectedCount := min(len(ejected), len(candidates)/2)
	kept = append(kept, ejected[ejectedCount:]...)
	ejected = ejected[:ejectedCount]
	for _, a := range ejected {
		r.delayProbe(a, now)
	}
	return kept, ejected
}

// delayProbe schedules the next probe of an agent that was just ejected or that
// reports further failed runs, such as the failed probe of another entry VM. The
// number of probes therefore does not grow with the number of entry VMs.
func (r *Router) delayProbe(a member.Agent, now time.Time) {
	k := r.recordOf(a)
	if k.probeInterval == 0 {
		k.probeInterval, k.intervalSetAt = firstProbeDelay, now
	} else if k.failedRuns == a.Report.FailedRuns {
		return
	}
	k.failedRuns = a.Report.FailedRuns
	k.scheduleProbe(now)
}

// probeTarget returns an ejected agent whose next probe time has passed, if the
// request may be used as a probe: it must be retryable and not suspected. An
// untried completion probes only agents that it is confined to.
func (r *Router) probeTarget(agents, ejected []member.Agent, q Request, now time.Time) (member.Agent, bool) {
	if q.NotRetryable || q.Confinement == Suspected {
		return member.Agent{}, false
	}
	if q.Confinement == Untried && q.Service == "" {
		ejected = intersect(confinedAgents(agents, q), ejected)
	}
	for _, a := range ejected {
		k := r.recordOf(a)
		if now.Before(k.nextProbe) {
			continue
		}
		k.scheduleProbe(now)
		return a, true
	}
	return member.Agent{}, false
}

// jitter returns a random duration between d/2 and 3d/2, which spreads the
// probes of several entry VMs over time.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
