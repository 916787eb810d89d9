// Package settings defines, reads and validates the static settings that a process
// loads from a TOML file when it starts.
package settings

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
)

// Keys holds the paths of a process's key files. The files are read again when they
// change.
type Keys struct {
	// Certificate is a PEM file with the process's certificate. Required.
	Certificate string `toml:"certificate"`
	// Key is a PEM file with the certificate's private key. Required.
	Key string `toml:"key"`
	// Authority is a PEM file with the fleet's certificate authority, which must have
	// issued every peer's certificate. Required.
	Authority string `toml:"authority"`
	// Ticket is a file with the ticket signing keys. Each line has a number and at
	// least 64 hexadecimal digits; the first key signs. Required, and the same on
	// all processes of a fleet.
	Ticket string `toml:"ticket"`
	// CallerCertificate and CallerKey are PEM files with a certificate chain and its
	// private key. If they are set, callers connect over HTTPS. Default empty: plain
	// HTTP. Entry processes only.
	CallerCertificate string `toml:"caller_certificate"`
	CallerKey         string `toml:"caller_key"`
	// Admin is a file with the bearer key of the administration API. Required.
	Admin string `toml:"admin"`
}

// Limits bounds the requests and connections that one listener accepts.
type Limits struct {
	// BodyBytes is the largest request body. Unit: bytes. Default 1048576, range
	// 1024 to 1048576. A longer body is refused with status 413.
	BodyBytes int64 `toml:"body_bytes"`
	// HeaderBytes is the largest request header. Unit: bytes. Default 32768, range
	// 4096 to 1048576.
	HeaderBytes int `toml:"header_bytes"`
	// ReadTimeout is the time limit for reading a whole request. Default "10s",
	// range 100ms to 5m.
	ReadTimeout tomlfile.Duration `toml:"read_timeout"`
	// IdleTimeout is the time after which a connection without requests is closed.
	// Default "60s", range 1s to 1h.
	IdleTimeout tomlfile.Duration `toml:"idle_timeout"`
	// RequestBytes is the memory that the heads and bodies of all requests together may take.
	// Unit: bytes. Default 33554432, range 4194304 to 1099511627776. If it is used up, the
	// request that arrives most slowly is refused with status 503 and verdict not_run.
	RequestBytes int64 `toml:"request_bytes"`
	// Connections is the largest number of open connections. Default 4096, range 1 to 1000000.
	// At the limit a new connection takes the place of the one whose client has let the
	// process wait longest.
	Connections int `toml:"connections"`
	// Streams is the largest number of requests in flight. Default 2048, range 1 to
	// 1000000.
	// Further requests are refused with status 503 and verdict not_run.
	Streams int `toml:"streams"`
	// StreamBufferBytes is the largest amount of text of one stream that a slow
	// caller has not read yet. Unit: bytes. Default 262144, range 4096 to 16777216.
	StreamBufferBytes int `toml:"stream_buffer_bytes"`
}

// DefaultLimits returns the limits that apply where the file sets none.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:         1 << 20,
		RequestBytes:      32 << 20,
		HeaderBytes:       32 << 10,
		ReadTimeout:       tomlfile.Duration(10 * time.Second),
		IdleTimeout:       tomlfile.Duration(time.Minute),
		Connections:       4096,
		Streams:           2048,
		StreamBufferBytes: 256 << 10,
	}
}

