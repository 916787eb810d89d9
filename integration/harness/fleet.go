package harness

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/standin"
)

// Entry is an entry VM of the fleet.
type Entry struct {
	*Process
	Settings settings.EntryConfig
	// Relay is in front of the peer address; nil without UDPFaults.
	Relay *UDPRelay
	// PlatformFaults is between the entry VM and the platform; nil without
	// TCPFaults.
	PlatformFaults *TCPProxy
}

// Agent is an agent of the fleet with its backend server.
type Agent struct {
	*Process
	Settings settings.AgentConfig
	Backend  *Process
	// BackendURL is the URL of the backend server itself, bypassing any proxy.
	BackendURL string
	// Relay is in front of the peer address; nil without UDPFaults.
	Relay *UDPRelay
	// BackendFaults is between the agent and its backend server; nil without
	// TCPFaults.
	BackendFaults *TCPProxy

	journal string
}

// Fleet is a running fleet: the platform, the entry VMs, and the agents with
// their backend servers.
type Fleet struct {
	Dir         string
	Platform    *Process
	PlatformURL string
	Entries     []*Entry
	Agents      []*Agent
	AdminKey    string

	options   Options
	ports     Ports
	removeDir bool
}

// Start starts a fleet and waits until it serves. After an error, no process is
// left running.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if len(o.Zones) == 0 {
		o.Zones = []string{"zone-1"}
	}
	if o.ReadyTimeout == 0 {
		o.ReadyTimeout = defaultReadyTimeout
	}
	f := &Fleet{Dir: o.Dir, options: o}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.ReadyTimeout)
	defer cancel()
	if err := f.provision(ctx); err != nil {
		return err
	}
	if err := f.startPlatform(); err != nil {
		return err
	}
	for i, spec := range f.options.Agents {
		if err := f.prepareAgent(i, spec); err != nil {
			return err
		}
	}
	for i := range f.options.Entries {
		if err := f.prepareEntry(i); err != nil {
			return err
		}
	}
	if err := f.writeSettings(); err != nil {
		return err
	}
	if err := f.publishAll(ctx); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	return f.WaitReady(ctx)
}

// provision creates the directory and the keys.
func (f *Fleet) provision(ctx context.Context) error {
	if f.Dir == "" {
		dir, err := os.MkdirTemp("", "coltsfootbay-fleet-")
		if err != nil {
			return err
		}
		f.Dir, f.removeDir = dir, true
	}
	output, err := exec.CommandContext(ctx, f.binary("coltsfootbay"), "keys", f.keysDir()).CombinedOutput()
	if err != nil {
		return fmt.Errorf("make keys: %w: %s", err, output)
	}
	key, err := os.ReadFile(f.keys().Admin)
	if err != nil {
		return fmt.Errorf("read the administration key: %w", err)
	}
	f.AdminKey = strings.TrimSpace(string(key))
	return nil
}

func (f *Fleet) binary(name string) string { return filepath.Join(f.options.Bin, name) }

func (f *Fleet) keysDir() string { return filepath.Join(f.Dir, "keys") }

func (f *Fleet) keys() settings.Keys {
	return settings.Keys{
		Certificate: filepath.Join(f.keysDir(), "certificate.pem"),
		Key:         filepath.Join(f.keysDir(), "key.pem"),
		Authority:   filepath.Join(f.keysDir(), "authority.pem"),
		Ticket:      filepath.Join(f.keysDir(), "ticket.keys"),
		Admin:       filepath.Join(f.keysDir(), "admin.key"),
	}
}

func (f *Fleet) zone(i int, configured string) string {
	if configured != "" {
		return configured
	}
	return f.options.Zones[i%len(f.options.Zones)]
}

func (f *Fleet) startPlatform() error {
	address, err := f.ports.Next()
	if err != nil {
		return err
	}
	f.Platform = NewProcess(f.Dir, "platform", f.binary("standin"), "platform", "--listen", address)
	f.PlatformURL = "http://" + address
	if err := f.Platform.Start(); err != nil {
		return err
	}
	return f.Platform.waitListening(address, f.options.ReadyTimeout)
}

// peerAddress returns the address to bind and, with UDPFaults, a relay in front
// of it.
func (f *Fleet) peerAddress() (string, *UDPRelay, error) {
	bindAddress, err := f.ports.Next()
	if err != nil || !f.options.UDPFaults {
		return bindAddress, nil, err
	}
	relayAddress, err := f.ports.Next()
	if err != nil {
		return "", nil, err
	}
	relay, err := NewUDPRelay(relayAddress, bindAddress)
	return bindAddress, relay, err
}

