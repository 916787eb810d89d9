package feed

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

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
				age, now := c.Age(), time.Now()
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
