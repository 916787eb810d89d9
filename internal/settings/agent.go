package settings

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
)

// Kinds of backend server.
const (
	KindModel   = "model"
	KindService = "service"
)

// BackendServer describes the backend server behind an agent.
type BackendServer struct {
	// Kind is "model" for a model engine or "service" for a plain service.
	// Required.
	Kind string `toml:"kind"`
	// Name is the model or service that the server offers, as the platform's
	// documents call it. Required.
	Name string `toml:"name"`
	// URL is the server's base URL. Required.
	URL string `toml:"url"`
	// Slots is how many requests the server runs at a time. Default 16, range
	// 1 to 1024. An engine's own report, if lower, takes precedence.
	Slots int `toml:"slots"`
	// ChecksFencing tells that the engine refuses orders with an old fencing
	// number. Default false: the agent alone protects the engine.
	ChecksFencing bool `toml:"checks_fencing"`
	// OrderLease is how long a controller may send orders after its claim, and
	// how long a restarted agent waits before it grants the first one. Default
	// "10s", range 100ms to 5m. An order of the agent's former start that is
	// still on its way to an engine without checks_fencing must arrive within
	// this time.
	OrderLease tomlfile.Duration `toml:"order_lease"`
	// OrderTimeout bounds the wait for the engine's answer to an order. Default
	// "10m", range 1s to 1h. The order counts as unsettled afterwards.
	OrderTimeout tomlfile.Duration `toml:"order_timeout"`
	// ProbeInterval is the time between health probes. Default "250ms", range
	// 50ms to 10s.
	ProbeInterval tomlfile.Duration `toml:"probe_interval"`
}

// Queue holds the settings of an agent's queue.
type Queue struct {
	// Items bounds waiting requests. Default 512, range 1 to 100000.
	Items int `toml:"items"`
	// Bytes bounds the size of waiting requests. Unit: bytes. Default 8388608,
	// range 65536 to 1073741824.
	Bytes int64 `toml:"bytes"`
	// MiddleFloor and BottomFloor are the shares of token time that these
	// ranks get when they have work, whatever the ranks above them ask.
	// Defaults 0.2 and 0.1, range 0 to 0.5 each.
	MiddleFloor float64 `toml:"middle_floor"`
	BottomFloor float64 `toml:"bottom_floor"`
	// Ordering is how waiting requests are ordered, for comparison only:
	// "fair", "fifo", "strict" or "token_buckets". Default "fair"; the others
	// ignore the floors, and "fifo" and "strict" the shares as well.
	Ordering string `toml:"ordering"`
}

// AgentConfig holds the settings of an agent process.
type AgentConfig struct {
	// Name identifies the process in the fleet; it must be the name that the
	// platform's VM list uses. Required.
	Name string `toml:"name"`
	// Zone is the availability zone the process runs in. Required.
	Zone string `toml:"zone"`
	// PeerAddress is the IP address and UDP port for entry VMs. Required.
	PeerAddress string `toml:"peer_address"`
	// AdvertiseAddress is the IP address and port at which others reach the
	// process. Default: peer_address. Set it where the two differ.
	AdvertiseAddress string `toml:"advertise_address"`
	// AdminAddress is the IP address and TCP port of the administration API.
	// Required.
	AdminAddress string `toml:"admin_address"`
	// ResumeGrace is how long a stream whose entry VM was lost goes on, and
	// how long a finished stream's parts are kept. Default "10s", range 0s to
	// 5m.
	ResumeGrace tomlfile.Duration `toml:"resume_grace"`
	// StreamBufferBytes bounds the kept parts of one stream. Unit: bytes.
	// Default 262144, range 4096 to 16777216.
	StreamBufferBytes int `toml:"stream_buffer_bytes"`
	// LedgerBytes bounds the kept answers of tickets. Unit: bytes. Default
	// 16777216, range 65536 to 1073741824. Beyond it the verdict stays known
	// but the answer's body is dropped.
	LedgerBytes int64 `toml:"ledger_bytes"`
	// TicketLinger is how long a leaving agent stays to answer for tickets.
	// Default "60s", range 0s to 1h; set it to the entry VMs' ticket_lifetime.
	TicketLinger tomlfile.Duration `toml:"ticket_linger"`
	// DrainTimeout bounds how long a leaving process waits for open requests.
	// Default "10m", range 1s to 1h.
	DrainTimeout  tomlfile.Duration `toml:"drain_timeout"`
	BackendServer BackendServer     `toml:"backend_server"`
	Queue         Queue             `toml:"queue"`
	Keys          Keys              `toml:"keys"`
	Limits        Limits            `toml:"limits"`
}

