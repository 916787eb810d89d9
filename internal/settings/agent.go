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
	// Name is the name of the model or service that the server offers, as used in
	// the platform's documents. Required.
	Name string `toml:"name"`
	// URL is the server's base URL. Required.
	URL string `toml:"url"`
	// Slots is the number of requests that the server runs concurrently. Default
	// 16, range 1 to 1024. If the engine reports fewer slots, that number applies.
	Slots int `toml:"slots"`
	// ChecksFencing reports whether the engine refuses orders with an outdated
	// fencing number. Default false: only the agent protects the engine from such
	// orders.
	ChecksFencing bool `toml:"checks_fencing"`
	// OrderLease is the lease duration: how long a controller may send orders after
	// it claimed the lease, and how long a restarted agent waits before it grants
	// the first one. Default "10s", range 100ms to 5m. An order that the agent sent
	// before it restarted, to an engine without checks_fencing, must arrive within
	// this time.
	OrderLease tomlfile.Duration `toml:"order_lease"`
	// OrderTimeout is the longest wait for the engine's response to an order. Default
	// "10m", range 1s to 1h. After this time the order's outcome is unknown.
	OrderTimeout tomlfile.Duration `toml:"order_timeout"`
	// ProbeInterval is the time between health probes. Default "250ms", range
	// 50ms to 10s.
	ProbeInterval tomlfile.Duration `toml:"probe_interval"`
}

// Queue holds the settings of an agent's queue.
type Queue struct {
	// Items is the largest number of waiting requests. Default 512, range 1 to 100000.
	Items int `toml:"items"`
	// Bytes is the largest total size of waiting requests. Unit: bytes. Default
	// 8388608, range 65536 to 1073741824.
	Bytes int64 `toml:"bytes"`
	// MiddleFloor and BottomFloor are the minimum shares of token time that the
	// middle and bottom rank get when they have work, regardless of the demand of
	// the ranks above them. Defaults 0.2 and 0.1, range 0 to 0.5 each.
	MiddleFloor float64 `toml:"middle_floor"`
	BottomFloor float64 `toml:"bottom_floor"`
	// Ordering is the order of waiting requests: "fair", "fifo", "strict" or
	// "token_buckets". Default "fair". The others exist for comparison only; they
	// ignore the floors, and "fifo" and "strict" also ignore the shares.
	Ordering string `toml:"ordering"`
}

// AgentConfig holds the settings of an agent process.
type AgentConfig struct {
	// Name identifies the process in the fleet. It must equal the name in the
	// platform's VM list. Required.
	Name string `toml:"name"`
	// Zone is the availability zone in which the process runs. Required.
	Zone string `toml:"zone"`
	// PeerAddress is the IP address and UDP port on which the process listens for
	// entry VMs. Required.
	PeerAddress string `toml:"peer_address"`
	// AdvertiseAddress is the IP address and port at which other processes reach
	// this one. Default: peer_address. Set it if the two differ.
	AdvertiseAddress string `toml:"advertise_address"`
	// AdminAddress is the IP address and TCP port of the administration API.
	// Required.
	AdminAddress string `toml:"admin_address"`
	// ResumeGrace is how long a stream continues after its entry VM was lost, and
	// how long the parts of a finished stream are kept. Default "10s", range 0s to
	// 5m.
	ResumeGrace tomlfile.Duration `toml:"resume_grace"`
	// StreamBufferBytes is the largest total size of the buffered parts of one
	// stream. Unit: bytes. Default 262144, range 4096 to 16777216.
	StreamBufferBytes int `toml:"stream_buffer_bytes"`
	// LedgerBytes is the largest total size of the answers that are stored for
	// tickets. Unit: bytes. Default 16777216, range 65536 to 1073741824. Above it,
	// verdicts are kept but the bodies of answers are dropped.
	LedgerBytes int64 `toml:"ledger_bytes"`
	// TicketLinger is how long a leaving agent keeps running to resolve tickets.
	// Default "60s", range 0s to 1h; set it to the entry VMs' ticket_lifetime.
	TicketLinger tomlfile.Duration `toml:"ticket_linger"`
	// DrainTimeout is the longest time that a leaving process waits for open
	// requests. Default "10m", range 1s to 1h.
	DrainTimeout  tomlfile.Duration `toml:"drain_timeout"`
	BackendServer BackendServer     `toml:"backend_server"`
	Queue         Queue             `toml:"queue"`
	Keys          Keys              `toml:"keys"`
	Limits        Limits            `toml:"limits"`
}

// DefaultAgentConfig returns the settings that apply where the file sets none.
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
