package ticket

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// reloadInterval is the minimum time between two checks of the key file's
// modification time.
const reloadInterval = time.Second

// File is a key file that is reloaded when it changes. It is safe for
// concurrent use.
type File struct {
	path string

	mu       sync.Mutex
	ring     *Keyring
	modified time.Time
	checked  time.Time
}

// OpenFile loads a key file. It returns an error if the file cannot be read or
// does not parse.
func OpenFile(path string) (*File, error) {
	f := &File{path: path}
	if err := f.load(); err != nil {
		return nil, err
	}
	return f, nil
}

// Keyring returns the current keys. If a changed file does not parse, the
// previous keys stay in use.
func (f *File) Keyring() *Keyring {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.checked) >= reloadInterval {
		f.checked = time.Now()
		if info, err := os.Stat(f.path); err == nil && !info.ModTime().Equal(f.modified) {
			_ = f.load()
		}
	}
	return f.ring
}

func (f *File) load() error {
	info, err := os.Stat(f.path)
	if err != nil {
		return fmt.Errorf("ticket key file: %w", err)
	}
	data, err := os.ReadFile(f.path)
	if err != nil {
		return fmt.Errorf("ticket key file: %w", err)
	}
	ring, err := ParseKeys(data)
	if err != nil {
		return fmt.Errorf("ticket key file %s: %w", f.path, err)
	}
	f.ring, f.modified, f.checked = ring, info.ModTime(), time.Now()
	return nil
}

// ParseKeys parses the content of a key file. Each line has a key number and
// the key in hexadecimal digits, separated by a space. Empty lines and lines
// that start with # are skipped.
func ParseKeys(data []byte) (*Keyring, error) {
	var keys []Key
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		key, err := parseKey(text)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		keys = append(keys, key)
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	return NewKeyring(keys...)
}

func parseKey(text string) (Key, error) {
	number, digits, _ := strings.Cut(text, " ")
	id, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return Key{}, fmt.Errorf("key number %q is not an unsigned 32-bit integer", number)
	}
	secret, err := hex.DecodeString(strings.TrimSpace(digits))
	if err != nil {
		return Key{}, fmt.Errorf("ticket key %d is not valid hexadecimal", id)
	}
	return Key{ID: uint32(id), Secret: secret}, nil
}
