package harness

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that still runs after Freeze has returned: a request that a test
// sends to a frozen process was handled before it stopped.
func TestFrozenProcessHasStopped(t *testing.T) {
	is := is.New(t)
	p := NewProcess(t.TempDir(), "busy", "/bin/sh", "-c", "while :; do echo x; done")
	is.NoErr(p.Start())
	defer p.Kill()
	size := func() int64 {
		info, err := os.Stat(p.logPath)
		is.NoErr(err)
		return info.Size()
	}
	for range 100 {
		is.NoErr(p.Freeze())
		before := size()
		time.Sleep(5 * time.Millisecond)
		is.Equal(size(), before)
		is.NoErr(p.Unfreeze())
		time.Sleep(time.Millisecond)
	}
}
