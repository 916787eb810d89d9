// Package settings holds the static settings that a process reads once, at its
// start, from a TOML file.
package settings

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
)

// Keys names the files of a process's keys. They are read again when they
// change.
type Keys struct {
	// Certificate is a PEM file with the process's certificate. Required.
	Certificate string `toml:"certificate"`
	// Key is a PEM file with the certificate's private key. Required.
	Key string `toml:"key"`
	// Authority is a PEM file with the fleet's certificate authority, which
	// every peer's certificate must come from. Required.
	Authority string `toml:"authority"`
	// Ticket is a file with the ticket signing keys, one per line as a number
	// and at least 64 hexadecimal digits; the first one signs. Required, and
	// the same on all processes of a fleet.
	Ticket string `toml:"ticket"`
	// CallerCertificate and CallerKey are PEM files with a certificate chain
	// and its private key for callers, who then connect over HTTPS. Default
	// empty: plain HTTP. Entry processes only.
	CallerCertificate string `toml:"caller_certificate"`
	CallerKey         string `toml:"caller_key"`
	// Admin is a file with the bearer key of the administration API. Required.
	Admin string `toml:"admin"`
}

// Limits bounds what one listener accepts from outside.
type Limits struct {
	// BodyBytes bounds a request body. Unit: bytes. Default 1048576, range
	// 1024 to 1048576. A longer body is refused with status 413.
	BodyBytes int64 `toml:"body_bytes"`
	// HeaderBytes bounds a request's header. Unit: bytes. Default 32768, range
	// 4096 to 1048576.
	HeaderBytes int `toml:"header_bytes"`
	// ReadTimeout bounds the time to read a whole request. Default "10s",
	// range 100ms to 5m.
	ReadTimeout tomlfile.Duration `toml:"read_timeout"`
	// IdleTimeout closes a connection without requests. Default "60s", range
	// 1s to 1h.
	IdleTimeout tomlfile.Duration `toml:"idle_timeout"`
	// Connections bounds open connections. Default 4096, range 1 to 1000000.
	// Further connections wait in the kernel's backlog.
	Connections int `toml:"connections"`
	// Streams bounds requests in flight. Default 2048, range 1 to 1000000.
	// Further requests are refused with status 503 and verdict not_run.
	Streams int `toml:"streams"`
	// StreamBufferBytes bounds the text of one stream that a slow caller has
	// not read yet. Unit: bytes. Default 262144, range 4096 to 16777216.
	StreamBufferBytes int `toml:"stream_buffer_bytes"`
}

// DefaultLimits returns the limits used where the file sets none.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:         1 << 20,
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
	// Name identifies the process in the fleet; it must be the name that the
	// platform's VM list uses. Required.
	Name string `toml:"name"`
	// Zone is the availability zone the process runs in. Required.
	Zone string `toml:"zone"`
	// CallerAddress is the IP address and TCP port for callers. Required.
	CallerAddress string `toml:"caller_address"`
	// PeerAddress is the IP address and UDP port for other processes. Required.
	PeerAddress string `toml:"peer_address"`
	// AdvertiseAddress is the IP address and port at which others reach the
	// process. Default: peer_address. Set it where the two differ.
	AdvertiseAddress string `toml:"advertise_address"`
	// AdminAddress is the IP address and TCP port of the administration API.
	// Required.
	AdminAddress string `toml:"admin_address"`
	// PlatformURL is the base URL of the platform's service. Required.
	PlatformURL string `toml:"platform_url"`
	// Seeds are peer addresses to ask first after a start. Default empty: only
	// the platform's VM list leads to peers.
	Seeds []string `toml:"seeds"`
	// AddressLifetime is how long callers may keep an address answer. A leaving
	// process goes on serving for this time and 1s more. Default "10s", range
	// 1s to 10m.
	AddressLifetime tomlfile.Duration `toml:"address_lifetime"`
	// TicketLifetime is how long a ticket can be used. Default "60s", range 1s
	// to 1h. Leaving agents stay for at most this time.
	TicketLifetime tomlfile.Duration `toml:"ticket_lifetime"`
	// DefaultDeadline is the time a request may take if its caller sets none.
	// Default "30s", range 100ms to 10m.
	DefaultDeadline tomlfile.Duration `toml:"default_deadline"`
	// DrainTimeout bounds how long a leaving process waits for open requests.
	// Default "10m", range 1s to 1h; a value of at least the longest deadline
	// (10m) cuts no request off.
	DrainTimeout tomlfile.Duration `toml:"drain_timeout"`
	// AgentSubset is the number of agents of a model or service up to which the
	// process links to all of them. Of a larger model it links to agent_subset
	// divided by the number of models and services, at least to 4. Default 32,
	// range 2 to 1024.
	AgentSubset int `toml:"agent_subset"`
	// RetryRatio is the share of requests that may be retried. Default 0.1,
	// range 0 to 1.
	RetryRatio float64 `toml:"retry_ratio"`
	// Routing is how an agent is chosen, for comparison only: "scored",
	// "round_robin", "least_loaded" or "two_choices". Default "scored"; the
	// others ignore prompt caches and zones.
	Routing string `toml:"routing"`
	Keys    Keys   `toml:"keys"`
	Limits  Limits `toml:"limits"`
}

// DefaultEntryConfig returns the settings used where the file sets none.
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
