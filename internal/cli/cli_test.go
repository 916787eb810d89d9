package cli

import (
	"bufio"
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/adminhttp"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/transport"
)

// signalTestVariable is the environment variable that turns the test binary into
// a process that keeps running after its context is canceled.
const signalTestVariable = "COLTSFOOTBAY_SIGNAL_TEST"

func TestMain(m *testing.M) {
	if os.Getenv(signalTestVariable) != "" {
		ignoreCancellation()
	}
	os.Exit(m.Run())
}

func ignoreCancellation() {
	ctx, stop := signalContext(context.Background())
	defer stop()
	_, _ = os.Stdout.WriteString("ready\n")
	<-ctx.Done()
	_, _ = os.Stdout.WriteString("done\n")
	time.Sleep(20 * time.Second)
	os.Exit(3)
}

// Guards against a process that exits abruptly on the first signal, or on further
// SIGTERMs, which would cut off its requests, or does not exit on a SIGINT after it.
func TestSecondSignalExits(t *testing.T) {
	is := is.New(t)
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), signalTestVariable+"=1")
	out, err := c.StdoutPipe()
	is.NoErr(err)
	is.NoErr(c.Start())
	defer func() { _ = c.Process.Kill() }()
	lines := bufio.NewScanner(out)
	is.True(lines.Scan())
	is.NoErr(c.Process.Signal(syscall.SIGTERM))
	is.True(lines.Scan())
	is.Equal(lines.Text(), "done")
	ended := make(chan struct{})
	go func() {
		for lines.Scan() {
			continue
		}
		close(ended)
	}()
	for range 3 {
		is.NoErr(c.Process.Signal(syscall.SIGTERM))
		time.Sleep(50 * time.Millisecond)
	}
	select {
	case <-ended:
		t.Fatal("the process has ended")
	default:
	}
	is.NoErr(c.Process.Signal(os.Interrupt))
	_ = c.Wait()
	is.Equal(c.ProcessState.ExitCode(), exitFailure)
}

// Guards against commands without a description or an example in their help.
func TestEveryCommandHasHelp(t *testing.T) {
	for _, c := range newRoot().Commands() {
		if c.Short == "" || !strings.Contains(c.Example, "coltsfootbay "+c.Name()) {
			t.Errorf("%s has no description or example", c.Name())
		}
	}
}

// Guards against generated keys that the daemons reject, that other users can
// read, or that overwrite existing keys.
func TestKeysAreUsable(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "keys")
	status, _, stderr := run("keys", dir)
	is.Equal(stderr, "")
	is.Equal(status, exitOK)
	file := func(name string) string { return filepath.Join(dir, name) }
	_, err := transport.LoadIdentity(transport.KeyFiles{Certificate: file("certificate.pem"), Key: file("key.pem"), Authority: file("authority.pem")})
	is.NoErr(err)
	_, err = ticket.OpenFile(file("ticket.keys"))
	is.NoErr(err)
	entries, err := os.ReadDir(dir)
	is.NoErr(err)
	is.Equal(len(entries), 6)
	for _, e := range entries {
		info, err := e.Info()
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	}
	status, _, stderr = run("keys", dir)
	is.Equal(status, exitFailure)
	is.True(strings.Contains(stderr, "exists already"))
}

// startProcess serves a recorder's events and returns the administration URL.
func startProcess(t *testing.T, keyFile string, recorder *events.Recorder) string {
	s, err := adminhttp.Listen(adminhttp.Options{
		Address: "127.0.0.1:0", KeyFile: keyFile, Limits: settings.DefaultLimits(), Recorder: recorder,
		Status: func() any { return map[string]any{"process": "p", "parts": []int{1}} },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return "http://" + s.Address()
}

// Guards against a timeline that shows effects before their causes or events of
// other requests, and against commands that hide that a process did not answer.
func TestTimelineAndStatus(t *testing.T) {
	is := is.New(t)
	keyFile := filepath.Join(t.TempDir(), "admin.key")
	is.NoErr(os.WriteFile(keyFile, []byte("0123456789abcdef"), 0o600))
	one := events.NewRecorder("e1", 1, &bytes.Buffer{})
	two := events.NewRecorder("a1", 1, &bytes.Buffer{})
	one.Record("request.sent", "r1", events.F("to", "a 1"))
	two.Clock.Observe(one.Recent(0)[0].Time)
	two.Record("request.received", "r1")
	two.Record("other", "r2")
	one.Clock.Observe(two.Recent(0)[1].Time)
	one.Record("request.done", "r1")
	first, second := startProcess(t, keyFile, one), startProcess(t, keyFile, two)
	gone := "http://127.0.0.1:1"

	status, out, stderr := run("timeline", "--admin", second, "--admin", first, "--admin", gone, "--key-file", keyFile, "--request", "r1")
	is.Equal(status, exitOK)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.HasSuffix(lines[0], " e1 request.sent request=r1 to=\"a 1\""))
	is.True(strings.HasSuffix(lines[1], " a1 request.received request=r1"))
	is.True(strings.HasSuffix(lines[2], " e1 request.done request=r1"))
	is.True(strings.Contains(stderr, "no answer from "+gone))

	status, out, _ = run("status", "--admin", first, "--admin", gone, "--key-file", keyFile)
	is.Equal(status, exitOK)
	lines = strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(strings.Fields(lines[0]), []string{"admin", "process"})
	is.Equal(strings.Fields(lines[1]), []string{first, "p"})
	is.Equal(strings.Fields(lines[2]), []string{gone, "no", "answer"})
	status, out, _ = run("status", "--admin", first, "--key-file", keyFile, "--json")
	is.Equal(status, exitOK)
	is.True(strings.Contains(out, `"parts"`))
	status, _, _ = run("status", "--admin", gone, "--key-file", keyFile)
	is.Equal(status, exitFailure)
}
