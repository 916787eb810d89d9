package settings

import (
	"bytes"
	"errors"
	"testing"

	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
)

// FuzzParse guards against settings files that crash the process, faults reported at
// lines beyond the end of the file, and accepted values that are out of range.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := ParseEntry("entry.toml", data)
		checkFaults(t, data, err)
		if err == nil && (entry.RetryRatio < 0 || entry.RetryRatio > 1 || entry.RetryRatio != entry.RetryRatio) {
			t.Errorf("retry_ratio %v was accepted", entry.RetryRatio)
		}
		agent, err := ParseAgent("agent.toml", data)
		checkFaults(t, data, err)
		if err == nil && (agent.BackendServer.Slots < 1 || agent.Queue.Items < 1) {
			t.Errorf("slots %d and items %d were accepted", agent.BackendServer.Slots, agent.Queue.Items)
		}
	})
}

func checkFaults(t *testing.T, data []byte, err error) {
	if err == nil {
		return
	}
	var faults tomlfile.Faults
	if !errors.As(err, &faults) || len(faults) == 0 {
		t.Fatalf("%v is not a list of faults", err)
	}
	for _, fault := range faults {
		if fault.Line < 0 || fault.Line > bytes.Count(data, []byte("\n"))+1 {
			t.Errorf("fault %v is beyond the file's end", fault)
		}
	}
}
