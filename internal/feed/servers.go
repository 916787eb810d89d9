package feed

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

const (
	// minWatchWait limits the number of calls to the store.
	minWatchWait = 100 * time.Millisecond
	// missingGracePeriod is how long missing servers are kept after the store responds
	// again. Entries that expired during the outage are registered again within
	// about 2 s.
	missingGracePeriod = 2300 * time.Millisecond
	// doubtPeriod is how long an entry is ignored that is from before what this process
	// knows of its server. The entry of a server that does not run expires after three
	// heartbeats of 1.2 s.
	doubtPeriod = 5 * time.Second
	// departedPeriod is how long a server that has left is remembered, and maxDeparted
	// the number of servers that are. Copies of the store are some seconds old.
	departedPeriod = 10 * time.Minute
	maxDeparted    = 10000
)

// servers holds the registered backend servers by the key of their entries.
//
// A restored store may list the entry of a server as it was before what this process knows
// of it, and any store may carry out a write of a server after its later ones. Entries are
// therefore compared by what the servers say of themselves: one start of a server does not
// stop leaving, does not return once it has left, and is not followed by an earlier start.
type servers struct {
	documents Documents
	recorder  *events.Recorder
	// history is the number of the history of the last listing, see Feed.history.
	history int
	entries map[string]*entry
	// departed holds the servers that were removed.
	departed map[string]departure
	// doubted holds the entries that are from before what this process knows of their
	// servers.
	doubted map[string]doubt
	// settled is when the entries that expired in the last outage are registered again.
	settled time.Time
}

type entry struct {
	*deployment.Server
	// history is the number of the history in which the entry was read.
	history int
	// missingSince is when this process found the entry gone after an outage or a restore
	// of the store: it may have expired, or the copy lacks it. It is zero if the entry is
	// not missing.
	missingSince time.Time
}

type departure struct {
	startMS int64
	leaving bool
	// left is true if the server removed its entry, as far as is known: the entry may also
	// have expired.
	left bool
	at   time.Time
}

type doubt struct {
	item    Item
	startMS int64
	since   time.Time
	// restored is true if the entry was in the first listing of a history. The server
	// proves itself if it writes again.
	restored bool
}

// removal is why a server is removed.
type removal string

const (
	deleted    removal = "deleted"
	unlisted   removal = "unlisted"
	unreadable removal = "entry unreadable"
	expired    removal = "not registered again after the store outage"
)

func newServers(documents Documents, recorder *events.Recorder) *servers {
	return &servers{
		documents: documents, recorder: recorder,
		entries: map[string]*entry{}, departed: map[string]departure{}, doubted: map[string]doubt{},
	}
}

// replace applies a full listing. After an outage or a restore, servers that are not in the
// listing are kept as missing until expire removes them.
func (s *servers) replace(items []Item, history int, outage bool) {
	restored := s.history != history
	s.history = history
	if outage || restored {
		s.settled = time.Now().Add(missingGracePeriod)
	}
	doubted := s.doubted
	s.doubted = map[string]doubt{}
	present := make(map[string]bool, len(items))
	for _, i := range items {
		server := s.decode(i)
		if server == nil {
			continue
		}
		former, again := doubted[i.Key]
		switch {
		case restored && s.precedesKnown(i.Key, server):
			s.doubt(i, server, time.Now(), true)
		case !restored && again && former.item.Revision == i.Revision:
			s.doubted[i.Key] = former
		case !restored && s.writtenLate(i.Key, server):
			s.doubtWrite(i, server, former)
		default:
			present[i.Key] = true
			s.put(i, server, false)
		}
	}
	for key, e := range s.entries {
		switch {
		case present[key] || !e.missingSince.IsZero():
		case outage || restored:
			e.missingSince = time.Now()
			s.recorder.Record("server_missing", "", events.F("server", e.ID), events.F("leaving", e.Leaving), events.F("restored", restored))
		default:
			s.remove(key, unlisted)
		}
	}
}

// precedesKnown reports whether the entry of a restored store is from before what this
// process knows of the server.
func (s *servers) precedesKnown(key string, server *deployment.Server) bool {
	if e := s.entries[key]; e != nil {
		return earlierStart(server.StartMS, e.StartMS)
	}
	d, ok := s.departed[key]
	return ok && !earlierStart(d.startMS, server.StartMS)
}

// writtenLate reports whether an entry was written before what this process knows of the
// server, and carried out by the store after it. A start that left does not return, but its
// entry may also have expired while the server could not reach the store; if it is the only
// one of its service, it is used.
func (s *servers) writtenLate(key string, server *deployment.Server) bool {
	if e := s.entries[key]; e != nil {
		return earlierStart(server.StartMS, e.StartMS)
	}
	d, ok := s.departed[key]
	if !ok || server.StartMS == 0 || earlierStart(d.startMS, server.StartMS) {
		return false
	}
	return earlierStart(server.StartMS, d.startMS) || d.left && s.hasReady(server.Service)
}

// hasReady reports whether a service has a server that is not leaving.
func (s *servers) hasReady(service string) bool {
	for _, e := range s.entries {
		if e.Service == service && !e.Leaving {
			return true
		}
	}
	return false
}

// doubtWrite ignores an entry that was written late until doubtPeriod has passed since the
// first such entry of the same start.
func (s *servers) doubtWrite(i Item, server *deployment.Server, former doubt) {
	since := time.Now()
	if former.startMS == server.StartMS && !former.since.IsZero() {
		since = former.since
	}
	s.doubt(i, server, since, false)
}

