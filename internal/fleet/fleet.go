// Package fleet defines the identifiers and enumerations that every other
// package shares: processes, starts, roles, zones, accounts and ranks.
package fleet

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"
)

// ProcessID is the configured name of a process, unique in the fleet.
type ProcessID string

// StartID identifies one start of a process: wall-clock milliseconds above
// random bits. Two starts never share one; a later start usually has the higher
// value, which gossip uses to prefer it, but no safety property relies on that.
type StartID uint64

// AvailabilityZone is the name of the zone a process runs in.
type AvailabilityZone string

// ClientAccount is the identifier of a client account.
type ClientAccount string

// RequestID identifies one caller request through every process.
type RequestID string

// Role tells what a process does.
type Role string

// Roles of a process.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Rank is the urgency class of a request. Lower values are more urgent.
type Rank uint8

// Ranks from the most to the least urgent.
const (
	RankTop Rank = iota
	RankMiddle
	RankBottom
)

// RankCount is the number of ranks.
const RankCount = 3

var rankNames = [RankCount]string{"top", "middle", "bottom"}

// String returns the name used in templates and logs.
func (r Rank) String() string {
	if int(r) < len(rankNames) {
		return rankNames[r]
	}
	return fmt.Sprintf("rank(%d)", uint8(r))
}

// ParseRank returns the rank with the given name, or an error that lists the
// allowed names.
func ParseRank(name string) (Rank, error) {
	for i, n := range rankNames {
		if n == name {
			return Rank(i), nil
		}
	}
	return 0, fmt.Errorf("rank %q is not one of top, middle, bottom", name)
}

// startRandomBits is the number of random low bits of a StartID.
const startRandomBits = 20

// NewStartID returns an identifier for a start at the present time.
func NewStartID() StartID {
	random := binary.BigEndian.Uint64(randomBytes(8)) >> (64 - startRandomBits)
	return StartID(uint64(time.Now().UnixMilli())<<startRandomBits | random)
}

// NewRequestID returns a random request identifier of 24 hexadecimal digits.
func NewRequestID() RequestID {
	return RequestID(hex.EncodeToString(randomBytes(12)))
}

// randomBytes returns n random bytes. crypto/rand.Read never fails.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return b
}
