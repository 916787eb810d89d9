package placement

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/standin"
)

// Guards against groups that together send the weight store more reads than its rate
// allows, and against a group that repeats refused reads immediately.
func TestGroupsShareStore(t *testing.T) {
	const (
		groups    = 8
		readBytes = 32 << 10
		duration  = 3 * time.Second
	)
	for _, c := range []struct {
		name       string
		configured float64 // rate in the groups' configuration, in bytes per second
		actual     int     // rate of the store
		queue      int
	}{{"rate as configured", 2 << 20, 2 << 20, groups}, {"a quarter of the rate", 2 << 20, 512 << 10, 2}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store := httptest.NewServer(standin.NewWeights(standin.WeightsConfig{BytesPerSecond: c.actual, Queue: c.queue}).Handler())
			defer store.Close()
			var served, refused atomic.Int64
			start := time.Now()
			var all sync.WaitGroup
			for i := range groups {
				share, err := NewShare(c.configured, groups, readBytes)
				is.NoErr(err)
				url := fmt.Sprintf("%s/v1/weights/%d?bytes=%d", store.URL, i, readBytes)
				all.Go(func() { readUntil(share, url, readBytes, start.Add(duration), &served, &refused) })
			}
			all.Wait()
			seconds := time.Since(start).Seconds()
			offered := float64((served.Load() + refused.Load()) * readBytes)
			t.Logf("MEASURE offered %.0f KiB/s of %d KiB/s, served %d reads, refused %d",
				offered/1024/seconds, c.actual/1024, served.Load(), refused.Load())
			is.True(offered <= storeUtilization*c.configured*seconds+groups*readBytes)
			is.True(offered <= float64(c.actual)*seconds+groups*readBytes)
			is.True(refused.Load() <= int64(groups*duration/minRetryPause))
		})
	}
}

func readUntil(share *Share, url string, size int, end time.Time, served, refused *atomic.Int64) {
	for {
		wait, err := share.Reserve(time.Now(), size)
		if err != nil || time.Now().Add(wait).After(end) {
			return
		}
		time.Sleep(wait)
		response, err := http.Get(url)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusTooManyRequests {
			refused.Add(1)
			share.Refused(time.Now(), 0)
			continue
		}
		served.Add(1)
		share.Completed(time.Now())
	}
}

// Guards against a share that keeps its rate after refusals, grows beyond its
// configured rate, or never recovers.
func TestShareBackoff(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s, err := NewShare(1000, 2, 100)
	is.NoErr(err)
	full := s.BytesPerSecond()
	is.Equal(full, storeUtilization*500)
	s.Refused(now, 3*time.Second)
	wait, err := s.Reserve(now, 100)
	is.NoErr(err)
	is.Equal(wait, 3*time.Second)
	is.Equal(s.BytesPerSecond(), full/2)
	for range 100 {
		s.Completed(now)
	}
	is.Equal(s.BytesPerSecond(), full)
}