func (s *servers) doubt(i Item, server *deployment.Server, since time.Time, restored bool) {
	s.doubted[i.Key] = doubt{item: i, startMS: server.StartMS, since: since, restored: restored}
	s.recorder.Record("server_doubted", "", events.F("server", server.ID), events.F("address", server.Address), events.F("leaving", server.Leaving),
		events.F("restored", restored), events.F("revision", i.Revision))
}

// earlierStart reports whether a server that started at a is known to have started before
// one that started at b, both in Unix milliseconds, 0 if unknown.
func earlierStart(a, b int64) bool { return a != 0 && b != 0 && a < b }

// write applies an entry that was written after the last listing.
func (s *servers) write(i Item) {
	server := s.decode(i)
	if server == nil {
		s.remove(i.Key, unreadable)
		return
	}
	former, again := s.doubted[i.Key]
	if !(again && former.restored) && s.writtenLate(i.Key, server) {
		s.doubtWrite(i, server, former)
		return
	}
	delete(s.doubted, i.Key)
	s.put(i, server, true)
}

// decode returns the server of an entry, or nil if the entry is unreadable.
func (s *servers) decode(i Item) *deployment.Server {
	var server *deployment.Server
	err := i.Err
	if err == nil {
		server, err = s.documents.Server(i.Key, i.Value)
	}
	if err != nil {
		s.recorder.Record("server_entry_unreadable", "", events.F("key", i.Key), events.F("revision", i.Revision), events.F("error", err.Error()))
		return nil
	}
	return server
}

// put replaces the entry of a server by one that was listed or written. One start of a
// server does not stop leaving, whatever a later entry says. If the start is unknown, an
// entry that is written may be that of a later start.
func (s *servers) put(i Item, server *deployment.Server, written bool) {
	old := s.entries[i.Key]
	e := &entry{Server: server, history: s.history}
	sameStart := old != nil && old.StartMS == server.StartMS && (server.StartMS != 0 || !written && old.history != s.history)
	wasLeaving := sameStart && old.Leaving
	if d, ok := s.departed[i.Key]; ok && old == nil {
		wasLeaving = d.leaving && server.StartMS != 0 && d.startMS == server.StartMS
	}
	if wasLeaving && !server.Leaving {
		leaving := *server
		leaving.Leaving = true
		e.Server = &leaving
		if old != nil {
			e.history = old.history
		}
	}
	s.entries[i.Key] = e
	delete(s.departed, i.Key)
	if old == nil || old.Leaving != e.Leaving || old.StartMS != e.StartMS || old.Address != e.Address {
		s.recorder.Record("server_seen", "", events.F("server", e.ID), events.F("service", e.Service), events.F("address", e.Address),
			events.F("zone", string(e.Zone)), events.F("leaving", e.Leaving), events.F("revision", i.Revision))
	}
}

// remove removes a server and logs the reason.
func (s *servers) remove(key string, reason removal) {
	delete(s.doubted, key)
	e := s.entries[key]
	if e == nil {
		return
	}
	s.recorder.Record("server_gone", "", events.F("server", e.ID), events.F("reason", string(reason)))
	delete(s.entries, key)
	if len(s.departed) < maxDeparted {
		now := time.Now()
		left := (reason == deleted || reason == unlisted) && now.After(s.settled)
		s.departed[key] = departure{startMS: e.StartMS, leaving: e.Leaving, left: left, at: now}
	}
}

// nextWait returns how long the next watch waits. While servers are missing or doubted, the
// wait ends no later than the time at which any of them is decided, and is shorter than
// usual because another process may report that the store was available all along.
func (s *servers) nextWait() time.Duration {
	// undecidedWatchWait limits the number of calls to the store.
	const undecidedWatchWait = watchWait / 4
	wait := watchWait
	for _, e := range s.entries {
		if !e.missingSince.IsZero() {
			wait = min(wait, undecidedWatchWait, time.Until(e.missingSince.Add(missingGracePeriod)))
		}
	}
	for _, d := range s.doubted {
		wait = min(wait, time.Until(d.since.Add(doubtPeriod)))
	}
	return max(wait, minWatchWait)
}

// expire removes the missing servers whose grace period has ended, accepts the doubted ones
// whose entries have not expired or been replaced, and reports whether the servers changed.
// The grace period starts when any process is connected to this history of the store: if
// another process was connected throughout, only this process lost its connection, and the
// missing servers have deregistered.
func (s *servers) expire(otherConnectedFor time.Duration) (changed bool) {
	now := time.Now()
	for key, e := range s.entries {
		if !e.missingSince.IsZero() && max(now.Sub(e.missingSince), otherConnectedFor) >= missingGracePeriod {
			s.remove(key, expired)
			changed = true
		}
	}
	for key, d := range s.doubted {
		if now.Sub(d.since) >= doubtPeriod {
			delete(s.doubted, key)
			if server := s.decode(d.item); server != nil {
				s.put(d.item, server, true)
				changed = true
			}
		}
	}
	for key, d := range s.departed {
		if now.Sub(d.at) >= departedPeriod {
			delete(s.departed, key)
		}
	}
	return changed
}

// newestByAddress returns the newest server of each address. The entry of a terminated
// server remains for some seconds, and the server that has taken over its address
// refuses every request that is meant for the old one.
func (s *servers) newestByAddress() map[string]*deployment.Server {
	newest := make(map[string]*deployment.Server, len(s.entries))
	for _, e := range s.entries {
		if other := newest[e.Address]; other == nil || e.StartMS > other.StartMS {
			newest[e.Address] = e.Server
		}
	}
	return newest
}
