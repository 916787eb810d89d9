package dynamic

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// MaxBodyBytes bounds a document's body. The platform's values have at most 1 MiB.
const MaxBodyBytes = 1 << 20

// Bounds on values in templates.
const (
	maxLatencyTarget = 10 * time.Minute
	maxMaxAge        = 24 * time.Hour
	// minWorth keeps a template's worth above zero.
	minWorth = 1e-6
	maxWorth = 1e6
)

const (
	allowedName   = "1 to 128 letters, digits, dots, underscores and hyphens"
	allowedKind   = "accounts/NAME, engines/NAME, groups/NAME, models/NAME, services/NAME, templates/NAME"
	allowedKey    = "64 hexadecimal digits"
	allowedUnique = "a value that no other table of the document has"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Validate checks one document. The error is of type tomlfile.Faults and names the
// document, the line, the field and the allowed values. The result depends on the
// document alone, so every process reaches the same one.
func Validate(d wire.Document) error {
	kind, name, _ := strings.Cut(d.Name, "/")
	if !namePattern.MatchString(name) {
		return documentFault(d.Name, allowedName, "%q is not a valid document name", name)
	}
	if d.Deleted {
		return checkKind(d.Name, kind)
	}
	if len(d.Body) > MaxBodyBytes {
		return documentFault(d.Name, fmt.Sprintf("at most %d bytes", MaxBodyBytes), "the body exceeds the bound")
	}
	return validateBody(kind, d)
}

func validateBody(kind string, d wire.Document) error {
	switch kind {
	case kindModel:
		return decodeAndCheck(d, &modelSchema{})
	case kindTemplate:
		return decodeAndCheck(d, &templateSchema{})
	case kindAccount:
		return decodeAndCheck(d, &accountsSchema{})
	case kindService:
		return decodeAndCheck(d, &serviceSchema{})
	case kindEngine:
		return decodeAndCheck(d, &engineSchema{})
	case kindGroup:
		return decodeAndCheck(d, &groupSchema{})
	}
	return checkKind(d.Name, kind)
}

func checkKind(document, kind string) error {
	switch kind {
	case kindModel, kindTemplate, kindAccount, kindService, kindEngine, kindGroup:
		return nil
	}
	return documentFault(document, allowedKind, "%q is not a kind of document", kind)
}

func documentFault(document, allowed, format string, args ...any) error {
	return tomlfile.Faults{{File: document, Problem: fmt.Sprintf(format, args...), Allowed: allowed}}
}

type checker interface{ check(f *tomlfile.File) }

func decodeAndCheck(d wire.Document, target checker) error {
	f, err := tomlfile.Decode(d.Name, []byte(d.Body), target)
	if err != nil {
		return err
	}
	target.check(f)
	return f.Err()
}

func (m *modelSchema) check(f *tomlfile.File) {
	checkNames(f, "adapters", m.Adapters)
	checkNames(f, "versions", m.Versions)
}

func (t *templateSchema) check(f *tomlfile.File) {
	f.OneOf("rank", t.Rank, "top", "middle", "bottom")
	tomlfile.InRange(f, "share", t.Share, 0, 1)
	checkNames(f, "models", t.Models)
	checkNames(f, "adapters", t.Adapters)
	checkNames(f, "services", t.Services)
	f.DurationInRange("first_token", t.FirstToken, 0, maxLatencyTarget)
	f.DurationInRange("between_tokens", t.BetweenTokens, 0, maxLatencyTarget)
	f.DurationInRange("max_age", t.MaxAge, 0, maxMaxAge)
	if f.Line("worth") > 0 {
		tomlfile.InRange(f, "worth", t.Worth, minWorth, maxWorth)
	}
}

func (a *accountsSchema) check(f *tomlfile.File) {
	ids := make(map[string]bool, len(a.Accounts))
	keys := make(map[string]bool, len(a.Accounts))
	for i, account := range a.Accounts {
		prefix := fmt.Sprintf("account[%d]", i)
		account.check(f, prefix)
		checkUnique(f, prefix+".id", account.ID, ids)
		checkUnique(f, prefix+".key_sha256", strings.ToLower(account.KeySHA256), keys)
	}
}

func (a accountSchema) check(f *tomlfile.File, prefix string) {
	checkName(f, prefix, "id", a.ID)
	checkName(f, prefix, "template", a.Template)
	if _, err := parseKeyHash(a.KeySHA256); err != nil {
		f.Add(keyOrTable(f, prefix, "key_sha256"), allowedKey, "key_sha256 %v", err)
	}
	if a.Share != nil {
		tomlfile.InRange(f, prefix+".share", *a.Share, 0, 1)
	}
}

func (s *serviceSchema) check(f *tomlfile.File) {
	seen := map[string]bool{}
	for i, rule := range s.Rules {
		prefix := fmt.Sprintf("rule[%d]", i)
		f.OneOf(keyOrTable(f, prefix, "method"), rule.Method, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
		if !strings.HasPrefix(rule.PathPrefix, "/") {
			f.Add(keyOrTable(f, prefix, "path_prefix"), "a path that begins with /", "path_prefix is %q", rule.PathPrefix)
		}
		checkUnique(f, keyOrTable(f, prefix, "path_prefix"), rule.Method+" "+rule.PathPrefix, seen)
	}
}

// keyOrTable returns the key of a field, or that of its table if the field is absent.
// A missing field is thus reported with the line of its table.
func keyOrTable(f *tomlfile.File, table, field string) string {
	if key := table + "." + field; f.Line(key) > 0 {
		return key
	}
	return table
}

func checkName(f *tomlfile.File, table, field, value string) {
	if !namePattern.MatchString(value) {
		f.Add(keyOrTable(f, table, field), allowedName, "%s %q is not a valid name", field, value)
	}
}

func checkNames(f *tomlfile.File, key string, values []string) {
	for _, value := range values {
		if !namePattern.MatchString(value) {
			f.Add(key, allowedName, "%q is not a valid name", value)
		}
	}
}

func checkUnique(f *tomlfile.File, key, value string, seen map[string]bool) {
	if value != "" && seen[value] {
		f.Add(key, allowedUnique, "%q occurs twice", value)
	}
	seen[value] = true
}

func parseKeyHash(text string) (KeyHash, error) {
	var h KeyHash
	if len(text) != hex.EncodedLen(len(h)) {
		return h, fmt.Errorf("has %d characters", len(text))
	}
	if _, err := hex.Decode(h[:], []byte(text)); err != nil {
		return h, fmt.Errorf("is not hexadecimal")
	}
	return h, nil
}
