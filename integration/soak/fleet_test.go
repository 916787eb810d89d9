package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/platform/platformtest"
)

const (
	plain = 3
	zones = 2
	// revokeBound, drainBound and configBound are the times that the deployments
	// guarantee for a revoked key, a draining server and a new configuration.
	revokeBound = 5 * time.Second
	drainBound  = 2 * time.Second
	configBound = 2 * time.Second
	// stopBound is the time between SIGTERM and SIGKILL.
	stopBound = 8 * time.Second
)

// gatewayProcess is a gateway with one proxy towards the store and one in front
// of its caller address.
type gatewayProcess struct {
	*harness.Process
	callers, ready, directory, control, metrics string
	// callerProxy is the proxy that callers connect to.
	callerProxy *harness.TCPProxy
	storeProxy  *harness.TCPProxy
}

// server is a backend server with a proxy in front of it.
type server struct {
	id, service, address string
	started              time.Time
	proxy                *harness.TCPProxy
	process              *platformtest.Service
}

// fleet is the whole system: real gateway and agent processes, and stand-ins for
// the store and the backend servers that run in the test process.
type fleet struct {
	t *testing.T
	// directory holds the settings of the processes.
	directory string
	store     *platformtest.Store
	record    *platformtest.RunLog
	group     *platformtest.Group
	gateways  []*gatewayProcess
	agents    []*harness.Process
	// agentAddresses holds the addresses on which each agent listens.
	agentAddresses [][]string
	engines        []*server
	plain          []*server
	config         platformtest.Configuration
	ports          harness.Ports
	// withoutProxies publishes the engines' own addresses: a proxy accepts connections
	// also while its engine is down.
	withoutProxies bool
	// refusing makes servers refuse requests while gateways are restarted in series.
	refusing bool
	// restoring restores the store from older copies beside the other faults.
	restoring bool
	added     addedRoutes
	// crowded lets clients that do not behave come and go.
	crowded bool
	// memoryMB and descriptors are the limits of each process.
	memoryMB, descriptors int
	// crashCauses holds the parts of prompts and the paths that crashed servers.
	crashCauses []string
}

// startFleet starts all processes and stand-ins and waits until the gateways are
// ready.
func startFleet(t *testing.T, options ...func(*fleet)) *fleet {
	dir := t.TempDir()
	f := &fleet{t: t, directory: dir, store: platformtest.NewStore(), record: &platformtest.RunLog{}, memoryMB: 256, descriptors: 2000}
	for _, set := range options {
		set(f)
	}
	t.Cleanup(f.ports.Release)
	storeAddress := f.address()
	f.serve(storeAddress, f.store.Handler())
	f.startServers()
	f.config = firstConfiguration(f.group.Parameters)
	f.store.PutConfiguration(f.config)
	seeds := []string{}
	var control []string
	for range gateways {
		address := f.address()
		control = append(control, address)
		if len(seeds) < 3 {
			seeds = append(seeds, strconv.Quote(address))
		}
	}
	for n := range gateways {
		f.gateways = append(f.gateways, f.newGateway(dir, n, control[n], storeAddress, seeds))
	}
	for n := range ranks {
		f.agents = append(f.agents, f.newAgent(dir, n, seeds))
	}
	for _, p := range f.processes() {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
	}
	f.waitReady()
	return f
}

func (f *fleet) processes() []*harness.Process {
	var out []*harness.Process
	for _, g := range f.gateways {
		out = append(out, g.Process)
	}
	return append(out, f.agents...)
}

func (f *fleet) address() string {
	address, err := f.ports.Next()
	if err != nil {
		f.t.Fatal(err)
	}
	return address
}

func (f *fleet) serve(address string, h http.Handler) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
}

func (f *fleet) proxy(name, target string) *harness.TCPProxy {
	p, err := harness.NewTCPProxy(name, f.address(), target)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.Close)
	return p
}

func zone(n int) string { return fmt.Sprintf("zone-%d", n%zones) }

