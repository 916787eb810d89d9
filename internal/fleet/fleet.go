// Package fleet defines the identifiers and enumerations that other packages share:
// processes, starts, roles, zones, accounts, requests and ranks.
package fleet

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"
)

// ProcessID is the configured name of a process; it is unique in the fleet.
type ProcessID string

// StartID identifies one start of a process. It consists of wall-clock milliseconds
// in the high bits and random low bits. No two starts share a value. A later start
// usually has a higher value, so gossip prefers the higher one, but no safety property
// relies on that order.
type StartID uint64

// AvailabilityZone is the name of the availability zone in which a process runs.
type AvailabilityZone string

// ClientAccount is the identifier of a client account.
type ClientAccount string

// RequestID identifies one caller's request in every process that handles it.
type RequestID string

// Role is the function of a process in the fleet.
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

// NewStartID returns an identifier for a start at the current time.
func NewStartID() StartID {
	random := binary.BigEndian.Uint64(randomBytes(8)) >> (64 - startRandomBits)
	return StartID(uint64(time.Now().UnixMilli())<<startRandomBits | random)
}

// NewRequestID returns a random request identifier of 24 hexadecimal digits.
func NewRequestID() RequestID {
	return RequestID(hex.EncodeToString(randomBytes(12)))
}

// randomBytes returns n cryptographically random bytes. crypto/rand.Read never returns
// an error.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return b
}
