// Package dynamic parses and validates the documents that operators publish on the
// platform, and computes the configuration that results from all of them.
package dynamic

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// Model is a model that backend servers can serve, with its known adapters and
// versions.
type Model struct {
	Name     string
	Adapters []string
	Versions []string
}

// Rule states whether requests with a method and a path prefix are idempotent.
type Rule struct {
	Method     string
	PathPrefix string
	Idempotent bool
}

// Service is a plain HTTP service, as opposed to a model engine.
type Service struct {
	Name  string
	Rules []Rule
}

// Idempotent reports whether a request may be repeated. The rule with the longest
// matching prefix decides; without a match, only GET and HEAD are idempotent.
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

// Template defines the permissions, share and latency targets of a class of client
// accounts.
type Template struct {
	Name string
	Rank fleet.Rank
	// Share is the share of the fleet that each account claims, from 0 to 1.
	Share    float64
	Models   []string
	Adapters []string
	Services []string
	// FirstToken and BetweenTokens are the latency targets: the time to the first
	// token and the inter-token gap.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// MaxAge bounds how long a bottom-rank request may wait; zero means that only the
	// request's deadline bounds the wait.
	MaxAge time.Duration
	// Worth is the weight of served requests of this template relative to others.
	Worth float64
}

// Account is a client account with the values of its template, overridden by its own
// where set.
type Account struct {
	ID       fleet.ClientAccount
	Template *Template
	// Share is the claimed share of the fleet, from 0 to 1. EffectiveShare is Share
	// times a common factor, which is below 1 if all claims exceed the fleet.
	Share          float64
	EffectiveShare float64
}

// KeyHash is the SHA-256 of a client account's bearer key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a bearer key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hexadecimal form that account documents use.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Inactive is a reference in a document that has no effect, with the reason.
type Inactive struct {
	Document  string `json:"document"`
	Reference string `json:"reference"`
	Reason    string `json:"reason"`
}

// Effective is the configuration that results from a set of documents. It is
// immutable.
type Effective struct {
	Models    map[string]Model
	Services  map[string]Service
	Templates map[string]*Template
	accounts  accounts
	// Engines holds the desired state of each agent's engine.
	Engines map[fleet.ProcessID]Engine
	// Groups holds the model groups by name.
	Groups   map[string]Group
	Inactive []Inactive
	// ShareScale is the factor by which claimed shares are scaled; 1 if the claims do
	// not exceed the fleet.
	ShareScale float64
}