func (f *fleet) startServers() {
	var addresses []string
	for range ranks {
		addresses = append(addresses, f.address())
	}
	f.group = platformtest.NewGroup("g", modelName, platformtest.SmallEngineParameters(), addresses, f.record)
	for n, e := range f.group.Ranks {
		if err := e.Start(); err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(e.Stop)
		f.engines = append(f.engines, &server{id: e.ID, service: modelName, address: addresses[n], started: time.Now(), proxy: f.proxy(e.ID, addresses[n])})
		f.publish(f.engines[n], "ready")
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go f.group.Run(ctx)
	for n := range plain {
		f.plain = append(f.plain, f.newPlain(fmt.Sprintf("p-%d", n)))
	}
}

// newPlain starts a server of the plain service and publishes it as ready.
func (f *fleet) newPlain(id string) *server {
	address := f.address()
	s := platformtest.NewService(plainName, id, address, f.record)
	if err := s.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(s.Stop)
	x := &server{id: id, service: plainName, address: address, started: time.Now(), proxy: f.proxy(id, address), process: s}
	f.publish(x, "ready")
	return x
}

func (f *fleet) publish(s *server, state string) {
	address := s.proxy.Address()
	if f.withoutProxies {
		address = s.address
	}
	f.store.PutServer(s.id, s.service, address, zone(0), state, s.started.UnixMilli())
}

const (
	host           = "soak.example"
	plainName      = "plain"
	modelName      = "model"
	accounts       = 4
	keysPerAccount = 3
)

func firstConfiguration(p platformtest.EngineParameters) platformtest.Configuration {
	c := platformtest.Configuration{
		Version: 1, Keys: map[string][]string{}, Plain: plainName, Model: modelName, EngineParameters: p,
		Routes: []platformtest.Route{
			{Name: "unsafe", Host: host, Service: plainName, Kind: "unsafe", TimeoutMS: 1500},
			{Name: "safe", Host: host, Service: plainName, Kind: "safe", TimeoutMS: 1500},
			{Name: "streaming", Host: host, Service: modelName, Kind: "streaming", TimeoutMS: 6000},
		},
	}
	for n := range accounts {
		account := fmt.Sprintf("account-%d", n)
		for k := range keysPerAccount {
			c.Keys[account] = append(c.Keys[account], fmt.Sprintf("key-%d-%d", n, k))
		}
	}
	return c
}

// changeConfiguration publishes the next version of the configuration.
func (f *fleet) changeConfiguration(edit func(*platformtest.Configuration)) {
	edit(&f.config)
	f.config.Version += 3
	f.store.PutConfiguration(f.config)
}

func port(address string) int {
	_, text, _ := strings.Cut(address, ":")
	n, _ := strconv.Atoi(text)
	return n
}

func (f *fleet) newGateway(dir string, n int, control, store string, seeds []string) *gatewayProcess {
	name := fmt.Sprintf("gateway-%d", n)
	free := f.freePort()
	g := &gatewayProcess{callers: f.address(), ready: f.address(), directory: f.address(), control: control, metrics: metricsAddress(free)}
	g.callerProxy, g.storeProxy = f.proxy(name+"-callers", g.callers), f.proxy(name+"-store", store)
	listen := fmt.Sprintf("callers = %q\nready = %q\ndirectory = %q\ncontrol = %q\n", g.callers, g.ready, g.directory, control)
	file := f.settings(dir, name, n, listen, free, seeds, g.storeProxy.Address(), "")
	g.Process = harness.NewProcess(dir, name, filepath.Join(*binaries, "coltsfootbay"), "gateway", "--settings", file)
	return g
}

func (f *fleet) newAgent(dir string, n int, seeds []string) *harness.Process {
	name := fmt.Sprintf("agent-%d", n)
	free := f.freePort()
	f.agentAddresses = append(f.agentAddresses, []string{fmt.Sprintf("127.0.0.1:%d", free), metricsAddress(free)})
	file := f.settings(dir, name, n, "", free, seeds, "127.0.0.1:1", f.engineAddress(n))
	return harness.NewProcess(dir, name, filepath.Join(*binaries, "coltsfootbay"), "rank-agent", "--settings", file)
}

// engineAddress returns the address at which processes reach an engine.
func (f *fleet) engineAddress(n int) string {
	if f.withoutProxies {
		return f.engines[n].address
	}
	return f.engines[n].proxy.Address()
}

// metricsOffset is how far the port for metrics is above the free port of a process.
const metricsOffset = 10

// metricsAddress returns the address of the metrics of a process with this free port.
func metricsAddress(free int) string { return fmt.Sprintf("127.0.0.1:%d", free+metricsOffset) }

// freePort returns a free port whose port for metrics is free as well.
func (f *fleet) freePort() int {
	address, err := f.ports.NextWith(metricsOffset)
	if err != nil {
		f.t.Fatal(err)
	}
	return port(address)
}

func (f *fleet) settings(dir, name string, n int, listen string, free int, seeds []string, store, engine string) string {
	text := fmt.Sprintf(`name = %q
zone = %q
ip = "127.0.0.1"
[listen]
%sfirst_free_port = %d
[peers]
seeds = [%s]
[store]
address = %q
[rank]
engine = %q
[limits]
processor = 1.0
memory_mb = %d
descriptors = %d
[bounds]
drain_ms = %d
stop_s = %g
revoke_ms = %d
retry_ratio = %g
retry_window_s = %g
retry_slack = %d
address_lifetime_s = 5
stall_ms = %d
`, name, zone(n), listen, free, strings.Join(seeds, ", "), store, engine, f.memoryMB, f.descriptors, drainBound.Milliseconds(), stopBound.Seconds(),
		revokeBound.Milliseconds(), retryRatio, retryWindow.Seconds(), retrySlack, f.group.Parameters.Stall.Milliseconds())
	file := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return file
}

func (f *fleet) waitReady() {
	const within = 15 * time.Second
	deadline := time.Now().Add(within)
	for _, g := range f.gateways {
		for !platformtest.Ready(http.DefaultClient, g.ready) {
			if time.Now().After(deadline) {
				f.t.Fatalf("%s is not ready after %s:\n%s", g.Name, within, g.Log())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
