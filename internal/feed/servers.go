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
	// heartbeats of 1.2 s. Fewer than runningWrites entries in that time may all have been
	// carried out late; a server that runs writes more.
	doubtPeriod   = 5 * time.Second
	runningWrites = 3
	// minExpiry is the time since its last write within which an entry can't expire. Entries
	// expire after three heartbeats without a write; the rest allows for slow answers.
	minExpiry = 3 * time.Second
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
	// answeredAt is when the last answer of the store arrived, and changedAfter when the one
	// before it did: the changes of the last answer were made since then.
	answeredAt, changedAfter time.Time
}

type entry struct {
	*deployment.Server
	// sequence is the highest one that this start of the server has written. Its last write
	// was at writtenAt or later; zero if unknown.
	sequence  int64
	writtenAt time.Time
	// history is the number of the history in which the entry was read.
	history int
	// missingSince is when this process found the entry gone after an outage or a restore
	// of the store: it may have expired, or the copy lacks it. It is zero if the entry is
	// not missing.
	missingSince time.Time
}

type departure struct {
	startMS int64
	// sequence is the highest one that the start has written.
	sequence int64
	leaving  bool
	// left is true if the server removed its entry, as far as is known: the entry may also
	// have expired, unless removed is true.
	left, removed bool
	at            time.Time
}

type doubt struct {
	item    Item
	startMS int64
	// since is when the first doubted entry of the start was seen, last when the latest one
	// was, and writes their number.
	since, last time.Time
	writes      int
	// late is true if the entry is known to be from before another one of its server.
	late bool
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

// answered records that an answer of the store has arrived.
func (s *servers) answered() { s.changedAfter, s.answeredAt = s.answeredAt, time.Now() }

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
		late, known := s.writtenLate(i.Key, server)
		switch {
		case restored && s.precedesKnown(i.Key, server):
			now := time.Now()
			s.doubt(doubt{item: i, startMS: server.StartMS, since: now, last: now, writes: 1, restored: true}, server)
		case !restored && again && former.item.Revision == i.Revision:
			s.doubted[i.Key] = former
		case !restored && late:
			s.doubtWrite(i, server, former, known)
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

// acceptedAt returns when an entry is used that has not expired.
func (d doubt) acceptedAt() time.Time {
	if d.late && d.writes < runningWrites {
		return d.last.Add(doubtPeriod)
	}
	return d.since.Add(doubtPeriod)
}

// writtenLate reports whether an entry was written before what this process knows of the
// server, and carried out by the store after it; known is false if the server may also have
// written it just now. A start that left does not return. If its entry may have expired while
// the server could not reach the store, and no number shows that the new one is older, it is
// used if it is the only one of its service.
func (s *servers) writtenLate(key string, server *deployment.Server) (late, known bool) {
	if e := s.entries[key]; e != nil {
		late = earlierStart(server.StartMS, e.StartMS)
		return late, late
	}
	d, ok := s.departed[key]
	switch {
	case !ok || server.StartMS == 0 || earlierStart(d.startMS, server.StartMS):
		return false, false
	case earlierStart(server.StartMS, d.startMS):
		return true, true
	case server.Sequence != 0 && server.Sequence < d.sequence:
		return true, true
	case !d.left:
		return false, false
	case d.removed:
		return true, true
	}
	return s.hasReady(server.Service), false
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

// doubtWrite ignores an entry that was written late until its server has proved that it runs.
func (s *servers) doubtWrite(i Item, server *deployment.Server, former doubt, late bool) {
	now := time.Now()
	d := doubt{item: i, startMS: server.StartMS, since: now, last: now, writes: 1, late: late}
	if former.startMS == server.StartMS && !former.since.IsZero() {
		d.since, d.writes = former.since, former.writes+1
	}
	s.doubt(d, server)
}

func (s *servers) doubt(d doubt, server *deployment.Server) {
	s.doubted[d.item.Key] = d
	s.recorder.Record("server_doubted", "", events.F("server", server.ID), events.F("address", server.Address), events.F("leaving", server.Leaving),
		events.F("restored", d.restored), events.F("late", d.late), events.F("sequence", server.Sequence), events.F("revision", d.item.Revision))
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
	if late, known := s.writtenLate(i.Key, server); late && !(again && former.restored) {
		s.doubtWrite(i, server, former, known)
		return
	}
	delete(s.doubted, i.Key)
	s.put(i, server, true)
	s.entries[i.Key].writtenAt = s.changedAfter
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
	e := &entry{Server: server, sequence: server.Sequence, history: s.history}
	sameStart := old != nil && old.StartMS == server.StartMS && (server.StartMS != 0 || !written && old.history != s.history)
	wasLeaving := sameStart && old.Leaving
	if old != nil && old.StartMS == server.StartMS {
		e.sequence, e.writtenAt = max(e.sequence, old.sequence), old.writtenAt
	}
	if d, ok := s.departed[i.Key]; ok && old == nil && server.StartMS != 0 && d.startMS == server.StartMS {
		wasLeaving, e.sequence = d.leaving, max(e.sequence, d.sequence)
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
		s.departed[key] = departure{
			startMS: e.StartMS, sequence: e.sequence, leaving: e.Leaving,
			left: left, removed: left && now.Sub(e.writtenAt) < minExpiry, at: now,
		}
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
		wait = min(wait, time.Until(d.acceptedAt()))
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
		if !now.Before(d.acceptedAt()) {
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
