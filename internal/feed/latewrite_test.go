package feed

import (
	"fmt"
	"testing"
	"time"
)

// expiry is the time after which the entry of a silent server is removed.
const expiry = 3 * 1200 * time.Millisecond

const serverNewFormer = `{"ID":"new","Service":"m","Address":"192.0.2.1:80","StartMS":1}`

// Guards against new requests to a leaving server because the store carries out one of its
// earlier writes late, and against ignoring its next start.
func TestLateWriteDoesNotEndLeaving(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put("servers/new", serverNew)
	f := start(t, s, alone)
	eventually(t, time.Second, "the server", func() bool { return usable(f) == "new" })
	s.put("servers/new", serverNewLeaving)
	eventually(t, time.Second, "the leaving server", func() bool { return usable(f) == "" })
	s.put("servers/new", serverNew)
	s.put("servers/new", serverNew)
	holds(t, time.Second, "the server is not used", func() bool { return serverIDs(f) == "new" && usable(f) == "" })
	s.put("servers/new", serverNewFormer)
	holds(t, time.Second, "the server is not used", func() bool { return serverIDs(f) == "new" && usable(f) == "" })
	s.put("servers/new", serverNewAgain)
	eventually(t, time.Second, "the server's next start is used", func() bool { return usable(f) == "new" })
}

// Guards against an entry of a former start that replaces the one of the present start, and
// against ignoring a server for ever whose clock was set back.
func TestLateWriteOfFormerStartIsIgnored(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put("servers/new", serverNewAgain)
	f := start(t, s, alone)
	startMS := func() int64 {
		if servers := f.Snapshot().Servers["m"]; len(servers) == 1 {
			return servers[0].StartMS
		}
		return 0
	}
	eventually(t, time.Second, "the server", func() bool { return startMS() == 5 })
	s.put("servers/new", serverNew)
	holds(t, time.Second, "the present start", func() bool { return startMS() == 5 })
	s.set(func(s *store) { s.compacted = s.revision }) // a full read decides nothing
	holds(t, time.Second, "the present start", func() bool { return startMS() == 5 })
	eventually(t, doubtPeriod, "the start that stays in the store", func() bool { return startMS() == 2 })
}

// Guards against new requests to a server that has left because the store carries out one
// of its writes after the removal of its entry; and against ignoring a server that could not
// reach the store for a time.
func TestLateWriteOfServerThatLeft(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		// others is true if the service has another server, leaving if the server reported
		// that it was leaving, and expires if the late entry expires.
		others, leaving, expires bool
		// after is when the server is used again, 0 if it is not.
		after time.Duration
	}{
		"expires":        {others: true, expires: true},
		"stays":          {others: true, after: doubtPeriod + 500*time.Millisecond},
		"was leaving":    {others: true, leaving: true},
		"only server":    {after: time.Second},
		"only, leaving":  {leaving: true},
		"only, expires":  {expires: true, leaving: true},
		"leaves, lapses": {others: true, expires: true, leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStore()
			s.put("servers/new", serverNew)
			rest := ""
			if c.others {
				s.put("servers/two", serverTwo)
				rest = "two"
			}
			f := start(t, s, alone)
			both := func() bool { return len(f.Snapshot().Servers["m"]) > 0 && usable(f) != rest }
			eventually(t, time.Second, "all servers", both)
			time.Sleep(missingGracePeriod)
			if c.leaving {
				s.put("servers/new", serverNewLeaving)
				eventually(t, time.Second, "the leaving server", func() bool { return usable(f) == rest })
			}
			s.remove("servers/new")
			eventually(t, time.Second, "the server is gone", func() bool { return serverIDs(f) == rest })
			s.put("servers/new", serverNew)
			if c.after > 0 && c.after < doubtPeriod {
				eventually(t, c.after, "the server is used", both)
				return
			}
			holds(t, 3*time.Second, "the server is not used", func() bool { return usable(f) == rest })
			if c.expires {
				s.remove("servers/new")
			}
			if c.after > 0 {
				eventually(t, c.after, "the server is used", both)
				return
			}
			holds(t, doubtPeriod, "the server is not used", func() bool { return usable(f) == rest })
		})
	}
}

// Guards against ignoring servers whose entries expired in an outage of the store and were
// removed right after it.
func TestServersThatExpiredInOutageReturnAtOnce(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put("servers/new", serverNew)
	s.put("servers/two", serverTwo)
	f := start(t, s, alone)
	eventually(t, time.Second, "both servers", func() bool { return serverIDs(f) == "new,two" })
	s.fail(outageAfter + 300*time.Millisecond)
	eventually(t, 2*time.Second, "the store is back", func() bool { return f.silence() < outageAfter })
	s.remove("servers/new")
	eventually(t, time.Second, "one server", func() bool { return serverIDs(f) == "two" })
	s.put("servers/new", serverNew)
	eventually(t, time.Second, "both servers", func() bool { return serverIDs(f) == "new,two" })
}

