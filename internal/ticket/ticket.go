// Package ticket issues and verifies the signed tokens that bind a request to
// one start of one agent. A ticket binds a non-idempotent request before it
// runs. A stream token names the agent that holds the parts of a stream.
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

// Purpose is the use of a token. A token for one purpose is not accepted for
// another.
type Purpose uint8

// Purposes of a token.
const (
	PurposeTicket Purpose = 1
	PurposeStream Purpose = 2
)

// MinKeyBytes is the minimum length of a signing key, in bytes.
const MinKeyBytes = 32

// maxTokenBytes limits the length of the text that Verify accepts, in bytes.
const maxTokenBytes = 1024

// ErrInvalid is returned for a token that is malformed, forged, signed with an
// unknown key or issued for another purpose.
var ErrInvalid = errors.New("token is malformed or its signature is not valid")

// Token is the signed content of a ticket or a stream token.
type Token struct {
	Purpose Purpose             `cbor:"1,keyasint"`
	Request fleet.RequestID     `cbor:"2,keyasint"`
	Account fleet.ClientAccount `cbor:"3,keyasint"`
	// Service is the plain service or model that the request is for.
	Service string          `cbor:"4,keyasint"`
	Agent   fleet.ProcessID `cbor:"5,keyasint"`
	Start   fleet.StartID   `cbor:"6,keyasint"`
	// ExpiresUptime is the agent's uptime, in milliseconds, at which the token
	// expires. It refers to the agent's monotonic clock, so the result does not
	// depend on wall clocks.
	ExpiresUptime int64 `cbor:"7,keyasint"`
	// KeyHash is the hash of the caller's idempotency key, or zero if there is
	// none.
	KeyHash uint64 `cbor:"8,keyasint,omitempty"`
}

// Key is a numbered signing key.
type Key struct {
	ID     uint32
	Secret []byte
}

// Keyring signs with its first key and verifies with any of its keys. Keys can
// therefore be rotated while tokens that were signed with an older key remain
// valid. It is immutable.
type Keyring struct {
	keys []Key
}

// NewKeyring returns a keyring. It returns an error if there is no key, a key
// is shorter than MinKeyBytes or a key number occurs twice.
func NewKeyring(keys ...Key) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, errors.New("no ticket keys are given")
	}
	seen := map[uint32]bool{}
	for _, k := range keys {
		if len(k.Secret) < MinKeyBytes {
			return nil, fmt.Errorf("ticket key %d has %d bytes, at least %d are required", k.ID, len(k.Secret), MinKeyBytes)
		}
		if seen[k.ID] {
			return nil, fmt.Errorf("ticket key number %d occurs twice", k.ID)
		}
		seen[k.ID] = true
	}
	return &Keyring{keys: keys}, nil
}

// Sign returns the signed, URL-safe text form of t. The text is the base64
// encoding of the key number, the CBOR content and the HMAC.
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

// Verify returns the content of a token that was signed with a key of the ring
// for the given purpose. Otherwise it returns ErrInvalid. It does not check the
// expiry.
func (r *Keyring) Verify(text string, purpose Purpose) (Token, error) {
	// The base64 decoder ignores line breaks, so a token could have several
	// text forms.
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
