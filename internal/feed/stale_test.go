package feed

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// contactTime is the time after a disturbance of the store within which a copy must be up to
// date again, and keyTime the age up to which keys are accepted.
const (
	contactTime = 3 * time.Second
	keyTime     = 4700 * time.Millisecond
)

// Guards against a copy that is out of date for too long because the connection of a watch,
// or of a full read, is silent for good while new connections work.
func TestSilentConnectionIsReplacedInTime(t *testing.T) {
	for _, after := range []time.Duration{50 * time.Millisecond, batchPause + 100*time.Millisecond, 2 * time.Second} {
		t.Run(fmt.Sprintf("silent %s after a change", after), func(t *testing.T) {
			t.Parallel()
			s := newStore()
			s.put("config", "1")
			f := start(t, s, alone)
			eventually(t, time.Second, "version 1", func() bool { return version(f) == 1 })
			s.put("config", "2")
			eventually(t, time.Second, "version 2", func() bool { return version(f) == 2 })
			time.Sleep(after)
			s.silence()
			s.put("config", "3")
			eventually(t, contactTime-100*time.Millisecond, "version 3", func() bool { return version(f) == 3 })
			s.silence() // a pool of connections may hold another one that is silent
			s.put("config", "4")
			eventually(t, contactTime-100*time.Millisecond, "version 4", func() bool { return version(f) == 4 })
		})
	}
}

// Guards against a copy that stays out of date after a silence of the store in which a full
// read began: it would wait for the lost response.
func TestReadThatBeganInASilenceIsRepeatedInTime(t *testing.T) {
	for _, length := range []time.Duration{3500 * time.Millisecond, 4500 * time.Millisecond, 5500 * time.Millisecond} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			s := newStore()
			s.put("config", "1")
			f := start(t, s, alone)
			eventually(t, time.Second, "version 1", func() bool { return version(f) == 1 })
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				s.silence() // also the connections that are opened meanwhile
			}
			s.put("config", "2")
			eventually(t, contactTime-100*time.Millisecond, "version 2", func() bool { return version(f) == 2 })
		})
	}
}

// Guards against more calls to a store that works: a second call is made only where the
// first one is late.
func TestWorkingStoreGetsNoSecondCalls(t *testing.T) {
	is := is.New(t)
	s := newStore()
	s.put("config", "1")
	f := start(t, s, alone)
	eventually(t, time.Second, "version 1", func() bool { return version(f) == 1 })
	var before, after int
	s.set(func(s *store) { before = s.calls })
	time.Sleep(3*watchWait + watchWait/2)
	s.set(func(s *store) { after = s.calls })
	is.True(after-before <= 4)
}

// Guards against a copy that gets too old for keys after a watch that ended late with a
// change: its response confirms the copy only up to the time at which it was asked for.
func TestCopyStaysYoungEnoughForKeysAfterALateChange(t *testing.T) {
	is := is.New(t)
	s := newStore()
	s.put("config", "1")
	f := start(t, s, alone)
	eventually(t, time.Second, "version 1", func() bool { return version(f) == 1 })
	oldest := time.Duration(0)
	for n := range 3 {
		// The change comes right before the watch ends.
		var calls, now int
		s.set(func(s *store) { calls = s.calls })
		eventually(t, 2*watchWait, "the next watch", func() bool {
			s.set(func(s *store) { now = s.calls })
			return now > calls
		})
		for end := time.Now().Add(watchWait - 50*time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			oldest = max(oldest, f.Copy().Age())
		}
		s.put("config", fmt.Sprint(n+2))
		for end := time.Now().Add(watchWait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			oldest = max(oldest, f.Copy().Age())
		}
	}
	is.True(oldest > watchWait) // the test has met such a change
	is.True(oldest < keyTime)
}

// Guards against the age of a new copy that is taken for that of an older one, with which a
// revoked key would be accepted in the moment in which the store is reached again.
func TestAgeIsThatOfTheCopy(t *testing.T) {
	const outage, outages, readers = 60 * time.Millisecond, 40, 6
	s := newStore()
	s.put("config", "1")
	f := start(t, s, alone)
	eventually(t, time.Second, "version 1", func() bool { return version(f) == 1 })
	var mu sync.Mutex
	written := []time.Time{1: time.Now()} // when each version had been written
	var reading sync.WaitGroup
	done := make(chan struct{})
	for range readers {
		reading.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				c := f.Copy()
				// Read in this order, a pause between the two makes the age larger.
				now := time.Now()
				age := c.Age()
				mu.Lock()
				newest := len(written) - 1
				next := time.Time{}
				if v := int(c.Configuration.Version); v < newest {
					next = written[v+1]
				}
				mu.Unlock()
				if !next.IsZero() && age < now.Sub(next)-10*time.Millisecond {
					t.Errorf("the copy has version %d, said to be %s old; the next one was written %s before", c.Configuration.Version, age, now.Sub(next))
					return
				}
			}
		})
	}
	for n := range outages {
		s.set(func(s *store) { s.down = true })
		time.Sleep(outage / 2)
		mu.Lock()
		s.put("config", fmt.Sprint(n+2))
		written = append(written, time.Now())
		mu.Unlock()
		time.Sleep(outage / 2)
		s.set(func(s *store) { s.down = false })
		eventually(t, 2*time.Second, "the new version", func() bool { return version(f) == int64(n+2) })
	}
	close(done)
	reading.Wait()
}
