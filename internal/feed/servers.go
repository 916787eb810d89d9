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
	// doubtPeriod is how long an entry of a server that had left is ignored after a
	// restore, unless it is written again. The entry of a server that does not run
	// expires after three heartbeats of 1.2 s.
	doubtPeriod = 5 * time.Second
	// departedPeriod is how long a server that has left is remembered, and maxDeparted
	// the number of servers that are. Copies of the store are some seconds old.
	departedPeriod = 10 * time.Minute
	maxDeparted    = 10000
)

// servers holds the registered backend servers by the key of their entries.
//
// The order of entries in a history of the store is that of their revisions. A restored
// store may list the entry of a server as it was before what this process knows of it, so
// the first listing of a history is compared by what the servers say of themselves: a
// server does not stop leaving, and does not start earlier than before.
type servers struct {
	documents Documents
	recorder  *events.Recorder
	// history is the number of the history of the last listing, see Feed.history.
	history int
	entries map[string]*entry
	// departed holds the servers that were removed.
	departed map[string]departure
	// doubted holds the entries of a restored store that are from before what this process
	// knows of their servers.
	doubted map[string]doubt
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
	at      time.Time
}

type doubt struct {
	item  Item
	since time.Time
}

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
			s.doubted[i.Key] = doubt{i, time.Now()}
			s.recorder.Record("server_doubted", "", events.F("server", server.ID), events.F("address", server.Address), events.F("revision", i.Revision))
		case !restored && again && former.item.Revision == i.Revision:
			s.doubted[i.Key] = former
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
			s.remove(key, "unlisted")
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

// earlierStart reports whether a server that started at a is known to have started before
// one that started at b, both in Unix milliseconds, 0 if unknown.
func earlierStart(a, b int64) bool { return a != 0 && b != 0 && a < b }

// write applies an entry that was written after the last listing.
func (s *servers) write(i Item) {
	server := s.decode(i)
	if server == nil {
		s.remove(i.Key, "entry unreadable")
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
// server does not stop leaving, whatever a later history says. If the start is unknown, an
// entry that is written may be that of a later start.
func (s *servers) put(i Item, server *deployment.Server, written bool) {
	old := s.entries[i.Key]
	e := &entry{Server: server, history: s.history}
	sameStart := old != nil && old.StartMS == server.StartMS && (server.StartMS != 0 || !written)
	if sameStart && old.Leaving && !server.Leaving && old.history != s.history {
		leaving := *server
		leaving.Leaving = true
		e.Server, e.history = &leaving, old.history
	}
	s.entries[i.Key] = e
	delete(s.departed, i.Key)
	if old == nil || old.Leaving != e.Leaving || old.StartMS != e.StartMS || old.Address != e.Address {
		s.recorder.Record("server_seen", "", events.F("server", e.ID), events.F("service", e.Service), events.F("address", e.Address),
			events.F("zone", string(e.Zone)), events.F("leaving", e.Leaving), events.F("revision", i.Revision))
	}
}

// remove removes a server and logs the reason.
func (s *servers) remove(key, reason string) {
	delete(s.doubted, key)
	e := s.entries[key]
	if e == nil {
		return
	}
	s.recorder.Record("server_gone", "", events.F("server", e.ID), events.F("reason", reason))
	delete(s.entries, key)
	if len(s.departed) < maxDeparted {
		s.departed[key] = departure{e.StartMS, time.Now()}
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
// whose entries have not expired, and reports whether the servers changed. The grace period
// starts when any process is connected to this history of the store: if another process was
// connected throughout, only this process lost its connection, and the missing servers have
// deregistered.
func (s *servers) expire(otherConnectedFor time.Duration) (changed bool) {
	now := time.Now()
	for key, e := range s.entries {
		if !e.missingSince.IsZero() && max(now.Sub(e.missingSince), otherConnectedFor) >= missingGracePeriod {
			s.remove(key, "not registered again after the store outage")
			changed = true
		}
	}
	for _, d := range s.doubted {
		if now.Sub(d.since) >= doubtPeriod {
			s.write(d.item)
			changed = true
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
