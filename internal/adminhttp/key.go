package adminhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// minKeyBytes excludes keys short enough to be guessed.
	minKeyBytes = 16
	maxKeyBytes = 4096
	// keyCheckInterval is how often the key file's modification time is
	// checked.
	keyCheckInterval = time.Second
)

// keyFile holds the hash of the bearer key and reads the key's file again when it
// changes. It is safe for concurrent use.
type keyFile struct {
	path string

	mu       sync.Mutex
	hash     [sha256.Size]byte
	modified time.Time
	checked  time.Time
}

func loadKeyFile(path string) (*keyFile, error) {
	k := &keyFile{path: path}
	if err := k.load(); err != nil {
		return nil, err
	}
	return k, nil
}

// load reads the key file. It returns an error and keeps the previous key if the
// file cannot be read or its key is too short or too long, for example half
// written.
func (k *keyFile) load() error {
	info, err := os.Stat(k.path)
	if err != nil {
		return fmt.Errorf("administration key: %w", err)
	}
	if info.Size() > maxKeyBytes {
		return fmt.Errorf("administration key %s: %d bytes, at most %d are allowed", k.path, info.Size(), maxKeyBytes)
	}
	data, err := os.ReadFile(k.path)
	if err != nil {
		return fmt.Errorf("administration key: %w", err)
	}
	key := strings.TrimSpace(string(data))
	if len(key) < minKeyBytes {
		return fmt.Errorf("administration key %s: %d characters, at least %d are required", k.path, len(key), minKeyBytes)
	}
	k.hash, k.modified, k.checked = sha256.Sum256([]byte(key)), info.ModTime(), time.Now()
	return nil
}

// current returns the hash of the current key.
func (k *keyFile) current() [sha256.Size]byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checked) >= keyCheckInterval {
		k.checked = time.Now()
		if info, err := os.Stat(k.path); err == nil && !info.ModTime().Equal(k.modified) {
			_ = k.load()
		}
	}
	return k.hash
}

// authorizes reports whether a request carries the key. It compares hashes: the
// time taken depends neither on the key's content nor on its length.
func (k *keyFile) authorizes(r *http.Request) bool {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return false
	}
	given, want := sha256.Sum256([]byte(strings.TrimSpace(key))), k.current()
	return subtle.ConstantTimeCompare(given[:], want[:]) == 1
}
