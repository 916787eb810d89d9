package integration

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
)

const (
	// targetAccounts is the number of client accounts at the target size.
	targetAccounts      = 39_000
	accountsPerDocument = 1000
	// maxResidentKiB is the memory that a process may use for control.
	maxResidentKiB = 32 << 10
)

// usage is the memory and the CPU time of a process, from /proc.
type usage struct {
	// resident and peak are in KiB.
	resident, peak int
	cpu            time.Duration
}

// clockTick is the unit of the times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

func processUsage(t *testing.T, pid int) usage {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	var u usage
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		switch fields[0] {
		case "VmRSS:":
			u.resident, _ = strconv.Atoi(fields[1])
		case "VmHWM:":
			u.peak, _ = strconv.Atoi(fields[1])
		}
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	// The name in parentheses may hold spaces; utime and stime are the 12th and
	// 13th fields after it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	u.cpu = time.Duration(user+system) * clockTick
	return u
}

func accountsDocument(n, generation int) harness.NamedDocument {
	var accounts []harness.AccountSpec
	for i := range accountsPerDocument {
		id := fmt.Sprintf("account-%d-%d", n, i)
		accounts = append(accounts, harness.AccountSpec{ID: id, Key: fmt.Sprintf("%s-%d", id, generation), Template: "routine"})
	}
	return harness.AccountsDocument(fmt.Sprintf("accounts/part-%d", n), accounts)
}

// Guards against an entry process that needs more memory than a small VM reserves
// for control when all client accounts are loaded and changed.
func TestConfigurationOfAllAccounts(t *testing.T) {
	if !*long {
		t.Skip("takes long; run with -long")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	f, err := harness.Start(ctx, harness.Options{
		Bin: *binaries, Entries: 2, Models: []harness.ModelSpec{{Name: "small"}},
		Templates: []harness.TemplateSpec{{Name: "routine", Rank: "middle", Share: 0.00001, Models: []string{"small"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	empty := processUsage(t, f.Entries[0].PID())
	s := startSampler(t, f)
	var last harness.NamedDocument
	var revision uint64
	for i := range targetAccounts / accountsPerDocument {
		last = accountsDocument(i, 0)
		if revision, err = f.Publish(ctx, last.Name, last.Body); err != nil {
			t.Fatal(err)
		}
	}
	s.await(t, "loading", last.Name, time.Now(), s.processes, atLeast(revision))
	s.close(t)
	restarted := f.Entries[0]
	if err := restarted.Restart(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	s = startSampler(t, f)
	s.await(t, "restart", last.Name, time.Now(), s.processes, atLeast(revision))
	loaded := processUsage(t, restarted.PID())
	const changes = 20
	for i := range changes {
		d := accountsDocument(i, 1)
		began := time.Now()
		if revision, err = f.Publish(ctx, d.Name, d.Body); err != nil {
			t.Fatal(err)
		}
		s.await(t, "change", d.Name, began, s.processes, atLeast(revision))
	}
	s.close(t)
	changed := processUsage(t, restarted.PID())
	time.Sleep(2 * time.Second)
	rest := processUsage(t, restarted.PID())
	if changed.peak > maxResidentKiB {
		t.Errorf("peak memory %d KiB, limit %d KiB", changed.peak, maxResidentKiB)
	}
	proved(t, "all_accounts", "accounts", targetAccounts, "empty_kib", empty.resident, "loaded_kib", loaded.resident, "loaded_peak_kib", loaded.peak,
		"changed_peak_kib", changed.peak, "resident_kib", rest.resident, "start_cpu_ms", loaded.cpu.Milliseconds(),
		"cpu_per_change_ms", (changed.cpu-loaded.cpu).Milliseconds()/changes, "document_bytes", len(last.Body))
}
