package integration

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/config"
)

const (
	// inForceLimit is the time in which an accepted change must be in force.
	inForceLimit   = 3 * time.Second
	sampleInterval = 50 * time.Millisecond
)

// sampled is one process whose documents the sampler reads.
type sampled struct {
	*harness.Process
	admin, path string
}

// configuration holds the fields common to an entry's /admin/v1/configuration and an
// agent's /admin/v1/status.
type configuration struct {
	Documents []config.DocumentStatus `json:"documents"`
}

type documentKey struct {
	process  string
	pid      int
	document string
}

// sampler continuously reads the revisions in every process and records each one
// that decreases, and each document that disappears, within one start of a process.
type sampler struct {
	fleet     *harness.Fleet
	processes []sampled
	stop      context.CancelFunc
	done      sync.WaitGroup

	mu      sync.Mutex
	latest  map[documentKey]config.DocumentStatus
	samples int
	faults  []string
}

func startSampler(t *testing.T, f *harness.Fleet) *sampler {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &sampler{fleet: f, stop: cancel, latest: map[documentKey]config.DocumentStatus{}}
	for _, e := range f.Entries {
		s.processes = append(s.processes, sampled{e.Process, e.Settings.AdminAddress, "/admin/v1/configuration"})
	}
	for _, a := range f.Agents {
		s.processes = append(s.processes, sampled{a.Process, a.Settings.AdminAddress, "/admin/v1/status"})
	}
	for _, p := range s.processes {
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			s.follow(ctx, p)
		}()
	}
	return s
}

func (s *sampler) follow(ctx context.Context, p sampled) {
	for ctx.Err() == nil {
		s.sample(ctx, p)
		select {
		case <-ctx.Done():
		case <-time.After(sampleInterval):
		}
	}
}

// sample reads one process. The result is discarded if the process restarted during
// the read.
func (s *sampler) sample(ctx context.Context, p sampled) {
	pid := p.PID()
	var answer configuration
	err := s.fleet.Admin(ctx, http.MethodGet, p.admin, p.path, nil, &answer)
	if err != nil || p.PID() != pid {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples++
	seen := map[string]bool{}
	for _, d := range answer.Documents {
		seen[d.Name] = true
		key := documentKey{p.Name, pid, d.Name}
		before := s.latest[key]
		if d.InForce < before.InForce || d.Latest < before.Latest {
			s.faults = append(s.faults, fmt.Sprintf("%s: %s went from %+v to %+v", p.Name, d.Name, before, d))
		}
		s.latest[key] = d
	}
	for key := range s.latest {
		if key.process == p.Name && key.pid == pid && !seen[key.document] {
			s.faults = append(s.faults, fmt.Sprintf("%s: %s disappeared", p.Name, key.document))
		}
	}
}

// close ends the sampling and fails the test for each recorded fault.
func (s *sampler) close(t *testing.T) {
	t.Helper()
	s.stop()
	s.done.Wait()
	for _, fault := range s.faults {
		t.Error(fault)
	}
}

// await waits until the newest sample of every process satisfies ok, and
// returns the time since began. Processes that are not running are skipped.
func (s *sampler) await(t *testing.T, what, document string, began time.Time, processes []sampled, ok func(config.DocumentStatus) bool) time.Duration {
	t.Helper()
	for {
		var late []string
		s.mu.Lock()
		for _, p := range processes {
			d := s.latest[documentKey{p.Name, p.PID(), document}]
			if p.Running() && !ok(d) {
				late = append(late, fmt.Sprintf("%s %+v", p.Name, d))
			}
		}
		s.mu.Unlock()
		took := time.Since(began)
		if len(late) == 0 {
			return took
		}
		// The last sample may have been taken one interval earlier.
		if took > inForceLimit+2*sampleInterval {
			t.Errorf("%s: %s not in force after %v on %s", what, document, took.Round(time.Millisecond), strings.Join(late, "; "))
			return took
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// selectProcesses returns the processes whose names satisfy selected.
func (s *sampler) selectProcesses(selected func(name string) bool) []sampled {
	var list []sampled
	for _, p := range s.processes {
		if selected(p.Name) {
			list = append(list, p)
		}
	}
	return list
}

func atLeast(revision uint64) func(config.DocumentStatus) bool {
	return func(d config.DocumentStatus) bool { return d.InForce >= revision && !d.Deleted }
}
