package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is a process of the project, started with the command of the deploy file.
type gateway struct {
	name, settings                     string
	callers, ready, directory, control string
	freePort                           int
	cmd                                *exec.Cmd
	exited                             chan struct{}
	log                                *os.File
	storeProxy                         *proxy
	gate                               *gate
}

// ports hands out free loopback ports.
type ports struct{ next int }

func (p *ports) take() string {
	for {
		p.next++
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return address
	}
}

func portOf(address string) int {
	var n int
	_, _ = fmt.Sscanf(address[strings.LastIndex(address, ":")+1:], "%d", &n)
	return n
}

// fleet holds what a case starts.
type fleet struct {
	dir      string
	ports    ports
	store    *store
	gateways []*gateway
	workers  []*worker
	// stopS is the bound grace_s.
	stopS float64
}

func newFleet() (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: newStore(), stopS: 8, ports: ports{next: 12000 + os.Getpid()%200*100}}
	return f, nil
}

// bounds are those of the small deployments.
const bounds = `
[limits]
processor = 0.4
memory_mb = 284
descriptors = 4100

[bounds]
drain_ms = 2000
stop_s = %g
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 94
address_lifetime_s = 5
stall_ms = 1500
`

func (f *fleet) writeSettings(g *gateway, seeds string) error {
	text := fmt.Sprintf("name = %q\nzone = \"zone-a\"\nip = \"127.0.0.1\"\n[listen]\ncallers = %q\nready = %q\ndirectory = %q\ncontrol = %q\nfirst_free_port = %d\n[peers]\nseeds = [%s]\n[store]\naddress = %q\n[rank]\nengine = \"\"\n",
		g.name, g.callers, g.ready, g.directory, g.control, g.freePort, seeds, g.storeProxy.address)
	return os.WriteFile(g.settings, []byte(text+fmt.Sprintf(bounds, f.stopS)), 0o600)
}

// addGateways prepares n gateways.
func (f *fleet) addGateways(n int) error {
	var seeds []string
	for i := range n {
		g := &gateway{name: fmt.Sprintf("gateway-%d", i+1), callers: f.ports.take(), ready: f.ports.take(), directory: f.ports.take(), control: f.ports.take()}
		// The metrics port is ten above this one.
		g.freePort = portOf(f.ports.take())
		f.ports.next += 12
		g.settings = filepath.Join(f.dir, g.name+".toml")
		g.gate = newGate(f.store.handler())
		store := f.ports.take()
		if err := serveHTTP(store, g.gate); err != nil {
			return err
		}
		p, err := newProxy(f.ports.take(), store)
		if err != nil {
			return err
		}
		g.storeProxy = p
		f.gateways = append(f.gateways, g)
		seeds = append(seeds, fmt.Sprintf("%q", g.control))
	}
	for _, g := range f.gateways {
		if err := f.writeSettings(g, strings.Join(seeds, ", ")); err != nil {
			return err
		}
		if err := f.startGateway(g); err != nil {
			return err
		}
	}
	return f.waitReady()
}

func (f *fleet) startGateway(g *gateway) error {
	log, err := os.Create(filepath.Join(f.dir, g.name+".log"))
	if err != nil {
		return err
	}
	g.log = log
	g.cmd = exec.Command("target/coltsfootbay", "gateway")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COLTSFOOTBAY_BOOT=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func() { _ = g.cmd.Wait(); close(g.exited) }()
	return nil
}

func (f *fleet) waitReady() error {
	until := time.Now().Add(10 * time.Second)
	for _, g := range f.gateways {
		for !ready(g) {
			if time.Now().After(until) {
				return fmt.Errorf("%s does not become ready", g.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// end kills all processes and removes the temporary folder.
func (f *fleet) end() {
	for _, g := range f.gateways {
		if g.cmd != nil && g.cmd.Process != nil {
			g.signal(syscall.SIGCONT)
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// addWorkers starts and publishes n workers of a service.
func (f *fleet) addWorkers(service string, n int, pace, work time.Duration) ([]*worker, error) {
	var out []*worker
	for i := range n {
		x := &worker{id: fmt.Sprintf("%s-%d", service, i+1), service: service, address: f.ports.take(), zone: "zone-a", slots: 12, pace: pace, work: work}
		if err := x.start(); err != nil {
			return nil, err
		}
		f.store.put("servers/"+x.id, x.document("ready"))
		out = append(out, x)
	}
	f.workers = append(f.workers, out...)
	return out, nil
}

// route is a route of a configuration.
type route struct {
	name, service, kind string
	timeoutMS           int
	anonymous           bool
}

const host = "review.example"

// configuration returns the document of a version. keys holds the keys of each account.
func configuration(version int, keys map[string][]string, services []string, routes ...route) map[string]any {
	var list, accounts, described []any
	for _, r := range routes {
		attempts := 2
		if r.kind == "unsafe" {
			attempts = 1
		}
		list = append(list, map[string]any{
			"name": r.name, "host": host, "prefix": "/" + r.name + "/", "kind": r.kind, "service": r.service, "timeout_ms": r.timeoutMS,
			"target_latency_ms": 500, "target_gap_ms": 120, "priority": 0, "max_attempts": attempts, "anonymous": r.anonymous,
			"resumable": r.kind == "streaming",
		})
	}
	for name, k := range keys {
		accounts = append(accounts, map[string]any{"name": name, "api_keys": k})
	}
	for _, s := range services {
		described = append(described, map[string]any{"name": s, "health_path": "/health", "max_conns": 418})
	}
	return map[string]any{
		"version": version, "routes": list, "tenants": accounts, "services": described,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
