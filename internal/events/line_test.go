package events

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

type countingWriter struct{ writes []string }

func (c *countingWriter) Write(p []byte) (int, error) {
	c.writes = append(c.writes, string(p))
	return len(p), nil
}

// Guards against log lines that are cut in the middle: the sink counts and drops each
// write by itself.
func TestEventIsOneWrite(t *testing.T) {
	is := is.New(t)
	out := &countingWriter{}
	r := NewRecorder("a", 1, out)
	r.Record("first", "request", F("cause", "two\nlines\n"), F("n", 3))
	r.Record("second", "")
	is.Equal(len(out.writes), 2)
	for _, line := range out.writes {
		is.Equal(strings.Index(line, "\n"), len(line)-1)
	}
}