// Guards against new requests to a server that has left, and was the only one of its service,
// because the store carries out its earlier writes after the removal of its entry; and against
// ignoring a server that runs.
func TestLateWritesOfOnlyServerThatLeft(t *testing.T) {
	t.Parallel()
	entry := func(start, sequence int) string {
		return fmt.Sprintf(`{"ID":"new","Service":"m","Address":"192.0.2.1:80","StartMS":%d,"Sequence":%d}`, start, sequence)
	}
	leaving := `{"ID":"new","Service":"m","Address":"192.0.2.1:80","StartMS":5,"Sequence":7,"Leaving":true}`
	for name, c := range map[string]struct {
		// last is the last entry before the removal, and late are those that the store carries
		// out after it, lateGap apart.
		last string
		late []string
		// expires is true if the entry is removed because the server is silent.
		expires bool
		// after is the entry that follows, "" if the server does not run; it is used at once.
		after string
	}{
		"one":                          {last: entry(5, 6), late: []string{entry(5, 4)}},
		"one, the last":                {last: entry(5, 6), late: []string{entry(5, 7)}},
		"one, after silence":           {last: entry(5, 6), late: []string{entry(5, 4)}, expires: true},
		"two":                          {last: entry(5, 6), late: []string{entry(5, 3), entry(5, 4)}},
		"two, the last":                {last: entry(5, 6), late: []string{entry(5, 7), entry(5, 8)}},
		"two, in disorder":             {last: entry(5, 6), late: []string{entry(5, 4), entry(5, 3)}},
		"without a number":             {last: entry(5, 0), late: []string{entry(5, 0), entry(5, 0)}},
		"reported leaving":             {last: leaving, late: []string{entry(5, 4), entry(5, 6)}},
		"reported leaving once more":   {last: leaving, late: []string{leaving, entry(5, 6)}},
		"former start":                 {last: entry(5, 6), late: []string{entry(2, 9)}},
		"former start, two":            {last: entry(5, 6), late: []string{entry(2, 8), entry(2, 9)}},
		"former and present start":     {last: entry(5, 6), late: []string{entry(2, 9), entry(5, 4)}},
		"next heartbeat":               {last: entry(5, 6), expires: true, after: entry(5, 7)},
		"next heartbeat after a late":  {last: entry(5, 6), late: []string{entry(5, 4)}, expires: true, after: entry(5, 7)},
		"next start":                   {last: entry(5, 6), after: entry(8, 1)},
		"next start after a late":      {last: entry(5, 6), late: []string{entry(5, 4)}, after: entry(8, 1)},
		"next start, reported leaving": {last: leaving, late: []string{entry(5, 4)}, after: entry(8, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const lateGap = 2500 * time.Millisecond
			s := newStore()
			s.put("servers/new", entry(5, 5))
			f := start(t, s, alone)
			used := func() bool { return usable(f) == "new" }
			eventually(t, time.Second, "the server", used)
			time.Sleep(missingGracePeriod)
			s.put("servers/new", c.last)
			time.Sleep(200 * time.Millisecond)
			if c.expires {
				time.Sleep(expiry)
			}
			s.remove("servers/new")
			eventually(t, time.Second, "the server is gone", func() bool { return serverIDs(f) == "" })
			for _, late := range c.late {
				s.put("servers/new", late)
				holds(t, lateGap, "the server is not used", func() bool { return !used() })
			}
			if c.after != "" {
				s.put("servers/new", c.after)
				eventually(t, time.Second, "the server that runs is used", used)
				return
			}
			holds(t, expiry-lateGap, "the server is not used", func() bool { return !used() })
			s.remove("servers/new")
			holds(t, doubtPeriod, "the server is not used", func() bool { return !used() })
		})
	}
}

// Guards against ignoring a server that runs because its heartbeats are carried out in
// disorder, before and after its entry expired.
func TestHeartbeatsInDisorderKeepServer(t *testing.T) {
	t.Parallel()
	s := newStore()
	put := func(sequence int) {
		s.put("servers/new", fmt.Sprintf(`{"ID":"new","Service":"m","Address":"192.0.2.1:80","StartMS":5,"Sequence":%d}`, sequence))
	}
	put(5)
	f := start(t, s, alone)
	used := func() bool { return usable(f) == "new" }
	eventually(t, time.Second, "the server", used)
	time.Sleep(missingGracePeriod)
	for _, sequence := range []int{8, 6, 7} {
		put(sequence)
		holds(t, 200*time.Millisecond, "the server is used", used)
	}
	time.Sleep(expiry)
	s.remove("servers/new")
	eventually(t, time.Second, "the entry expires", func() bool { return !used() })
	put(11)
	eventually(t, time.Second, "the server is used", used)
	put(10)
	holds(t, time.Second, "the server is used", used)
}
