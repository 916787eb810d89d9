package ticket

import (
	"bytes"
	"errors"
	"testing"
)

// FuzzVerify guards against forged tokens that are accepted and tokens that
// crash the process.
func FuzzVerify(f *testing.F) {
	ring, err := NewKeyring(Key{ID: 1, Secret: bytes.Repeat([]byte{7}, MinKeyBytes)})
	if err != nil {
		f.Fatal(err)
	}
	genuine, err := ring.Sign(Token{Purpose: PurposeTicket, Request: "r", Account: "a", Service: "s", Agent: "g", Start: 3, ExpiresUptime: 60000})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(genuine, uint16(0), byte(0))
	f.Fuzz(func(t *testing.T, text string, position uint16, change byte) {
		if _, err := ring.Verify(text, PurposeTicket); text != genuine && !errors.Is(err, ErrInvalid) {
			t.Errorf("token %q: %v", text, err)
		}
		changed := []byte(genuine)
		changed[int(position)%len(changed)] ^= change
		if _, err := ring.Verify(string(changed), PurposeTicket); (err == nil) != (change == 0) {
			t.Errorf("position %d changed by %d: %v", position, change, err)
		}
		if _, err := ring.Verify(genuine, PurposeStream); !errors.Is(err, ErrInvalid) {
			t.Errorf("a ticket was accepted as a stream token: %v", err)
		}
	})
}