// proxy returns a TCP proxy in front of a target, or nil without TCPFaults.
func (f *Fleet) proxy(name, target string) (*TCPProxy, error) {
	if !f.options.TCPFaults {
		return nil, nil
	}
	proxyAddress, err := f.ports.Next()
	if err != nil {
		return nil, err
	}
	return NewTCPProxy(name, proxyAddress, target)
}

func (f *Fleet) prepareAgent(i int, spec AgentSpec) error {
	name := fmt.Sprintf("agent-%d", i+1)
	backend, err := f.ports.Next()
	if err != nil {
		return err
	}
	admin, err := f.ports.Next()
	if err != nil {
		return err
	}
	peer, relay, err := f.peerAddress()
	if err != nil {
		return err
	}
	a := &Agent{BackendURL: "http://" + backend, Relay: relay}
	f.Agents = append(f.Agents, a)
	if a.BackendFaults, err = f.proxy(name+"-backend", backend); err != nil {
		return err
	}
	c := settings.DefaultAgentConfig()
	c.Name, c.Zone = name, f.zone(i, spec.Zone)
	c.PeerAddress, c.AdminAddress = peer, admin
	c.BackendServer.Kind, c.BackendServer.Name, c.BackendServer.URL = spec.Kind, spec.Backend, a.BackendURL
	if a.BackendFaults != nil {
		c.BackendServer.URL = "http://" + a.BackendFaults.Address()
	}
	c.BackendServer.Slots = defaultSlots
	if spec.Slots > 0 {
		c.BackendServer.Slots = spec.Slots
	}
	if relay != nil {
		c.AdvertiseAddress = relay.Address()
	}
	c.Keys = f.keys()
	if spec.URL != "" {
		c.BackendServer.URL, a.BackendURL = spec.URL, spec.URL
	}
	if f.options.AgentSettings != nil {
		f.options.AgentSettings(&c)
	}
	a.Settings = c
	a.Process = NewProcess(f.Dir, name, f.binary("coltsfootbay"), "agent", "--settings", f.settingsFile(name))
	if spec.URL == "" {
		a.Backend = f.backend(a, spec, backend)
	}
	return nil
}

func (f *Fleet) backend(a *Agent, spec AgentSpec, address string) *Process {
	name := a.Name + "-backend"
	args := []string{"engine", "--listen", address, "--model", spec.Backend, "--slots", strconv.Itoa(a.Settings.BackendServer.Slots)}
	if spec.Kind == settings.KindService {
		a.journal = filepath.Join(f.Dir, name+".runs")
		args = []string{"service", "--listen", address, "--journal", a.journal}
	}
	return NewProcess(f.Dir, name, f.binary("standin"), append(args, spec.Arguments...)...)
}

func (f *Fleet) prepareEntry(i int) error {
	name := fmt.Sprintf("entry-%d", i+1)
	caller, err := f.ports.Next()
	if err != nil {
		return err
	}
	admin, err := f.ports.Next()
	if err != nil {
		return err
	}
	peer, relay, err := f.peerAddress()
	if err != nil {
		return err
	}
	e := &Entry{Relay: relay}
	f.Entries = append(f.Entries, e)
	if e.PlatformFaults, err = f.proxy(name+"-platform", strings.TrimPrefix(f.PlatformURL, "http://")); err != nil {
		return err
	}
	c := settings.DefaultEntryConfig()
	c.Name, c.Zone = name, f.zone(i, "")
	c.CallerAddress, c.PeerAddress, c.AdminAddress = caller, peer, admin
	c.PlatformURL = f.PlatformURL
	if e.PlatformFaults != nil {
		c.PlatformURL = "http://" + e.PlatformFaults.Address()
	}
	if relay != nil {
		c.AdvertiseAddress = relay.Address()
	}
	c.Keys = f.keys()
	e.Settings = c
	e.Process = NewProcess(f.Dir, name, f.binary("coltsfootbay"), "entry", "--settings", f.settingsFile(name))
	return nil
}

// ReachableAddress returns the address at which other processes reach the entry
// VM: that of the relay if there is one.
func (e *Entry) ReachableAddress() string { return reachable(e.Settings.PeerAddress, e.Relay) }

