// Package ticket issues and checks the signed tokens that bind a request to one
// start of one agent. A ticket binds a non-idempotent request before it runs; a
// stream token names the agent that holds the parts of a stream.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// Purpose separates the uses of signed tokens, so that one kind is never
// accepted as another.
type Purpose uint8

// Purposes of a token.
const (
	PurposeTicket Purpose = 1
	PurposeStream Purpose = 2
)

// MinKeyBytes is the shortest accepted signing key, in bytes.
const MinKeyBytes = 32

// maxTokenBytes bounds the encoded form that Verify accepts, in bytes.
const maxTokenBytes = 1024

// ErrInvalid is returned for a token that is malformed, forged, signed by an
// unknown key or of another purpose.
var ErrInvalid = errors.New("token is malformed or its signature is not valid")

// Token is the signed content.
type Token struct {
	Purpose Purpose             `cbor:"1,keyasint"`
	Request fleet.RequestID     `cbor:"2,keyasint"`
	Account fleet.ClientAccount `cbor:"3,keyasint"`
	// Service is the plain service or model the request is for.
	Service string          `cbor:"4,keyasint"`
	Agent   fleet.ProcessID `cbor:"5,keyasint"`
	Start   fleet.StartID   `cbor:"6,keyasint"`
	// ExpiresUptime is the agent's uptime in milliseconds at which the token
	// expires. The agent's monotonic clock decides, so wall clocks never matter.
	ExpiresUptime int64 `cbor:"7,keyasint"`
	// KeyHash is the hash of the caller's idempotency key; zero means none.
	KeyHash uint64 `cbor:"8,keyasint,omitempty"`
}

// Key is one signing key with its number.
type Key struct {
	ID     uint32
	Secret []byte
}

// Keyring signs with its first key and verifies with any of them, so keys can
// be rotated without refusing tokens that are still out. It is immutable.
type Keyring struct {
	keys []Key
}

// NewKeyring returns a keyring, or an error if there is no key, a key is
// shorter than MinKeyBytes or a number occurs twice.
func NewKeyring(keys ...Key) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, errors.New("keyring needs at least one key")
	}
	seen := map[uint32]bool{}
	for _, k := range keys {
		if len(k.Secret) < MinKeyBytes {
			return nil, fmt.Errorf("ticket key %d has %d bytes, at least %d are required", k.ID, len(k.Secret), MinKeyBytes)
		}
		if seen[k.ID] {
			return nil, fmt.Errorf("ticket key %d occurs twice", k.ID)
		}
		seen[k.ID] = true
	}
	return &Keyring{keys: keys}, nil
}

// Sign returns the URL-safe text form of t.
func (r *Keyring) Sign(t Token) (string, error) {
	body, err := cbor.Marshal(t)
	if err != nil {
		return "", fmt.Errorf("encode token: %w", err)
	}
	key := r.keys[0]
	raw := binary.BigEndian.AppendUint32(nil, key.ID)
	raw = append(raw, body...)
	raw = append(raw, mac(key, raw)...)
	return base64.RawURLEncoding.EncodeToString(raw), nil
}

// Verify returns the content of a token that some key of the ring signed for
// the given purpose, and ErrInvalid otherwise. It does not check the expiry.
func (r *Keyring) Verify(text string, purpose Purpose) (Token, error) {
	// The decoder skips line breaks, which would give a token many forms.
	if len(text) > maxTokenBytes || strings.ContainsAny(text, "\r\n") {
		return Token{}, ErrInvalid
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < 4+sha256.Size {
		return Token{}, ErrInvalid
	}
	signed, sum := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	key, ok := r.find(binary.BigEndian.Uint32(signed))
	if !ok || !hmac.Equal(sum, mac(key, signed)) {
		return Token{}, ErrInvalid
	}
	var t Token
	if err := cbor.Unmarshal(signed[4:], &t); err != nil || t.Purpose != purpose {
		return Token{}, ErrInvalid
	}
	return t, nil
}

func (r *Keyring) find(id uint32) (Key, bool) {
	for _, k := range r.keys {
		if k.ID == id {
			return k, true
		}
	}
	return Key{}, false
}

func mac(k Key, data []byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	h.Write(data)
	return h.Sum(nil)
}
