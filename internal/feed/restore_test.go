package feed

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	serverNewLeaving = `{"ID":"new","Service":"m","Address":"192.0.2.1:80","StartMS":2,"Leaving":true}`
	serverNewAgain   = `{"ID":"new","Service":"m","Address":"192.0.2.1:80","StartMS":5}`
	serverLate       = `{"ID":"late","Service":"m","Address":"192.0.2.3:80","StartMS":3}`
	// restoreBound is within what the deployments allow for a change, 2 s, and the
	// contact time of 3 s after a disturbance of the store.
	restoreBound = 4 * time.Second
)

func version(f *Feed) int64 {
	if c := f.Snapshot().Configuration; c != nil {
		return c.Version
	}
	return 0
}

// usable returns the IDs of the servers that get new requests.
func usable(f *Feed) string {
	var out []string
	for _, s := range f.Snapshot().Servers["m"] {
		if !s.Leaving {
			out = append(out, s.ID)
		}
	}
	return strings.Join(out, ",")
}

// holds fails the test if a condition stops to hold within the given time.
func holds(t *testing.T, d time.Duration, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if !condition() {
			t.Fatalf("condition did not hold: %s", what)
		}
	}
}

// Guards against a process that follows a restored store from a position of the former
// history: it misses the changes whose revisions were assigned again.
func TestChangesWithReassignedRevisionsAreTaken(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put("config", "1")
	copied := s.copy()
	s.put("config", "2")
	s.put("config", "3")
	f := start(t, s, alone)
	eventually(t, time.Second, "version 3", func() bool { return version(f) == 3 })
	s.restore(copied, func() {
		s.write("config", "4")
		s.write("servers/late", serverLate)
	})
	eventually(t, restoreBound, "version 4", func() bool { return version(f) == 4 })
	eventually(t, restoreBound, "the server that registered in the new history", func() bool { return usable(f) == "late" })
}

// restoringSource restores the store between the two calls of a full read.
type restoringSource struct {
	*store
	afterList func()
}

func (s *restoringSource) List(ctx context.Context, prefix string) ([]Item, Position, error) {
	items, at, err := s.store.List(ctx, prefix)
	if s.afterList != nil {
		s.afterList()
		s.afterList = nil
	}
	return items, at, err
}

// Guards against a copy that is put together from two histories: the servers and the
// position of one, and the configuration of the other.
func TestFullReadDoesNotSpanHistories(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put("config", "1")
	copied := s.copy()
	s.put("config", "2")
	s.put("servers/two", serverTwo)
	f := start(t, &restoringSource{store: s, afterList: func() {
		s.restore(copied, func() {
			s.write("config", "3")
			s.write("servers/late", serverLate)
		})
	}}, alone)
	eventually(t, restoreBound, "version 3", func() bool { return version(f) == 3 })
	eventually(t, restoreBound, "the servers of the new history", func() bool { return serverIDs(f) == "late" })
}

// Guards against the removal of sound servers that the copy lacks because they registered
// after it was made. They register again within a heartbeat.
func TestServersMissingInCopyAreKept(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put("config", "1")
	s.put("servers/two", serverTwo)
	copied := s.copy()
	s.put("servers/late", serverLate)
	f := start(t, s, alone)
	eventually(t, time.Second, "both servers", func() bool { return serverIDs(f) == "late,two" })
	s.fail(200 * time.Millisecond)
	s.restore(copied, nil)
	holds(t, 1500*time.Millisecond, "both servers are kept", func() bool { return serverIDs(f) == "late,two" })
	s.put("servers/late", serverLate)
	holds(t, missingGracePeriod+time.Second, "both servers are registered", func() bool { return serverIDs(f) == "late,two" })
}

