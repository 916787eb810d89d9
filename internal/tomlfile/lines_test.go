package tomlfile

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against wrong line numbers in faults, and against a search for lines whose
// time grows with the square of a document's size.
func TestLinesOfLargeFile(t *testing.T) {
	is := is.New(t)
	const tables = 15000
	var b strings.Builder
	b.WriteString("# comment\r\ntext = \"\"\"\nkey = 1\n\"\"\"\n")
	for i := range tables {
		fmt.Fprintf(&b, "[[account]]\nid = \"account-%06d\"\n\"quoted key\" = { inner = %d }\n\n", i, i)
	}
	start := time.Now()
	keys := indexKeys([]byte(b.String()))
	elapsed := time.Since(start)
	is.Equal(keys["text"].line, 2)
	for _, i := range []int{0, 1, tables - 1} {
		is.Equal(keys[fmt.Sprintf("account[%d]", i)].line, 5+4*i)
		is.Equal(keys[fmt.Sprintf("account[%d].id", i)].line, 6+4*i)
		is.Equal(keys[fmt.Sprintf("account[%d].quoted key", i)].line, 7+4*i)
	}
	t.Logf("%d bytes in %s", b.Len(), elapsed)
	is.True(elapsed < 2*time.Second)
}

// Guards against a duration without a unit that is read as nanoseconds, and against
// faults that show Go types instead of the allowed TOML values.
func TestFaultsSayWhatIsAllowed(t *testing.T) {
	type table struct {
		Wait  Duration `toml:"wait"`
		Count int      `toml:"count"`
	}
	type root struct {
		Limits table   `toml:"limits"`
		Tables []table `toml:"table"`
	}
	cases := []struct{ text, want string }{
		{"[limits]\nwait = 3", "f:2: limits.wait: a duration needs a unit (allowed: 0s to 1m0s, in quotes)"},
		{"[limits]\ncount = \"x\"", "f:2: limits.count: a TOML string is of the wrong type (allowed: a whole number)"},
		{"[[table]]\ncounts = 1", "f:2: table.counts: unknown key (allowed: count, wait)"},
		{"other = 1", "f:1: other: unknown key (allowed: limits, table)"},
	}
	for _, c := range cases {
		var r root
		f, err := Decode("f", []byte(c.text), &r)
		if err == nil {
			f.DurationInRange("limits.wait", r.Limits.Wait, 0, time.Minute)
			err = f.Err()
		}
		if err == nil || err.Error() != c.want {
			t.Errorf("%q: got %v, want %s", c.text, err, c.want)
		}
	}
}
