package settings

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
)

// NodeListen holds the addresses on which a gateway or rank agent listens.
type NodeListen struct {
	// Callers is the IP address and port for callers' requests. Empty on a rank
	// agent.
	Callers string `toml:"callers"`
	// Ready is the IP address and port of the readiness check. Empty on a rank
	// agent.
	Ready string `toml:"ready"`
	// Directory is the IP address and port for address queries. Empty on a rank
	// agent.
	Directory string `toml:"directory"`
	// Control is the IP address and port, UDP and TCP, for other processes.
	// Empty on a rank agent, which uses first_free_port.
	Control string `toml:"control"`
	// FirstFreePort is a port that no other program uses. Metrics are served ten
	// ports above it. Required, range 1024 to 65000.
	FirstFreePort int `toml:"first_free_port"`
}

// NodePeers configures how processes find each other.
type NodePeers struct {
	// Seeds are control addresses of gateways; they may be out of date.
	Seeds []string `toml:"seeds"`
}

// NodeStore configures the store in which the configuration and the backend servers
// are published.
type NodeStore struct {
	// Address is the IP address and port of the store. Required.
	Address string `toml:"address"`
}

// NodeRank configures the engine of a rank agent.
type NodeRank struct {
	// Engine is the IP address and port of the engine. Required for a rank
	// agent.
	Engine string `toml:"engine"`
}

// NodeLimits are the resource limits of the process on its machine.
type NodeLimits struct {
	// MemoryMB is the memory use above which the process is killed. Unit: megabytes.
	// Range 32 to 1048576.
	MemoryMB int `toml:"memory_mb"`
	// Processor is the processor time that the process may use. Unit: cores. Range
	// 0.01 to 1024.
	Processor float64 `toml:"processor"`
	// Descriptors is the largest number of open file descriptors. Range 256 to
	// 1048576.
	Descriptors int `toml:"descriptors"`
}

// NodeBounds are the time limits and ratios that the deployment guarantees.
type NodeBounds struct {
	// DrainMS is the time within which a leaving backend server stops receiving work.
	// Unit: milliseconds. Range 1 to 600000.
	DrainMS int `toml:"drain_ms"`
	// StopS is the time from SIGTERM to SIGKILL. Unit: seconds. Range 1 to 600.
	StopS float64 `toml:"stop_s"`
	// RevokeMS is how long a key may remain usable after its removal.
	// Unit: milliseconds. Range 100 to 600000.
	RevokeMS int `toml:"revoke_ms"`
	// RetryRatio is the largest number of retries per caller request, over the whole
	// fleet. Range 0 to 1.
	RetryRatio float64 `toml:"retry_ratio"`
	// RetryWindowS is the length of the window over which RetryRatio is computed.
	// Unit: seconds. Range 1 to 600.
	RetryWindowS float64 `toml:"retry_window_s"`
	// RetrySlack is the number of retries per window allowed on top of RetryRatio.
	// Range 0 to 100000.
	RetrySlack float64 `toml:"retry_slack"`
	// AddressLifetimeS is the longest time for which a caller caches addresses.
	// Unit: seconds. Range 0.1 to 600.
	AddressLifetimeS float64 `toml:"address_lifetime_s"`
	// StallMS is how long work that depends on a lost rank stalls.
	// Unit: milliseconds. Range 1 to 600000.
	StallMS int `toml:"stall_ms"`
}

// NodeConfig holds the settings of a gateway or a rank agent.
type NodeConfig struct {
	// Name identifies the process in the fleet. Required.
	Name string `toml:"name"`
	// Zone is the availability zone of the machine. Required.
	Zone string `toml:"zone"`
	// IP is the address of the machine. Required.
	IP string `toml:"ip"`
	// FirstStart is true if the whole fleet starts for the first time. After any other start
	// of all gateways together, a request is refused for 2 minutes whose server crashed once,
	// because the gateways have forgotten whether it crashed others before; this ends 10
	// minutes after the start. Default false.
	FirstStart bool       `toml:"first_start"`
	Listen     NodeListen `toml:"listen"`
	Peers      NodePeers  `toml:"peers"`
	Store      NodeStore  `toml:"store"`
	Rank       NodeRank   `toml:"rank"`
	Limits     NodeLimits `toml:"limits"`
	Bounds     NodeBounds `toml:"bounds"`
}

