// Package dynamic parses and validates the documents that operators publish on
// the platform and computes the configuration that they have together.
package dynamic

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// Model is a model that backend servers can serve.
type Model struct {
	Name     string
	Adapters []string
	Versions []string
}

// Rule says whether calls of a method below a path prefix are idempotent.
type Rule struct {
	Method     string
	PathPrefix string
	Idempotent bool
}

// Service is a plain service beside the model engines.
type Service struct {
	Name  string
	Rules []Rule
}

// Idempotent reports whether a call may be repeated. The longest matching
// prefix decides; without a match GET and HEAD are idempotent.
func (s Service) Idempotent(method, path string) bool {
	best := -1
	idempotent := method == "GET" || method == "HEAD"
	for _, r := range s.Rules {
		if r.Method == method && strings.HasPrefix(path, r.PathPrefix) && len(r.PathPrefix) > best {
			best, idempotent = len(r.PathPrefix), r.Idempotent
		}
	}
	return idempotent
}

// Template holds what a class of client accounts may do.
type Template struct {
	Name string
	Rank fleet.Rank
	// Share is the claimed part of the fleet, from 0 to 1, of each account.
	Share    float64
	Models   []string
	Adapters []string
	Services []string
	// FirstToken and BetweenTokens are the latency targets.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// MaxAge bounds how long a bottom-rank request may wait; zero means that
	// only its deadline does.
	MaxAge time.Duration
	// Worth weighs served requests of this template against others.
	Worth float64
}

// Account is a client account with its template's values and its own
// parameters applied.
type Account struct {
	ID       fleet.ClientAccount
	Template *Template
	// Share is the claimed share; EffectiveShare is the share after claims
	// beyond the whole fleet were scaled down by a common factor.
	Share          float64
	EffectiveShare float64
}

// KeyHash is the SHA-256 of a client account's bearer key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a bearer key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hexadecimal form that account documents use.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Inactive is a reference that has no effect, with the reason.
type Inactive struct {
	Document  string `json:"document"`
	Reference string `json:"reference"`
	Reason    string `json:"reason"`
}

// Effective is the configuration that a set of documents has together. It is
// immutable.
type Effective struct {
	Models    map[string]Model
	Services  map[string]Service
	Templates map[string]*Template
	accounts  accounts
	// Engines holds what the engine of each agent should hold.
	Engines map[fleet.ProcessID]Engine
	// Groups holds the model groups by name.
	Groups   map[string]Group
	Inactive []Inactive
	// ShareScale is the factor that scales claimed shares; 1 when the claims
	// fit the fleet.
	ShareScale float64
}