// Guards against a server that is kept for ever because the copy lacks it.
func TestServersMissingInCopyAreRemovedAfterGracePeriod(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put("servers/two", serverTwo)
	copied := s.copy()
	s.put("servers/late", serverLate)
	f := start(t, s, alone)
	eventually(t, time.Second, "both servers", func() bool { return serverIDs(f) == "late,two" })
	s.fail(200 * time.Millisecond)
	s.restore(copied, nil)
	eventually(t, missingGracePeriod+2*time.Second, "only the server of the copy", func() bool { return serverIDs(f) == "two" })
}

// Guards against new requests to a server that was leaving before the store was restored
// from a copy in which it is ready.
func TestLeavingServerStaysLeavingOverRestore(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put("servers/new", serverNew)
	copied := s.copy()
	s.put("servers/new", serverNewLeaving)
	f := start(t, s, alone)
	eventually(t, time.Second, "the leaving server", func() bool { return serverIDs(f) == "new" && usable(f) == "" })
	s.fail(200 * time.Millisecond)
	s.restore(copied, nil)
	holds(t, 3*time.Second, "the server is not used", func() bool { return usable(f) == "" })
	s.put("servers/new", serverNewAgain)
	eventually(t, time.Second, "the server's next start is used", func() bool { return usable(f) == "new" })
}

// Guards against new requests to a server that was gone before the store was restored from
// a copy that still has it, and against ignoring a server that does register again.
func TestGoneServerDoesNotReturnWithCopy(t *testing.T) {
	t.Parallel()
	for name, registersAgain := range map[string]bool{"gone": false, "registers again": true} {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			s.put("servers/two", serverTwo)
			s.put("servers/new", serverNew)
			f := start(t, s, alone)
			eventually(t, time.Second, "both servers", func() bool { return serverIDs(f) == "new,two" })
			copied := s.copy()
			s.remove("servers/new")
			eventually(t, time.Second, "one server", func() bool { return serverIDs(f) == "two" })
			s.fail(200 * time.Millisecond)
			s.restore(copied, nil)
			holds(t, 2*time.Second, "the server is not used", func() bool { return usable(f) == "two" })
			if registersAgain {
				s.put("servers/new", serverNew)
				eventually(t, time.Second, "the server is used again", func() bool { return serverIDs(f) == "new,two" })
				return
			}
			s.remove("servers/new")
			holds(t, 4*time.Second, "the server is not used", func() bool { return usable(f) == "two" })
		})
	}
}

// Guards against a server of the copy that is ignored for ever: its entry would have
// expired if it did not run.
func TestDoubtedServerIsUsedWhenItsEntryDoesNotExpire(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put("servers/two", serverTwo)
	s.put("servers/new", serverNew)
	f := start(t, s, alone)
	eventually(t, time.Second, "both servers", func() bool { return serverIDs(f) == "new,two" })
	copied := s.copy()
	s.remove("servers/new")
	eventually(t, time.Second, "one server", func() bool { return serverIDs(f) == "two" })
	s.fail(100 * time.Millisecond)
	s.restore(copied, nil)
	time.Sleep(2 * time.Second)
	s.fail(700 * time.Millisecond) // a second full read of the same history decides nothing
	holds(t, time.Second, "the server is not used", func() bool { return usable(f) == "two" })
	eventually(t, doubtPeriod, "the server is used", func() bool { return serverIDs(f) == "new,two" })
}

// Guards against removing sound servers at once because another process was connected to
// the store before it was restored.
func TestConnectionToFormerHistoryProvesNothing(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put("servers/two", serverTwo)
	copied := s.copy()
	s.put("servers/late", serverLate)
	f := start(t, s, others{connectedFor: func(history string) time.Duration {
		if history == "0" {
			return time.Minute
		}
		return 0
	}})
	eventually(t, time.Second, "both servers", func() bool { return serverIDs(f) == "late,two" })
	s.restore(copied, nil)
	holds(t, 2*time.Second, "both servers are kept", func() bool { return serverIDs(f) == "late,two" })
	eventually(t, 2*time.Second, "only the server of the copy", func() bool { return serverIDs(f) == "two" })
}

