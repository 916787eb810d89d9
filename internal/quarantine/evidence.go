package quarantine

import (
	"slices"

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

// crashInfo is what is known of a crash.
type crashInfo struct {
	// strongest is the strongest evidence against any fingerprint.
	strongest evidence
	// unproven identifies the properties of a request whose response had begun that were
	// not known to be safe, 0 if there is none; several is true if there is another such
	// set.
	unproven uint64
	several  bool
}

// noteCrash adds what a crash report says to what is known of the crash.
func (r *Registry) noteCrash(c wire.Crash) {
	if c.Streamed > 0 {
		return
	}
	info, known := r.crashes.get(idOf(c))
	if !known {
		r.lastCrash = r.now()
	}
	info.strongest = max(info.strongest, evidenceOf(c))
	switch {
	case info.unproven == 0:
		info.unproven = c.Unproven
	case c.Unproven != 0 && c.Unproven != info.unproven:
		info.several = true
	}
	r.crashes.set(idOf(c), info)
}

// state returns the state that the crashes of e amount to. A crash under suspicion
// confirms it. Without one, a property was possibly only common to requests that ran when
// several servers crashed at the same time; equal requests of one account rarely are.
func (r *Registry) state(e *entry) State {
	if e.confirmed {
		return Quarantined
	}
	if len(e.members) > 0 {
		return r.jointState(e)
	}
	count, underSuspicion := 0, false
	var last wire.Crash
	for _, c := range e.crashes {
		if c.Streamed > 0 {
			continue
		}
		if info, _ := r.crashes.get(idOf(c)); evidenceOf(c) < info.strongest {
			continue
		}
		underSuspicion = underSuspicion || !c.BeforeSuspicion
		if count == 0 || idOf(c) != idOf(last) || c.BeforeSuspicion != last.BeforeSuspicion {
			count++
		}
		last = c
	}
	switch streamed := r.streamedCrashes(e); {
	case count >= unconfirmedCrashes, count >= quarantineCrashes && (underSuspicion || e.account != ""), streamed >= streamedQuarantine:
		return Quarantined
	case count > 0, streamed >= streamedSuspicion:
		return Suspect
	}
	return Clear
}

const (
	// streamedSuspicion and streamedQuarantine are the numbers of crashes in a row, each
	// after events of the response, from which on a request is suspect and quarantined. One
	// such crash says little: a server runs many requests that have sent events, and all of
	// them break off with it.
	streamedSuspicion  = 2
	streamedQuarantine = 3
)

// streamedCrashes returns the number of servers that crashed one after the other after they
// had sent events of a response. Servers that crash together count once.
func (r *Registry) streamedCrashes(e *entry) int {
	n := 0
	for _, c := range e.crashes {
		if info, _ := r.crashes.get(idOf(c)); info.strongest != explained {
			n = max(n, int(c.Streamed))
		}
	}
	return n
}

// jointState returns the state of an entry with members. Evidence that was conclusive for
// its sender is not if the response to a request with other unproven properties had begun.
func (r *Registry) jointState(e *entry) State {
	for _, c := range e.crashes {
		if info, _ := r.crashes.get(idOf(c)); !c.Conclusive || !info.several {
			return Quarantined
		}
	}
	return Clear
}

// quarantinesJointly reports whether a request with the fingerprints has all members of a
// quarantined entry that are still under suspicion. A member that was cleared since is not
// the cause.
func (r *Registry) quarantinesJointly(fingerprints []uint64) bool {
	for f := range r.joint {
		e := r.find(f)
		if e == nil || r.state(e) != Quarantined {
			continue
		}
		left, has := 0, 0
		for _, member := range e.members {
			if r.stateOf(member) == Clear {
				continue
			}
			left++
			if slices.Contains(fingerprints, member) {
				has++
			}
		}
		if left > 0 && has == left {
			return true
		}
	}
	return false
}

// confirm quarantines those of the fingerprints whose crashes amount to it. These
// explain their crashes, which then no longer count against other fingerprints.
func (r *Registry) confirm(fingerprints []uint64) {
	var confirmed []*entry
	for _, f := range fingerprints {
		if e := r.find(f); e != nil && len(e.members) == 0 && !e.confirmed && r.state(e) == Quarantined {
			confirmed = append(confirmed, e)
		}
	}
	for _, e := range confirmed {
		e.confirmed = true
		for _, c := range e.crashes {
			info, _ := r.crashes.get(idOf(c))
			info.strongest = explained
			r.crashes.set(idOf(c), info)
		}
	}
}