// DefaultAgentConfig returns the settings used where the file sets none.
func DefaultAgentConfig() AgentConfig {
	return AgentConfig{
		ResumeGrace:       tomlfile.Duration(10 * time.Second),
		StreamBufferBytes: 256 << 10,
		LedgerBytes:       16 << 20,
		TicketLinger:      tomlfile.Duration(time.Minute),
		DrainTimeout:      tomlfile.Duration(10 * time.Minute),
		BackendServer: BackendServer{
			Slots: 16, ProbeInterval: tomlfile.Duration(250 * time.Millisecond),
			OrderLease: tomlfile.Duration(10 * time.Second), OrderTimeout: tomlfile.Duration(10 * time.Minute),
		},
		Queue:  Queue{Items: 512, Bytes: 8 << 20, MiddleFloor: 0.2, BottomFloor: 0.1, Ordering: "fair"},
		Limits: DefaultLimits(),
	}
}

func (c *AgentConfig) check(f *tomlfile.File) {
	checkIdentity(f, c.Name, c.Zone)
	checkAddress(f, "peer_address", c.PeerAddress)
	checkOptionalAddress(f, "advertise_address", c.AdvertiseAddress)
	checkAddress(f, "admin_address", c.AdminAddress)
	f.DurationInRange("resume_grace", c.ResumeGrace, 0, 5*time.Minute)
	tomlfile.InRange(f, "stream_buffer_bytes", c.StreamBufferBytes, 4096, 16<<20)
	tomlfile.InRange(f, "ledger_bytes", c.LedgerBytes, 64<<10, 1<<30)
	f.DurationInRange("ticket_linger", c.TicketLinger, 0, time.Hour)
	f.DurationInRange("drain_timeout", c.DrainTimeout, time.Second, time.Hour)
	c.BackendServer.check(f)
	c.Queue.check(f)
	checkKeys(f, c.Keys)
	checkLimits(f, c.Limits)
}

func (b *BackendServer) check(f *tomlfile.File) {
	f.OneOf("backend_server.kind", b.Kind, KindModel, KindService)
	f.Required("backend_server.name", b.Name, "the name of a model or service")
	checkURL(f, "backend_server.url", b.URL)
	tomlfile.InRange(f, "backend_server.slots", b.Slots, 1, 1024)
	f.DurationInRange("backend_server.order_lease", b.OrderLease, 100*time.Millisecond, 5*time.Minute)
	f.DurationInRange("backend_server.order_timeout", b.OrderTimeout, time.Second, time.Hour)
	f.DurationInRange("backend_server.probe_interval", b.ProbeInterval, 50*time.Millisecond, 10*time.Second)
}

func (q *Queue) check(f *tomlfile.File) {
	tomlfile.InRange(f, "queue.items", q.Items, 1, 100000)
	tomlfile.InRange(f, "queue.bytes", q.Bytes, 64<<10, 1<<30)
	tomlfile.InRange(f, "queue.middle_floor", q.MiddleFloor, 0, 0.5)
	tomlfile.InRange(f, "queue.bottom_floor", q.BottomFloor, 0, 0.5)
	f.OneOf("queue.ordering", q.Ordering, "fair", "fifo", "strict", "token_buckets")
}
