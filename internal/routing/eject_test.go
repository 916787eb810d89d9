package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/member"
)

func sixAgents() []member.Agent {
	var agents []member.Agent
	for i := range 6 {
		agents = append(agents, agent(i))
	}
	return agents
}

// Guards against an entry VM that ejects all servers of a model when they fail
// for a common cause, and against ejecting the only server.
func TestAtMostHalfAreEjected(t *testing.T) {
	is := is.New(t)
	r, agents := NewRouter(Scored, "a"), sixAgents()
	for i := range agents {
		agents[i].Report.FailureRate = 0.6 + float64(i)/100
	}
	kept, ejected := r.eject(agents, time.Now())
	is.Equal(len(kept), 3)
	is.Equal(len(ejected), 3)
	is.Equal(ejected[0].Hello.Process, agents[5].Hello.Process) // the highest failure rate first
	_, ejected = r.eject(agents[:1], time.Now())
	is.Equal(len(ejected), 0)
}

// Guards against a failing agent that is not ejected, an ejected agent that
// receives more requests than probes, and an agent that is never readmitted.
func TestEjectedAgentIsProbedAndReadmitted(t *testing.T) {
	is := is.New(t)
	r, agents := NewRouter(Scored, "a"), sixAgents()
	r.eject(agents, time.Now())
	for range 3 {
		r.RecordResult(agents[0], true)
	}
	begin := time.Now()
	_, ejected := r.eject(agents, begin)
	is.Equal(len(ejected), 1)
	probes, last := 0, time.Duration(0)
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		_, ejected = r.eject(agents, begin.Add(at))
		if _, ok := r.probeTarget(agents, ejected, Request{Model: "m"}, begin.Add(at)); ok {
			probes++
			is.True(at-last <= 2*maxProbeInterval)
			last = at
		}
	}
	is.True(probes >= 5 && probes <= 16) // intervals of 0.5 s, doubled up to 10 s
	for range 3 {
		r.RecordResult(agents[0], false)
	}
	_, ejected = r.eject(agents, begin)
	is.Equal(len(ejected), 0)
}

// Guards against probes with requests that may crash the server or that cannot
// be retried, and against counting the failures of a server's previous start
// against its new start.
func TestProbesAreSafeAndRestartedServersAreNotEjected(t *testing.T) {
	is := is.New(t)
	r, agents := NewRouter(Scored, "a"), sixAgents()
	bad := agents[0]
	r.eject(agents, time.Now())
	for range 3 {
		r.RecordResult(bad, true)
	}
	_, ejected := r.eject(agents, time.Now())
	late := time.Now().Add(time.Minute)
	for _, q := range []Request{{Model: "m", Confinement: Suspected}, {Service: "s", NotRetryable: true}} {
		_, ok := r.probeTarget(agents, ejected, q, late)
		is.True(!ok)
	}
	for fingerprint := range uint64(50) {
		q := Request{Model: "m", Fingerprint: fingerprint, Confinement: Untried}
		a, ok := r.probeTarget(agents, ejected, q, late.Add(time.Duration(fingerprint)*time.Minute))
		is.True(!ok || len(intersect(confinedAgents(agents, q), []member.Agent{a})) == 1)
	}
	agents[0].Report.ServerStart = "second"
	_, ejected = r.eject(agents, time.Now())
	is.Equal(len(ejected), 0)
}
