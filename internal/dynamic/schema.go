package dynamic

import "github.com/coltsfootbay/coltsfootbay/internal/tomlfile"

// Kinds of document. A document's name has the form KIND/NAME.
const (
	kindModel    = "models"
	kindTemplate = "templates"
	kindAccount  = "accounts"
	kindService  = "services"
	kindEngine   = "engines"
	kindGroup    = "groups"
)

type modelSchema struct {
	Adapters []string `toml:"adapters"`
	Versions []string `toml:"versions"`
}

type templateSchema struct {
	Rank          string            `toml:"rank"`
	Share         float64           `toml:"share"`
	Models        []string          `toml:"models"`
	Adapters      []string          `toml:"adapters"`
	Services      []string          `toml:"services"`
	FirstToken    tomlfile.Duration `toml:"first_token"`
	BetweenTokens tomlfile.Duration `toml:"between_tokens"`
	MaxAge        tomlfile.Duration `toml:"max_age"`
	Worth         float64           `toml:"worth"`
}

type accountSchema struct {
	ID        string   `toml:"id"`
	KeySHA256 string   `toml:"key_sha256"`
	Template  string   `toml:"template"`
	Share     *float64 `toml:"share"`
}

type accountsSchema struct {
	Accounts []accountSchema `toml:"account"`
}

type ruleSchema struct {
	Method     string `toml:"method"`
	PathPrefix string `toml:"path_prefix"`
	Idempotent bool   `toml:"idempotent"`
}

type serviceSchema struct {
	Rules []ruleSchema `toml:"rule"`
}

type engineSchema struct {
	Agent    string   `toml:"agent"`
	Model    string   `toml:"model"`
	Version  string   `toml:"version"`
	Adapters []string `toml:"adapters"`
	Role     string   `toml:"role"`
}

type groupSchema struct {
	Model     string   `toml:"model"`
	Experts   int      `toml:"experts"`
	Ranks     []string `toml:"ranks"`
	Placement []int    `toml:"placement"`
}
