// Command standin2 plays the scripts of the second review: it starts the project's programs
// as processes on loopback addresses, with small stand-ins for the store, the workers and the
// clients, and checks one rule from what clients and workers see.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootbay/coltsfootbay/platform/platformtest"
)

// Exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitUnable  = 2
	scriptLimit = 110 * time.Second
)

// Bounds of the users' site file.
const (
	drainBound  = 2 * time.Second
	stopBound   = 8 * time.Second
	heartbeat   = 1200 * time.Millisecond
	readyWithin = 15 * time.Second
	// warmUp is the time after the start of the gateways in which they find each other, and
	// after which they may send retries: one window of the retry budget, and a little more.
	warmUp = 12 * time.Second
)

// world is a small deployment.
type world struct {
	store     *platformtest.Store
	storeAt   string
	directory string
	trouble   bool
	began     time.Time
	gateways  []*process

	mu       sync.Mutex
	record   *os.File
	entries  map[string]entry
	cleanups []func()
}

// process is a process of the project.
type process struct {
	name, callers, ready, directory, control string
	settings                                 string
	command                                  *exec.Cmd
	ended                                    chan struct{}
}

func newWorld() (*world, error) {
	record, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		store: platformtest.NewStore(), directory: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record,
		entries: map[string]entry{},
	}
	w.cleanups = append(w.cleanups, func() { _ = os.RemoveAll(dir) })
	w.storeAt, err = w.serve(w.store.Handler())
	return w, err
}

// note writes a line to record.txt, with the time since the start.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes.
func (w *world) close() {
	for _, p := range w.gateways {
		p.kill()
	}
	for n := len(w.cleanups) - 1; n >= 0; n-- {
		w.cleanups[n]()
	}
	_ = w.record.Close()
}

// serve serves a handler on a free loopback address.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	w.cleanups = append(w.cleanups, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// Ports of the project's processes are taken from a range below those that outgoing connections
// use, so that none is lost between the check and the start.
const (
	firstPort  = 2100
	portRange  = 9000
	portTries  = 2000
	metricsGap = 10
)

// freePorts returns n free ports whose successors by metricsGap are free as well.
func freePorts(n int) ([]int, error) {
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	var ports []int
	for tries := 0; len(ports) < n && tries < portTries; tries++ {
		port := firstPort + rand.IntN(portRange)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		open = append(open, l)
		beside, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+metricsGap))
		if err != nil {
			continue
		}
		open = append(open, beside)
		ports = append(ports, port)
	}
	if len(ports) < n {
		return nil, fmt.Errorf("only %d free ports", len(ports))
	}
	return ports, nil
}

const settingsForm = `name = %q
zone = "zone-a"
ip = "127.0.0.1"
[listen]
callers = %q
ready = %q
directory = %q
control = %q
first_free_port = %d
[peers]
seeds = [%s]
[store]
address = %q
[rank]
engine = ""
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
`

// startGateways starts gateways and waits until they are ready.
func (w *world) startGateways(n int) error {
	const portsEach = 5
	ports, err := freePorts(n * portsEach)
	if err != nil {
		return err
	}
	at := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	var seeds []string
	for g := range n {
		seeds = append(seeds, fmt.Sprintf("%q", at(ports[g*portsEach+3])))
	}
	for g := range n {
		own := ports[g*portsEach:]
		p := &process{name: fmt.Sprintf("gateway-%d", g), callers: at(own[0]), ready: at(own[1]), directory: at(own[2]), control: at(own[3])}
		text := fmt.Sprintf(settingsForm, p.name, p.callers, p.ready, p.directory, p.control, own[4], strings.Join(seeds, ", "), w.storeAt)
		p.settings = filepath.Join(w.directory, p.name+".toml")
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			return err
		}
		w.gateways = append(w.gateways, p)
		if err := w.start(p); err != nil {
			return err
		}
	}
	return w.waitReady()
}

// start starts a process with the command of the deploy file.
func (w *world) start(p *process) error {
	root, err := filepath.Abs("../..")
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.directory, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command("target/coltsfootbay", "gateway")
	p.command.Dir, p.command.Stdout, p.command.Stderr = root, log, log
	p.command.Path = filepath.Join(root, "target/coltsfootbay")
	p.command.Env = append(os.Environ(), "COLTSFOOTBAY_BOOT="+p.settings)
	if err := p.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	go func(c *exec.Cmd) {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}(p.command)
	w.note("%s starts", p.name)
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill kills a process and waits for its end.
func (p *process) kill() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Kill()
	<-p.ended
}

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	return platformtest.Ready(&client, p.ready)
}

func (w *world) waitReady() error {
	until := time.Now().Add(readyWithin)
	for _, p := range w.gateways {
		for !p.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready\n%s", p.name, w.log(p))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (w *world) log(p *process) string {
	text, _ := os.ReadFile(filepath.Join(w.directory, p.name+".log"))
	return string(text)
}

// entry is what a worker writes to the store.
type entry struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	Cold     float64 `json:"cold_remaining_ms"`
	Sequence int64   `json:"seq"`
	Born     int64   `json:"born"`
}

// write writes a worker's entry as the platform's store does: the entry changes when more
// than its sequence number changes.
func (w *world) write(id string, e entry) {
	w.mu.Lock()
	old, known := w.entries[id]
	w.entries[id] = e
	w.mu.Unlock()
	old.Sequence = e.Sequence
	if known && old == e {
		return
	}
	w.store.Put("servers/"+id, e)
	w.note("store: servers/%s is %s, seq %d", id, e.State, e.Sequence)
}

// remove removes a worker's entry.
func (w *world) remove(id string) {
	w.mu.Lock()
	delete(w.entries, id)
	w.mu.Unlock()
	w.store.Delete("servers/" + id)
	w.note("store: servers/%s is removed", id)
}

// route is a route of the configuration.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	Service   string `json:"service"`
	TimeoutMS int    `json:"timeout_ms"`
	TargetMS  int    `json:"target_latency_ms"`
	GapMS     int    `json:"target_gap_ms"`
	Priority  int    `json:"priority"`
	Attempts  int    `json:"max_attempts"`
	Resumable bool   `json:"resumable"`
	Anonymous bool   `json:"anonymous"`
}

const (
	host    = "review.example"
	account = "account-1"
	key     = "n2ctnfzs989anu6wsjnb"
)

// configure publishes a version of the configuration.
func (w *world) configure(version int, routes []route, services ...any) {
	w.store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"tenants": []any{map[string]any{"name": account, "api_keys": []string{key}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.note("store: op/config is version %d", version)
}

func plainService(name string) any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 110}
}
