package harness

import (
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
)

// Options describes a fleet.
type Options struct {
	// Bin is the directory of the binaries coltsfootbay and standin. Required.
	Bin string
	// Dir holds keys, settings and logs. Empty makes a temporary directory that
	// Close removes.
	Dir string
	// Zones are the availability zones; processes are assigned to them in turn.
	Zones []string
	// Entries is the number of entry VMs.
	Entries int
	// Agents describes the agents, each with a stand-in behind it.
	Agents    []AgentSpec
	Models    []ModelSpec
	Templates []TemplateSpec
	Accounts  []AccountSpec
	Services  []ServiceSpec
	// UDPFaults puts a UDP relay in front of every entry VM and agent. The VM
	// list, the seeds and the advertised addresses of the processes are then
	// those of the relays, so a cut stays in effect until it is healed.
	UDPFaults bool
	// TCPFaults puts a toxiproxy proxy between each entry VM and the platform
	// and between each agent and its backend server.
	TCPFaults bool
	// EntrySettings and AgentSettings modify the settings of each process before
	// they are written; nil makes no change.
	EntrySettings func(*settings.EntryConfig)
	AgentSettings func(*settings.AgentConfig)
	// ReadyTimeout bounds the time until the fleet serves. Zero means 15 s.
	ReadyTimeout time.Duration
}

const defaultReadyTimeout = 15 * time.Second

// AgentSpec describes an agent and the stand-in behind it.
type AgentSpec struct {
	// Kind is settings.KindModel or settings.KindService.
	Kind string
	// Backend is the name of the model or service.
	Backend string
	// Zone is the availability zone; empty assigns the next zone in turn.
	Zone string
	// Slots is the number of requests that run at a time; zero means 16.
	Slots int
	// URL is the base URL of a backend server that the test provides; empty
	// starts a stand-in.
	URL string
	// Arguments are additional command-line arguments of the stand-in.
	Arguments []string
}

const defaultSlots = 16

// ModelSpec is a model document.
type ModelSpec struct {
	Name     string
	Adapters []string
	Versions []string
}

// TemplateSpec is a template document. Zero values omit a field, except for
// Worth, where zero means 1.
type TemplateSpec struct {
	Name          string
	Rank          string
	Share         float64
	Models        []string
	Adapters      []string
	Services      []string
	FirstToken    time.Duration
	BetweenTokens time.Duration
	MaxAge        time.Duration
	Worth         float64
}

// AccountSpec is a client account with its bearer key.
type AccountSpec struct {
	ID       string
	Key      string
	Template string
	// Share overrides the template's share if it is above zero.
	Share float64
}

// ServiceSpec is a service document.
type ServiceSpec struct {
	Name  string
	Rules []dynamic.Rule
}

type modelBody struct {
	Adapters []string `toml:"adapters"`
	Versions []string `toml:"versions"`
}

type templateBody struct {
	Rank          string            `toml:"rank"`
	Share         float64           `toml:"share"`
	Models        []string          `toml:"models,omitempty"`
	Adapters      []string          `toml:"adapters,omitempty"`
	Services      []string          `toml:"services,omitempty"`
	FirstToken    tomlfile.Duration `toml:"first_token,omitempty"`
	BetweenTokens tomlfile.Duration `toml:"between_tokens,omitempty"`
	MaxAge        tomlfile.Duration `toml:"max_age,omitempty"`
	Worth         float64           `toml:"worth"`
}

type accountBody struct {
	ID        string  `toml:"id"`
	KeySHA256 string  `toml:"key_sha256"`
	Template  string  `toml:"template"`
	Share     float64 `toml:"share,omitempty"`
}

type accountsBody struct {
	Account []accountBody `toml:"account"`
}

type ruleBody struct {
	Method     string `toml:"method"`
	PathPrefix string `toml:"path_prefix"`
	Idempotent bool   `toml:"idempotent"`
}

type serviceBody struct {
	Rule []ruleBody `toml:"rule"`
}

// accountsDocument is the document that holds all accounts of the options.
const accountsDocument = "accounts/all"

// NamedDocument is a document's name and TOML body.
type NamedDocument struct{ Name, Body string }

// Document returns the model's document.
func (m ModelSpec) Document() NamedDocument {
	return NamedDocument{"models/" + m.Name, encode(modelBody{append([]string{}, m.Adapters...), append([]string{}, m.Versions...)})}
}

// Document returns the template's document.
func (t TemplateSpec) Document() NamedDocument {
	worth := t.Worth
	if worth == 0 {
		worth = 1
	}
	return NamedDocument{"templates/" + t.Name, encode(templateBody{
		Rank: t.Rank, Share: t.Share, Models: t.Models, Adapters: t.Adapters, Services: t.Services,
		FirstToken: tomlfile.Duration(t.FirstToken), BetweenTokens: tomlfile.Duration(t.BetweenTokens),
		MaxAge: tomlfile.Duration(t.MaxAge), Worth: worth,
	})}
}

// Document returns the service's document.
func (s ServiceSpec) Document() NamedDocument {
	var body serviceBody
	for _, r := range s.Rules {
		body.Rule = append(body.Rule, ruleBody{Method: r.Method, PathPrefix: r.PathPrefix, Idempotent: r.Idempotent})
	}
	return NamedDocument{"services/" + s.Name, encode(body)}
}

// AccountsDocument returns one document with all given accounts.
func AccountsDocument(name string, accounts []AccountSpec) NamedDocument {
	var body accountsBody
	for _, a := range accounts {
		body.Account = append(body.Account, accountBody{ID: a.ID, KeySHA256: dynamic.HashKey(a.Key).String(), Template: a.Template, Share: a.Share})
	}
	return NamedDocument{name, encode(body)}
}

func (o Options) documents() []NamedDocument {
	var documents []NamedDocument
	for _, m := range o.Models {
		documents = append(documents, m.Document())
	}
	for _, s := range o.Services {
		documents = append(documents, s.Document())
	}
	for _, t := range o.Templates {
		documents = append(documents, t.Document())
	}
	return append(documents, AccountsDocument(accountsDocument, o.Accounts))
}

// encode returns a value as TOML. It panics on an error, which the types of this
// package never cause.
func encode(value any) string {
	data, err := toml.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", value, err))
	}
	return string(data)
}