// Drain returns Bounds.DrainMS as a duration.
func (b NodeBounds) Drain() time.Duration { return time.Duration(b.DrainMS) * time.Millisecond }

// RevocationDelay returns Bounds.RevokeMS as a duration.
func (b NodeBounds) RevocationDelay() time.Duration {
	return time.Duration(b.RevokeMS) * time.Millisecond
}

// StopTimeout returns Bounds.StopS as a duration.
func (b NodeBounds) StopTimeout() time.Duration { return time.Duration(b.StopS * float64(time.Second)) }

// NodeKind is the type of process for which a settings file is written.
type NodeKind int

// Types of process that use NodeConfig.
const (
	NodeGateway NodeKind = iota
	NodeRankAgent
)

// LoadNode reads and checks the settings file of a gateway or rank agent. Invalid
// content is reported as tomlfile.Faults.
func LoadNode(path string, kind NodeKind) (NodeConfig, error) {
	data, err := readFile(path)
	if err != nil {
		return NodeConfig{}, err
	}
	return ParseNode(path, data, kind)
}

// ParseNode parses and checks the content of a gateway's or rank agent's settings file.
// name is the file name for error messages.
func ParseNode(name string, data []byte, kind NodeKind) (NodeConfig, error) {
	var c NodeConfig
	f, err := tomlfile.Decode(name, data, &c)
	if err != nil {
		return NodeConfig{}, err
	}
	c.check(f, kind)
	return c, f.Err()
}

func (c NodeConfig) check(f *tomlfile.File, kind NodeKind) {
	f.Required("name", c.Name, "the name of the process")
	f.Required("zone", c.Zone, "the name of the availability zone")
	f.Required("ip", c.IP, "the address of the machine")
	tomlfile.InRange(f, "listen.first_free_port", c.Listen.FirstFreePort, 1024, 65000)
	for _, seed := range c.Peers.Seeds {
		checkAddress(f, "peers.seeds", seed)
	}
	if kind == NodeRankAgent {
		checkAddress(f, "rank.engine", c.Rank.Engine)
	} else {
		checkAddress(f, "listen.callers", c.Listen.Callers)
		checkAddress(f, "listen.ready", c.Listen.Ready)
		checkAddress(f, "listen.directory", c.Listen.Directory)
		checkAddress(f, "listen.control", c.Listen.Control)
		checkAddress(f, "store.address", c.Store.Address)
	}
	tomlfile.InRange(f, "limits.memory_mb", c.Limits.MemoryMB, 32, 1<<20)
	tomlfile.InRange(f, "limits.processor", c.Limits.Processor, 0.01, 1024)
	tomlfile.InRange(f, "limits.descriptors", c.Limits.Descriptors, 256, 1<<20)
	tomlfile.InRange(f, "bounds.drain_ms", c.Bounds.DrainMS, 1, 600000)
	tomlfile.InRange(f, "bounds.stop_s", c.Bounds.StopS, 1, 600)
	tomlfile.InRange(f, "bounds.revoke_ms", c.Bounds.RevokeMS, 100, 600000)
	tomlfile.InRange(f, "bounds.retry_ratio", c.Bounds.RetryRatio, 0, 1)
	tomlfile.InRange(f, "bounds.retry_window_s", c.Bounds.RetryWindowS, 1, 600)
	tomlfile.InRange(f, "bounds.retry_slack", c.Bounds.RetrySlack, 0, 100000)
	tomlfile.InRange(f, "bounds.address_lifetime_s", c.Bounds.AddressLifetimeS, 0.1, 600)
	tomlfile.InRange(f, "bounds.stall_ms", c.Bounds.StallMS, 1, 600000)
}
