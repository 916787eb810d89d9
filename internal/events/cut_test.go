package events

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// Guards against texts that clients choose, such as identifiers and paths, and that fill the
// memory: the ring keeps thousands of events.
func TestLongTextsAreCut(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	r := NewRecorder("p", 1, &log)
	long := strings.Repeat("ü", 20000)
	r.Record("ended", fleet.RequestID(long), F("detail", long), F("parts", []string{long, "short"}), F("ms", 7))
	is.True(log.Len() < 6*maxTextBytes)
	e := r.Recent(0)[0]
	is.True(len(e.Request) <= maxTextBytes+len("..."))
	is.True(strings.HasPrefix(long, strings.TrimSuffix(string(e.Request), "...")))
	is.True(len(e.Fields[0].Value.(string)) <= maxTextBytes+len("..."))
	parts := e.Fields[1].Value.([]string)
	is.True(len(parts[0]) <= maxTextBytes+len("..."))
	is.Equal(parts[1], "short")
	is.Equal(e.Fields[2].Value, 7)
}
