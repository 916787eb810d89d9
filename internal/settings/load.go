package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
)

// MaxDeadline is the longest time that a request may take, and so the upper limit of
// default_deadline.
const MaxDeadline = 10 * time.Minute

// maxFileBytes bounds a settings file, in bytes.
const maxFileBytes = 1 << 20

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const allowedName = "1 to 63 lower-case letters, digits and hyphens"

// LoadEntry reads and checks the settings file of an entry process. Invalid content is
// reported as tomlfile.Faults.
func LoadEntry(path string) (EntryConfig, error) {
	data, err := readFile(path)
	if err != nil {
		return EntryConfig{}, err
	}
	return ParseEntry(path, data)
}

// ParseEntry parses and checks the content of an entry process's settings file. name is
// the file name for error messages.
func ParseEntry(name string, data []byte) (EntryConfig, error) {
	c := DefaultEntryConfig()
	f, err := tomlfile.Decode(name, data, &c)
	if err != nil {
		return EntryConfig{}, err
	}
	c.check(f)
	return c, f.Err()
}

// LoadAgent reads and checks the settings file of an agent process. Invalid content is
// reported as tomlfile.Faults.
func LoadAgent(path string) (AgentConfig, error) {
	data, err := readFile(path)
	if err != nil {
		return AgentConfig{}, err
	}
	return ParseAgent(path, data)
}

// ParseAgent parses and checks the content of an agent process's settings file. name is
// the file name for error messages.
func ParseAgent(name string, data []byte) (AgentConfig, error) {
	c := DefaultAgentConfig()
	f, err := tomlfile.Decode(name, data, &c)
	if err != nil {
		return AgentConfig{}, err
	}
	c.check(f)
	return c, f.Err()
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s has %d bytes, at most %d are allowed", path, info.Size(), maxFileBytes)
	}
	return os.ReadFile(path)
}

func checkIdentity(f *tomlfile.File, name, zone string) {
	if !namePattern.MatchString(name) {
		f.Add("name", allowedName, "%q is not a valid name", name)
	}
	if !namePattern.MatchString(zone) {
		f.Add("zone", allowedName, "%q is not a valid name", zone)
	}
}

func checkAddress(f *tomlfile.File, key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		f.Add(key, `an IP address and port such as "192.0.2.1:7000"`, "%q is not an address", address)
	}
}

func checkOptionalAddress(f *tomlfile.File, key, address string) {
	if address != "" {
		checkAddress(f, key, address)
	}
}

func checkURL(f *tomlfile.File, key, text string) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		f.Add(key, `an http or https URL such as "http://192.0.2.1:8000"`, "%q is not a URL", text)
	}
}

func checkKeys(f *tomlfile.File, k Keys) {
	const allowed = "the path of a file"
	f.Required("keys.certificate", k.Certificate, allowed)
	f.Required("keys.key", k.Key, allowed)
	f.Required("keys.authority", k.Authority, allowed)
	f.Required("keys.ticket", k.Ticket, allowed)
	f.Required("keys.admin", k.Admin, allowed)
	if (k.CallerCertificate == "") != (k.CallerKey == "") {
		f.Add("keys.caller_certificate", "both caller_certificate and caller_key, or neither", "lacks its counterpart")
	}
}

func checkLimits(f *tomlfile.File, l Limits) {
	tomlfile.InRange(f, "limits.body_bytes", l.BodyBytes, 1<<10, 1<<20)
	tomlfile.InRange(f, "limits.request_bytes", l.RequestBytes, 4<<20, 1<<40)
	tomlfile.InRange(f, "limits.header_bytes", l.HeaderBytes, 4<<10, 1<<20)
	f.DurationInRange("limits.read_timeout", l.ReadTimeout, 100*time.Millisecond, 5*time.Minute)
	f.DurationInRange("limits.idle_timeout", l.IdleTimeout, time.Second, time.Hour)
	tomlfile.InRange(f, "limits.connections", l.Connections, 1, 1000000)
	tomlfile.InRange(f, "limits.streams", l.Streams, 1, 1000000)
	tomlfile.InRange(f, "limits.stream_buffer_bytes", l.StreamBufferBytes, 4<<10, 16<<20)
}