// EntryConfig holds the settings of an entry process.
type EntryConfig struct {
	// Name identifies the process in the fleet. It must equal the name in the
	// platform's VM list. Required.
	Name string `toml:"name"`
	// Zone is the availability zone in which the process runs. Required.
	Zone string `toml:"zone"`
	// CallerAddress is the IP address and TCP port for callers. Required.
	CallerAddress string `toml:"caller_address"`
	// PeerAddress is the IP address and UDP port for other processes. Required.
	PeerAddress string `toml:"peer_address"`
	// AdvertiseAddress is the IP address and port at which other processes reach
	// this one. Default: peer_address. Set it if the two differ.
	AdvertiseAddress string `toml:"advertise_address"`
	// AdminAddress is the IP address and TCP port of the administration API.
	// Required.
	AdminAddress string `toml:"admin_address"`
	// PlatformURL is the base URL of the platform's service. Required.
	PlatformURL string `toml:"platform_url"`
	// Seeds are addresses of peers to contact first after a start. Default empty:
	// peers are found through the platform's VM list only.
	Seeds []string `toml:"seeds"`
	// AddressLifetime is how long callers may cache the response to an address query.
	// A leaving process keeps serving for this time plus 1s. Default "10s", range 1s
	// to 10m.
	AddressLifetime tomlfile.Duration `toml:"address_lifetime"`
	// TicketLifetime is how long a ticket is valid. Default "60s", range 1s
	// to 1h. Leaving agents keep running for at most this time.
	TicketLifetime tomlfile.Duration `toml:"ticket_lifetime"`
	// DefaultDeadline is the time a request may take if its caller sets none.
	// Default "30s", range 100ms to 10m.
	DefaultDeadline tomlfile.Duration `toml:"default_deadline"`
	// DrainTimeout is the longest time that a leaving process waits for open requests.
	// Default "10m", range 1s to 1h. With a value of at least the longest deadline
	// (10m), no request is cut off.
	DrainTimeout tomlfile.Duration `toml:"drain_timeout"`
	// AgentSubset is the largest number of agents of a model or service for which the
	// process links to all of them. If there are more, it links to agent_subset
	// divided by the number of models and services, but at least 4. Default 32, range
	// 2 to 1024.
	AgentSubset int `toml:"agent_subset"`
	// RetryRatio is the share of requests that may be retried. Default 0.1,
	// range 0 to 1.
	RetryRatio float64 `toml:"retry_ratio"`
	// Routing is the method by which agents are chosen: "scored", "round_robin",
	// "least_loaded" or "two_choices". Default "scored". The others exist for
	// comparison only; they ignore prompt caches and zones.
	Routing string `toml:"routing"`
	Keys    Keys   `toml:"keys"`
	Limits  Limits `toml:"limits"`
}

// DefaultEntryConfig returns the settings that apply where the file sets none.
func DefaultEntryConfig() EntryConfig {
	return EntryConfig{
		AddressLifetime: tomlfile.Duration(10 * time.Second),
		TicketLifetime:  tomlfile.Duration(time.Minute),
		DefaultDeadline: tomlfile.Duration(30 * time.Second),
		DrainTimeout:    tomlfile.Duration(10 * time.Minute),
		AgentSubset:     32,
		RetryRatio:      0.1,
		Routing:         "scored",
		Limits:          DefaultLimits(),
	}
}

func (c *EntryConfig) check(f *tomlfile.File) {
	checkIdentity(f, c.Name, c.Zone)
	checkAddress(f, "caller_address", c.CallerAddress)
	checkAddress(f, "peer_address", c.PeerAddress)
	checkOptionalAddress(f, "advertise_address", c.AdvertiseAddress)
	checkAddress(f, "admin_address", c.AdminAddress)
	checkURL(f, "platform_url", c.PlatformURL)
	for _, seed := range c.Seeds {
		checkAddress(f, "seeds", seed)
	}
	f.DurationInRange("address_lifetime", c.AddressLifetime, time.Second, 10*time.Minute)
	f.DurationInRange("ticket_lifetime", c.TicketLifetime, time.Second, time.Hour)
	f.DurationInRange("default_deadline", c.DefaultDeadline, 100*time.Millisecond, MaxDeadline)
	f.DurationInRange("drain_timeout", c.DrainTimeout, time.Second, time.Hour)
	tomlfile.InRange(f, "agent_subset", c.AgentSubset, 2, 1024)
	tomlfile.InRange(f, "retry_ratio", c.RetryRatio, 0, 1)
	f.OneOf("routing", c.Routing, "scored", "round_robin", "least_loaded", "two_choices")
	checkKeys(f, c.Keys)
	checkLimits(f, c.Limits)
}
