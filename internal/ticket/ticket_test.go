package ticket

import (
	"bytes"
	"encoding/base64"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func ring(t *testing.T, ids ...uint32) *Keyring {
	t.Helper()
	var keys []Key
	for _, id := range ids {
		keys = append(keys, Key{ID: id, Secret: bytes.Repeat([]byte{byte(id)}, MinKeyBytes)})
	}
	r, err := NewKeyring(keys...)
	is.New(t).NoErr(err)
	return r
}

// Guards against accepting a modified, foreign or malformed ticket, and against
// accepting a stream token as a ticket.
func TestVerifyRefusesForgedTokens(t *testing.T) {
	is := is.New(t)
	r := ring(t, 1)
	token := Token{Purpose: PurposeTicket, Request: "r", Account: "a", Agent: "g", Start: 9, ExpiresUptime: 5}
	text, err := r.Sign(token)
	is.NoErr(err)
	got, err := r.Verify(text, PurposeTicket)
	is.NoErr(err)
	is.Equal(got, token)
	_, err = r.Verify(text, PurposeStream)
	is.True(errors.Is(err, ErrInvalid))
	raw, err := base64.RawURLEncoding.DecodeString(text)
	is.NoErr(err)
	for i := range raw {
		forged := bytes.Clone(raw)
		forged[i] ^= 1
		_, err := r.Verify(base64.RawURLEncoding.EncodeToString(forged), PurposeTicket)
		is.True(errors.Is(err, ErrInvalid))
	}
	for _, bad := range []string{"", "!", text[:20], text + "A", strings.Repeat("A", maxTokenBytes+1)} {
		_, err := r.Verify(bad, PurposeTicket)
		is.True(errors.Is(err, ErrInvalid))
	}
}

// Guards against a key rotation that invalidates issued tickets, and against
// removed keys that are still accepted.
func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	text, err := ring(t, 1).Sign(Token{Purpose: PurposeTicket})
	is.NoErr(err)
	_, err = ring(t, 2, 1).Verify(text, PurposeTicket)
	is.NoErr(err)
	_, err = ring(t, 2).Verify(text, PurposeTicket)
	is.True(errors.Is(err, ErrInvalid))
}

// Guards against a changed key file that is not reloaded, and against a partly
// written file that replaces valid keys.
func TestFileReload(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "keys")
	write := func(content string, age time.Duration) {
		is.NoErr(os.WriteFile(path, []byte(content), 0o600))
		is.NoErr(os.Chtimes(path, time.Time{}, time.Now().Add(-age)))
	}
	write("# comment\n1 "+strings.Repeat("01", MinKeyBytes), time.Hour)
	f, err := OpenFile(path)
	is.NoErr(err)
	text, err := f.Keyring().Sign(Token{Purpose: PurposeTicket})
	is.NoErr(err)
	write("2 02", time.Minute)
	f.checked = time.Time{}
	_, err = f.Keyring().Verify(text, PurposeTicket)
	is.NoErr(err)
	write("2 "+strings.Repeat("02", MinKeyBytes), time.Second)
	f.checked = time.Time{}
	_, err = f.Keyring().Verify(text, PurposeTicket)
	is.True(errors.Is(err, ErrInvalid))
}
