package boottime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a clock that does not advance with time.
func TestNowAdvancesWithTime(t *testing.T) {
	is := is.New(t)
	const pause = 30 * time.Millisecond
	began, from := Now(), time.Now()
	time.Sleep(pause)
	elapsed, most := Now()-began, time.Since(from)
	is.True(elapsed >= pause)
	is.True(elapsed <= most+time.Millisecond)
}
