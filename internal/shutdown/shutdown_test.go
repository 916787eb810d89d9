package shutdown

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are refused although no stop is planned, and against a stop
// that a second signal moves.
func TestStop(t *testing.T) {
	is := is.New(t)
	s := New()
	is.True(!s.Outlasts(time.Now().Add(time.Hour)))
	is.NoErr(s.Ended().Err())
	began := time.Now()
	s.Plan(began.Add(2 * answerTime))
	s.Plan(began.Add(time.Hour))
	is.True(s.Outlasts(began.Add(2 * answerTime)))
	is.True(!s.Outlasts(began.Add(answerTime / 2)))
	<-s.Ended().Done()
	is.True(time.Since(began) >= answerTime)
	is.True(time.Since(began) < time.Minute)
}
