// Package tomlfile decodes TOML strictly and reports every fault with its line
// and the allowed values.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is one mistake in a file.
type Fault struct {
	File string
	// Line is 1 for the first line; 0 means that the key is missing.
	Line    int
	Key     string
	Problem string
	// Allowed describes the values that would be accepted; it may be empty.
	Allowed string
}

// Error returns file, line, key, problem and allowed values.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, ": %s", f.Key)
	}
	fmt.Fprintf(&b, ": %s", f.Problem)
	if f.Allowed != "" {
		fmt.Fprintf(&b, " (allowed: %s)", f.Allowed)
	}
	return b.String()
}

// Faults is a list of mistakes; as an error it has one line for each.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults sorted by line, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool { return f[i].Line < f[j].Line })
	return f
}

// File is a decoded file that knows where its keys are.
type File struct {
	Name   string
	data   []byte
	keys   map[string]keyInfo
	faults Faults
}

// Decode reads data into target and refuses unknown keys and wrong types. All
// unknown keys are reported at once.
func Decode(name string, data []byte, target any) (*File, error) {
	f := &File{Name: name, data: data}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return f, nil
	}
	return nil, f.fromDecode(err, target)
}

func (f *File) fromDecode(err error, target any) error {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		var faults Faults
		for _, e := range missing.Errors {
			line, _ := e.Position()
			faults = append(faults, Fault{File: f.Name, Line: line, Key: strings.Join(e.Key(), "."), Problem: "unknown key", Allowed: knownKeys(target, e.Key())})
		}
		return faults.Err()
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		problem, allowed := describeType(strings.TrimPrefix(decode.Error(), "toml: "))
		return Faults{{File: f.Name, Line: line, Key: strings.Join(decode.Key(), "."), Problem: problem, Allowed: allowed}}
	}
	return Faults{{File: f.Name, Problem: err.Error()}}
}

// Add notes a fault of a key.
func (f *File) Add(key, allowed, format string, args ...any) {
	f.faults = append(f.faults, Fault{File: f.Name, Line: f.Line(key), Key: key, Problem: fmt.Sprintf(format, args...), Allowed: allowed})
}

// Line returns the line of a key, or 0 if the file does not have it. Elements
// of an array of tables are named table[0].key.
func (f *File) Line(key string) int {
	return f.key(key).line
}

// keyInfo is what a fault of a key needs.
type keyInfo struct {
	line int
	// integer tells that the value is a number without a fraction.
	integer bool
}

func (f *File) key(key string) keyInfo {
	// Most files have no faults and need no lines, and the map of a document
	// with thousands of accounts is larger than the document.
	if f.keys == nil {
		f.keys = keysOf(f.data)
	}
	return f.keys[key]
}

// Err returns the faults noted so far, or nil.
func (f *File) Err() error { return f.faults.Err() }

// Required notes a fault if value is empty.
func (f *File) Required(key, value, allowed string) {
	if value == "" {
		f.Add(key, allowed, "is required")
	}
}

// OneOf notes a fault if value is not one of the allowed values.
func (f *File) OneOf(key, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	f.Add(key, strings.Join(allowed, ", "), "%q is not an allowed value", value)
}

// Number is a type that a range can be checked on.
type Number interface {
	~int | ~int64 | ~float64
}

// InRange notes a fault if value is outside low to high, inclusive.
func InRange[T Number](f *File, key string, value, low, high T) {
	// Every comparison with NaN, which TOML can express, is false.
	inside := value >= low && value <= high
	if !inside {
		f.Add(key, fmt.Sprintf("%v to %v", low, high), "%v is out of range", value)
	}
}

// Duration is a time.Duration that TOML writes as a string such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"10s\" or \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText returns the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// DurationInRange notes a fault if value is outside low to high, inclusive.
func (f *File) DurationInRange(key string, value Duration, low, high time.Duration) {
	if f.key(key).integer {
		// The decoder takes a bare number as nanoseconds.
		f.Add(key, fmt.Sprintf("%s to %s, in quotes", low, high), "a duration needs a unit")
		return
	}
	if value.Std() < low || value.Std() > high {
		f.Add(key, fmt.Sprintf("%s to %s", low, high), "%s is out of range", value)
	}
}

// keysOf returns the line and kind of every key. A file that does not parse
// yields the keys before the fault.
func keysOf(data []byte) map[string]keyInfo {
	keys := map[string]keyInfo{}
	arrays := map[string]int{}
	prefix := ""
	var p unstable.Parser
	p.Reset(data)
	at := position{data: data, line: 1}
	for p.NextExpression() {
		e := p.Expression()
		name, line := at.keyOf(e)
		switch e.Kind {
		case unstable.Table:
			prefix = name + "."
			keys[name] = keyInfo{line: line}
		case unstable.ArrayTable:
			element := fmt.Sprintf("%s[%d]", name, arrays[name])
			arrays[name]++
			prefix = element + "."
			keys[element] = keyInfo{line: line}
		case unstable.KeyValue:
			keys[prefix+name] = keyInfo{line: line, integer: e.Value().Kind == unstable.Integer}
		}
	}
	return keys
}

// position counts lines from key to key. Counting from the start of the file
// for each key took seconds for a document of 1 MiB.
type position struct {
	data   []byte
	offset int
	line   int
}

func (p *position) lineAt(offset int) int {
	if offset < p.offset {
		p.offset, p.line = 0, 1
	}
	p.line += bytes.Count(p.data[p.offset:offset], []byte{'\n'})
	p.offset = offset
	return p.line
}

func (p *position) keyOf(e *unstable.Node) (name string, line int) {
	var parts []string
	for it := e.Key(); it.Next(); {
		node := it.Node()
		parts = append(parts, string(node.Data))
		if line == 0 {
			line = p.lineAt(int(node.Raw.Offset))
		}
	}
	return strings.Join(parts, "."), line
}