// ReachableAddress returns the address at which other processes reach the agent:
// that of the relay if there is one.
func (a *Agent) ReachableAddress() string { return reachable(a.Settings.PeerAddress, a.Relay) }

func reachable(localAddress string, relay *UDPRelay) string {
	if relay != nil {
		return relay.Address()
	}
	return localAddress
}

// maxSeeds is the maximum number of seeds of an entry VM.
const maxSeeds = 3

func (f *Fleet) writeSettings() error {
	for _, e := range f.Entries {
		for _, peer := range f.Entries {
			if peer != e && len(e.Settings.Seeds) < maxSeeds {
				e.Settings.Seeds = append(e.Settings.Seeds, peer.ReachableAddress())
			}
		}
		if f.options.EntrySettings != nil {
			f.options.EntrySettings(&e.Settings)
		}
		if err := os.WriteFile(f.settingsFile(e.Name), []byte(encode(e.Settings)), 0o600); err != nil {
			return err
		}
	}
	for _, a := range f.Agents {
		if err := os.WriteFile(f.settingsFile(a.Name), []byte(encode(a.Settings)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) settingsFile(name string) string { return filepath.Join(f.Dir, name+".toml") }

func (f *Fleet) publishAll(ctx context.Context) error {
	for _, d := range f.options.documents() {
		if _, err := f.Publish(ctx, d.Name, d.Body); err != nil {
			return err
		}
	}
	return f.SetVMs(ctx, f.VMs())
}

// VMs returns a VM list with every entry VM and agent in state live.
func (f *Fleet) VMs() []standin.VM {
	var vms []standin.VM
	for _, e := range f.Entries {
		vms = append(vms, standin.VM{Name: e.Name, Role: "entry", Address: e.ReachableAddress(), AdminAddress: e.Settings.AdminAddress, Zone: e.Settings.Zone, State: "live"})
	}
	for _, a := range f.Agents {
		vms = append(vms, standin.VM{Name: a.Name, Role: "agent", Address: a.ReachableAddress(), AdminAddress: a.Settings.AdminAddress, Zone: a.Settings.Zone, State: "live"})
	}
	return vms
}

func (f *Fleet) startAll() error {
	for _, a := range f.Agents {
		if a.Backend == nil {
			continue
		}
		if err := a.Backend.Start(); err != nil {
			return err
		}
	}
	for _, a := range f.Agents {
		if err := f.waitBackend(a); err != nil {
			return err
		}
		if err := a.Start(); err != nil {
			return err
		}
	}
	for _, e := range f.Entries {
		if err := e.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) waitBackend(a *Agent) error {
	if a.Backend == nil {
		return nil
	}
	return a.Backend.waitListening(strings.TrimPrefix(a.BackendURL, "http://"), f.options.ReadyTimeout)
}

// Client returns a client with the key of an account and the addresses of all
// entry VMs. For an unknown account, the client has a key that no account has.
func (f *Fleet) Client(account string) *Client {
	key := "unknown"
	for _, a := range f.options.Accounts {
		if a.ID == account {
			key = a.Key
		}
	}
	var addresses []string
	for _, e := range f.Entries {
		addresses = append(addresses, e.Settings.CallerAddress)
	}
	return NewClient(addresses, key, "")
}

// ClientFrom returns a client that uses the entry VMs in turn, beginning with the
// one of the given index.
func (f *Fleet) ClientFrom(account string, entry int) *Client {
	c := f.Client(account)
	c.next = entry
	return c
}

// Close kills every process and removes a temporary directory.
func (f *Fleet) Close() {
	for _, e := range f.Entries {
		closeAll(e.Process, nil, e.Relay, e.PlatformFaults)
	}
	for _, a := range f.Agents {
		closeAll(a.Process, a.Backend, a.Relay, a.BackendFaults)
	}
	closeAll(f.Platform, nil, nil, nil)
	f.ports.Release()
	if f.removeDir {
		_ = os.RemoveAll(f.Dir)
	}
}

func closeAll(process, backend *Process, relay *UDPRelay, proxy *TCPProxy) {
	for _, p := range []*Process{process, backend} {
		if p != nil {
			p.Kill()
		}
	}
	if relay != nil {
		relay.Close()
	}
	if proxy != nil {
		proxy.Close()
	}
}
