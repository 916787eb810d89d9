package quarantine

import (
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// crashID identifies the crash of one server start.
type crashID struct {
	agent       fleet.ProcessID
	serverStart string
}

func idOf(c wire.Crash) crashID { return crashID{agent: c.Agent, serverStart: c.ServerStart} }

// evidence says how likely a request is the cause of a crash. A crash counts only against
// the fingerprints with the strongest evidence: when a server crashes, most of the
// requests that it ran are not the cause.
type evidence int

// Values of evidence, the weakest first. waiting: the response had not begun. tried: the
// same, for a request that was under suspicion. begun and begunTried: the response had
// begun. explained: the crash belongs to a fingerprint that is quarantined.
const (
	waiting evidence = iota
	tried
	begun
	begunTried
	explained
)

func evidenceOf(c wire.Crash) evidence {
	switch {
	case c.NotBegun && c.BeforeSuspicion:
		return waiting
	case c.NotBegun:
		return tried
	case c.BeforeSuspicion:
		return begun
	}
	return begunTried
}

// strengthen records evidence for a crash.
func (r *Registry) strengthen(id crashID, found evidence) {
	if known, ok := r.strongest.get(id); !ok || found > known {
		r.strongest.set(id, found)
	}
}

// state returns the state that the crashes of e amount to. A crash under suspicion
// confirms it. Without one, the fingerprint was possibly only common to requests that ran
// when several servers crashed at the same time.
func (r *Registry) state(e *entry) State {
	if e.confirmed {
		return Quarantined
	}
	count, underSuspicion := 0, false
	var last wire.Crash
	for _, c := range e.crashes {
		if strongest, _ := r.strongest.get(idOf(c)); evidenceOf(c) < strongest {
			continue
		}
		underSuspicion = underSuspicion || !c.BeforeSuspicion
		if count == 0 || idOf(c) != idOf(last) || c.BeforeSuspicion != last.BeforeSuspicion {
			count++
		}
		last = c
	}
	switch {
	case count >= unconfirmedCrashes, count >= quarantineCrashes && underSuspicion:
		return Quarantined
	case count > 0:
		return Suspect
	}
	return Clear
}

// confirm quarantines those of the fingerprints whose crashes amount to it. These
// explain their crashes, which then no longer count against other fingerprints.
func (r *Registry) confirm(fingerprints []uint64) {
	var confirmed []*entry
	for _, f := range fingerprints {
		if e := r.find(f); e != nil && !e.confirmed && r.state(e) == Quarantined {
			confirmed = append(confirmed, e)
		}
	}
	for _, e := range confirmed {
		e.confirmed = true
		for _, c := range e.crashes {
			r.strengthen(idOf(c), explained)
		}
	}
}
