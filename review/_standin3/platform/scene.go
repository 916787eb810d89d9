package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootbay/coltsfootbay/platform/platformtest"
)

const (
	// metricsOffset is how far the port for metrics is above the free port of a process.
	metricsOffset = 10
	// readyTimeout limits the wait until a gateway is ready.
	readyTimeout = 15 * time.Second
	host         = "review.example"
)

// scene is a small deployment: the project's processes, the store and the record of what
// happened.
type scene struct {
	program string
	dir     string
	store   *platformtest.Store
	// storeAddress is where the store listens.
	storeAddress string
	ports        ports
	seeds        []string
	processes    []*process
	servers      []*http.Server

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

func newScene(program, record string) (*scene, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &scene{program: program, dir: dir, store: platformtest.NewStore(), record: f, began: time.Now()}
	if s.storeAddress, err = s.ports.next(0); err != nil {
		return nil, err
	}
	return s, s.serve(s.storeAddress, s.store.Handler())
}

// close ends all processes and removes the temporary folder.
func (s *scene) close() {
	for _, p := range s.processes {
		p.kill()
	}
	for _, x := range s.servers {
		_ = x.Close()
	}
	_ = s.record.Close()
	_ = os.RemoveAll(s.dir)
}

// note writes a line to the record, with the time since the start of the case.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a handler on an address.
func (s *scene) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	x := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, x)
	go func() {
		if err := x.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.note("the stand-in at %s ended: %v", address, err)
		}
	}()
	return nil
}

// process is one of the project's processes.
type process struct {
	name, role, file string
	scene            *scene
	command          *exec.Cmd
	done             chan struct{}
	// Addresses of a gateway.
	callers, ready, directory, control string
	// zone, engine and freePort are in the settings.
	zone, engine, freePort string
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.scene.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(p.scene.program, p.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COLTSFOOTBAY_BOOT=" + p.file}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		err := c.Wait()
		p.scene.note("%s ended: %v", p.name, err)
		close(done)
	}()
	p.command, p.done = c, done
	p.scene.note("%s started", p.name)
	return nil
}

func (p *process) signal(sig syscall.Signal) error {
	p.scene.note("%s gets %v", p.name, sig)
	return p.command.Process.Signal(sig)
}

// kill ends the process if it runs.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	select {
	case <-p.done:
		return
	default:
	}
	_ = p.command.Process.Kill()
	<-p.done
}

// log returns the lines of the process's log that contain one of the texts.
func (p *process) log(texts ...string) []string {
	data, err := os.ReadFile(filepath.Join(p.scene.dir, p.name+".log"))
	if err != nil {
		return nil
	}
	var out []string
	for line := range strings.Lines(string(data)) {
		for _, text := range texts {
			if strings.Contains(line, text) {
				out = append(out, strings.TrimSpace(line))
				break
			}
		}
	}
	return out
}

// gateway adds a gateway process; it is not started.
func (s *scene) gateway() (*process, error) {
	n := len(s.processes)
	p := &process{name: fmt.Sprintf("gateway-%d", n), role: "gateway", scene: s}
	for _, a := range []*string{&p.callers, &p.ready, &p.directory, &p.control} {
		var err error
		if *a, err = s.ports.next(0); err != nil {
			return nil, err
		}
	}
	if len(s.seeds) < 3 {
		s.seeds = append(s.seeds, strconv.Quote(p.control))
	}
	s.processes = append(s.processes, p)
	return p, nil
}

// rankAgent adds a rank agent; it is not started.
func (s *scene) rankAgent() *process {
	p := &process{name: fmt.Sprintf("agent-%d", len(s.processes)), role: "rank-agent", scene: s}
	s.processes = append(s.processes, p)
	return p
}

// configure sets the zone and the engine of a process and writes its settings.
func (s *scene) configure(p *process, zone, engine string) error {
	free, err := s.ports.next(metricsOffset)
	if err != nil {
		return err
	}
	_, p.freePort, _ = strings.Cut(free, ":")
	p.zone, p.engine, p.file = zone, engine, filepath.Join(s.dir, p.name+".toml")
	return s.writeSettings(p, true)
}

// writeSettings writes the settings of a process, as the template of the deploy file would.
// firstStart says whether the whole system starts for the first time.
func (s *scene) writeSettings(p *process, firstStart bool) error {
	text := fmt.Sprintf(`name = %q
zone = %q
ip = "127.0.0.1"
first_start = %t
[listen]
callers = %q
ready = %q
directory = %q
control = %q
first_free_port = %s
[peers]
seeds = [%s]
[store]
address = %q
[rank]
engine = %q
[limits]
processor = 0.4
memory_mb = 284
descriptors = 4100
[bounds]
drain_ms = 2000
stop_s = 8
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 94
address_lifetime_s = 5
stall_ms = 1500
`, p.name, p.zone, firstStart, p.callers, p.ready, p.directory, p.control, p.freePort, strings.Join(s.seeds, ", "), s.storeAddress, p.engine)
	return os.WriteFile(p.file, []byte(text), 0o600)
}

// startGateways starts gateways and waits until they are ready.
func (s *scene) startGateways(n int) ([]*process, error) {
	var out []*process
	for range n {
		g, err := s.gateway()
		if err != nil {
			return nil, err
		}
		out = append(out, g)
	}
	for _, g := range out {
		if err := s.configure(g, "a", ""); err != nil {
			return nil, err
		}
		if err := g.start(); err != nil {
			return nil, err
		}
	}
	for _, g := range out {
		if err := waitReady(g.ready); err != nil {
			return nil, fmt.Errorf("%s: %w", g.name, err)
		}
	}
	return out, nil
}

// waitReady waits until a gateway answers the readiness check with 200.
func waitReady(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for {
		if ready(ctx, address) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("it is not ready in time")
		case <-time.After(30 * time.Millisecond):
		}
	}
}

func ready(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/coltsfootbay/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
