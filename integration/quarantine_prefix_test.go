package integration

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/standin"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

const (
	// maxCrashedByPrefix is the number of servers that requests with one common prefix may
	// crash.
	maxCrashedByPrefix = 3
	// prefixBlock is the length, in bytes, of the blocks by which prompts are compared.
	prefixBlock = 256
	// crashingRequests is the number of requests with the crashing prefix.
	crashingRequests = 16
)

// block returns a block of a prompt that begins with text.
func block(text string) string { return text + strings.Repeat(".", prefixBlock-len(text)) }

// Guards against requests that share the beginning of their prompts and crash one backend
// server after the other although no two are alike, and against refusing requests that
// share only a sound part of the beginning.
func TestCommonPrefixCrashesFewServers(t *testing.T) {
	f := streamFleet(t, 3, 8, func(*harness.Options) {}, "--crash", "--step-base", "10ms")
	shared := block("instructions that all requests share ")
	crashing := shared + block(standin.CrashMarker+" a document ")
	send := func(caller int, prompt string) harness.Outcome {
		ctx, cancel := context.WithTimeout(t.Context(), badDeadline)
		defer cancel()
		return f.ClientFrom(streamAccount, caller).Complete(ctx, harness.Completion{Model: streamModel, MaxTokens: 8, Prompt: prompt, MaxAttempts: 2})
	}
	if o := send(0, shared+"sound"); !o.Complete {
		t.Fatalf("a sound request failed: %s", o.Reason)
	}
	refused, lost, sound := 0, 0, 0
	var mu sync.Mutex
	var group sync.WaitGroup
	for n := range crashingRequests {
		group.Go(func() {
			o := send(n, fmt.Sprintf("%squestion %d", crashing, n))
			mu.Lock()
			defer mu.Unlock()
			if o.Reason == verdict.ReasonQuarantined {
				refused++
			}
		})
		time.Sleep(150 * time.Millisecond)
		o := send(n, fmt.Sprintf("%ssound %d", shared, n))
		if sound++; !o.Complete && o.Reason == verdict.ReasonQuarantined {
			lost++
		}
	}
	group.Wait()
	crashed := countStoppedEngines(f)
	if crashed > maxCrashedByPrefix {
		t.Errorf("requests with one common prefix crashed %d of %d servers, want at most %d", crashed, len(f.Agents), maxCrashedByPrefix)
	}
	if refused == 0 {
		t.Error("no request with the prefix was refused as quarantined")
	}
	if lost > 0 {
		t.Errorf("%d of %d sound requests were refused as quarantined", lost, sound)
	}
	proved(t, "common_prefix_crashes_few_servers", "requests", crashingRequests, "servers_crashed", crashed, "refused", refused, "sound", sound, "sound_refused", lost)
}
