package tomlfile

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against fault lines that are wrong and against a time to find them
// that grows with the square of a document's size.
func TestLinesOfLargeFile(t *testing.T) {
	is := is.New(t)
	const tables = 15000
	var b strings.Builder
	b.WriteString("# comment\r\ntext = \"\"\"\nkey = 1\n\"\"\"\n")
	for i := range tables {
		fmt.Fprintf(&b, "[[account]]\nid = \"account-%06d\"\n\"quoted key\" = { inner = %d }\n\n", i, i)
	}
	start := time.Now()
	lines := keyLines([]byte(b.String()))
	elapsed := time.Since(start)
	is.Equal(lines["text"], 2)
	for _, i := range []int{0, 1, tables - 1} {
		is.Equal(lines[fmt.Sprintf("account[%d]", i)], 5+4*i)
		is.Equal(lines[fmt.Sprintf("account[%d].id", i)], 6+4*i)
		is.Equal(lines[fmt.Sprintf("account[%d].quoted key", i)], 7+4*i)
	}
	t.Logf("%d bytes in %s", b.Len(), elapsed)
	is.True(elapsed < 2*time.Second)
}
