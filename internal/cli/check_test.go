package cli

import (
	"bytes"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// brokenFiles maps every file below testdata/broken to its expected faults: line,
// key and allowed values, or the problem where no range applies.
var brokenFiles = map[string][]string{
	"entry-name.toml":      {":1: name:|(allowed: 1 to 63 lower-case letters"},
	"entry-address.toml":   {":3: caller_address:|(allowed: an IP address and port"},
	"entry-url.toml":       {":6: platform_url:|(allowed: an http or https URL"},
	"entry-ratio.toml":     {":7: retry_ratio: NaN|(allowed: 0 to 1)"},
	"entry-duration.toml":  {":8: drain_timeout: 2h0m0s|(allowed: 1s to 1h0m0s)"},
	"entry-limits.toml":    {":18: limits.connections: 0|(allowed: 1 to 1000000)", ":19: limits.streams: 2000000|(allowed: 1 to 1000000)"},
	"entry-unknown.toml":   {":18: limits.conections: unknown key|(allowed: body_bytes, connections"},
	"entry-type.toml":      {":18: limits.connections: a TOML string|(allowed: a whole number)"},
	"entry-syntax.toml":    {":2: unexpected character"},
	"agent-kind.toml":      {":8: backend_server.kind: \"engine\"|(allowed: model, service)"},
	"agent-slots.toml":     {":11: backend_server.slots: 2000|(allowed: 1 to 1024)"},
	"agent-floor.toml":     {":15: queue.middle_floor: 0.7|(allowed: 0 to 0.5)"},
	"agent-grace.toml":     {":5: resume_grace: \"10\" is not a duration such as \"10s\""},
	"templates/rank.toml":  {":2: rank: \"high\"|(allowed: top, middle, bottom)"},
	"templates/names.toml": {":2: models: \"\"|(allowed: 1 to 128 letters"},
	"templates/ranges.toml": {
		":2: share: 1.5|(allowed: 0 to 1)", ":3: worth: -1|(allowed: 1e-06 to 1e+06)",
		":4: first_token: -1s|(allowed: 0s to 10m0s)", ":5: max_age: 48h0m0s|(allowed: 0s to 24h0m0s)",
	},
	"accounts/key.toml":     {":3: account[0].key_sha256:|(allowed: 64 hexadecimal digits)"},
	"accounts/missing.toml": {":2: account[0]: template|(allowed: 1 to 128 letters"},
	"accounts/twice.toml": {
		":6: account[1].id: \"x\" occurs twice|(allowed:", ":7: account[1].key_sha256:|occurs twice (allowed:",
		":9: account[1].share: 2|(allowed: 0 to 1)",
	},
	"services/rule.toml":  {":2: rule[0].method: \"FETCH\"|(allowed: GET, HEAD", ":3: rule[0].path_prefix:|(allowed: a path that begins with /)"},
	"models/unknown.toml": {":2: size: unknown key|(allowed: adapters, versions)"},
}

func run(arguments ...string) (status int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	status = Main(arguments, &out, &errOut)
	return status, out.String(), errOut.String()
}

// Guards against faulty files that pass, faults that are reported without line or
// range, and faults that are not reported after a first one.
func TestCheckNamesEveryFault(t *testing.T) {
	for name, want := range brokenFiles {
		path := filepath.Join("testdata", "broken", name)
		status, out, _ := run("check", path)
		lines := strings.Split(strings.TrimSpace(out), "\n")
		if status != exitFailure || len(lines) != len(want) {
			t.Errorf("%s: status %d, got\n%s", name, status, out)
			continue
		}
		for i, w := range want {
			start, end, _ := strings.Cut(path+w, "|")
			if !strings.HasPrefix(lines[i], start) || !strings.Contains(lines[i], end) {
				t.Errorf("%s: got %s, want %s ... %s", name, lines[i], start, end)
			}
		}
	}
}

// Guards against a file below testdata/broken that is missing from brokenFiles.
func TestBrokenFilesAreAllListed(t *testing.T) {
	root := filepath.Join("testdata", "broken")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		name := strings.TrimPrefix(path, root+"/")
		if err == nil && !entry.IsDir() && brokenFiles[name] == nil {
			t.Errorf("%s is not listed", name)
		}
		return err
	})
	if err != nil {
		t.Error(err)
	}
}

// Guards against correct files that are rejected, and against inactive references
// that are not reported or count as faults.
func TestCheckAcceptsGoodFiles(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("testdata/good/*/*.toml")
	is.NoErr(err)
	status, out, _ := run(append([]string{"check", "testdata/good/entry.toml", "testdata/good/agent.toml"}, files...)...)
	is.Equal(status, exitOK)
	is.True(strings.Contains(out, "testdata/good/templates/clerk.toml: inactive: model gone"))
	is.True(strings.Contains(out, "testdata/good/accounts/one.toml: inactive: account y: template none"))
	is.True(strings.Contains(out, "6 files without faults"))

	status, out, _ = run("check", "testdata/absent.toml", "testdata/good/entry.toml")
	is.Equal(status, exitFailure)
	is.True(strings.Contains(out, "testdata/absent.toml: "))
}