// Guards against using the former server of a key whose entry another writer has replaced.
func TestUnreadableEntryNamesNoServer(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put("servers/two", serverTwo)
	s.put("servers/new", serverNew)
	f := start(t, s, alone)
	eventually(t, time.Second, "both servers", func() bool { return serverIDs(f) == "new,two" })
	s.put("servers/new", `"odd"`)
	eventually(t, time.Second, "the other server", func() bool { return serverIDs(f) == "two" })
	s.put("servers/new", serverNew)
	eventually(t, time.Second, "both servers", func() bool { return serverIDs(f) == "new,two" })
}

// Guards against a configuration that goes back because the copy has an older one, and
// against a copy that counts as complete while it lacks a version that is in force: keys
// that were revoked with it must not be confirmed.
func TestConfigurationOfCopyDoesNotReplaceNewer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore()
	s.put("config", "4")
	copied := s.copy()
	s.put("config", "9")
	f := start(t, s, alone)
	eventually(t, time.Second, "version 9", func() bool { return version(f) == 9 })
	s.fail(200 * time.Millisecond)
	restored := time.Now()
	s.restore(copied, nil)
	holds(t, 3*time.Second, "version 9 is in force", func() bool { return version(f) == 9 })
	is.True(f.Copy().Age() > time.Since(restored)-200*time.Millisecond)
	s.put("config", "9")
	eventually(t, time.Second, "the copy is complete again", func() bool { return f.Copy().Age() < time.Second })
	is.Equal(version(f), int64(9))
}

// Guards against a process that starts while the store has an older configuration than the
// other processes: it would accept keys that were revoked.
func TestStartingProcessWaitsForConfigurationOfOthers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var heard atomic.Bool
	s := newStore()
	s.put("config", "4")
	f := start(t, s, others{configuration: func() (int64, bool) {
		if !heard.Load() {
			return 0, false
		}
		return 9, true
	}})
	holds(t, 100*time.Millisecond, "nothing is in force before others were heard", func() bool { return version(f) == 0 })
	heard.Store(true)
	holds(t, time.Second, "the older version is not in force", func() bool { return version(f) == 0 })
	s.put("config", "9")
	eventually(t, time.Second, "version 9", func() bool { return version(f) == 9 })
	is.True(f.Copy().Age() < time.Second)
}

// Guards against a starting process that accepts a restored copy without a version because
// the only other process that had it in force has ended meanwhile.
func TestVersionOfAProcessThatEndedIsAwaited(t *testing.T) {
	t.Parallel()
	var ended atomic.Bool
	s := newStore()
	s.put("config", "4")
	f := start(t, s, others{configuration: func() (int64, bool) {
		if ended.Load() {
			return 0, true
		}
		return 9, true
	}})
	holds(t, 300*time.Millisecond, "the older version is not in force", func() bool { return version(f) == 0 })
	ended.Store(true)
	holds(t, 2*time.Second, "the older version is not in force", func() bool { return version(f) == 0 })
	s.put("config", "9")
	eventually(t, time.Second, "version 9", func() bool { return version(f) == 9 })
}

// Guards against a process that never serves because what others say never comes.
func TestVersionThatDoesNotComeIsAwaitedForLimitedTime(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put("config", "4")
	f := start(t, s, others{configuration: func() (int64, bool) { return 9, true }})
	eventually(t, rewritePeriod+time.Second, "version 4", func() bool { return version(f) == 4 })
}

// Guards against ignoring a change because a change that was lost had the same version.
func TestChangeWithVersionOfLostChangeIsTaken(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put("config", "4")
	copied := s.copy()
	s.put("config", "9")
	f := start(t, s, alone)
	eventually(t, time.Second, "version 9", func() bool { return version(f) == 9 })
	first := f.Snapshot().Configuration
	s.fail(100 * time.Millisecond)
	s.restore(copied, nil)
	time.Sleep(time.Second)
	s.put("config", "9 ") // the same version with another content
	eventually(t, time.Second, "the other content", func() bool { return f.Snapshot().Configuration != first })
}
