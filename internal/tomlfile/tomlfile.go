// Package tomlfile decodes TOML files strictly, checks their values and reports every
// fault with its line and the allowed values.
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

// Fault is one error in a file.
type Fault struct {
	File string
	// Line is 1 for the first line; 0 if the key is missing or the line is unknown.
	Line    int
	Key     string
	Problem string
	// Allowed describes the values that would be accepted; it may be empty.
	Allowed string
}

// Error returns one line with the file, line, key, problem and allowed values.
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

// Faults is a list of faults; its error text has one line for each.
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

// File is a decoded file. It collects faults and finds the lines of keys.
type File struct {
	Name   string
	data   []byte
	keys   map[string]keyInfo
	faults Faults
}

// Decode decodes data into target. Syntax errors, unknown keys and wrong types are
// returned as Faults, which contain all unknown keys but only the first other error.
func Decode(name string, data []byte, target any) (*File, error) {
	f := &File{Name: name, data: data}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return f, nil
	}
	return nil, f.decodeFaults(err, target)
}

// decodeFaults converts an error of the TOML decoder into Faults.
func (f *File) decodeFaults(err error, target any) error {
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) {
		var faults Faults
		for _, e := range strictErr.Errors {
			line, _ := e.Position()
			faults = append(faults, Fault{File: f.Name, Line: line, Key: strings.Join(e.Key(), "."), Problem: "unknown key", Allowed: knownKeys(target, e.Key())})
		}
		return faults.Err()
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		problem, allowed := describeTypeError(strings.TrimPrefix(decodeErr.Error(), "toml: "))
		return Faults{{File: f.Name, Line: line, Key: strings.Join(decodeErr.Key(), "."), Problem: problem, Allowed: allowed}}
	}
	return Faults{{File: f.Name, Problem: err.Error()}}
}

// Add records a fault of a key.
func (f *File) Add(key, allowed, format string, args ...any) {
	f.faults = append(f.faults, Fault{File: f.Name, Line: f.Line(key), Key: key, Problem: fmt.Sprintf(format, args...), Allowed: allowed})
}

// Line returns the line of a key, or 0 if the file does not contain it. A key in an
// array of tables is named like table[0].key.
func (f *File) Line(key string) int {
	return f.lookup(key).line
}

// keyInfo holds what is needed to report faults of a key.
type keyInfo struct {
	line int
	// integer reports whether the value is a TOML integer.
	integer bool
}

func (f *File) lookup(key string) keyInfo {
	// The map is built on first use: most files have no faults and need no lines, and
	// the map of a document with thousands of accounts is larger than the document.
	if f.keys == nil {
		f.keys = indexKeys(f.data)
	}
	return f.keys[key]
}

// Err returns the faults recorded so far, or nil.
func (f *File) Err() error { return f.faults.Err() }

// Required records a fault if value is empty.
func (f *File) Required(key, value, allowed string) {
	if value == "" {
		f.Add(key, allowed, "is required")
	}
}

// OneOf records a fault if value is not one of the allowed values.
func (f *File) OneOf(key, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	f.Add(key, strings.Join(allowed, ", "), "%q is not an allowed value", value)
}

// Number is a type whose values InRange can check.
type Number interface {
	~int | ~int64 | ~float64
}

// InRange records a fault if value is not between low and high, inclusive.
func InRange[T Number](f *File, key string, value, low, high T) {
	// TOML can express NaN, for which every comparison is false, so NaN is reported.
	inside := value >= low && value <= high
	if !inside {
		f.Add(key, fmt.Sprintf("%v to %v", low, high), "%v is out of range", value)
	}
}

// Duration is a time.Duration that is written as a TOML string such as "1.5s".
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

// MarshalText returns the text that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// DurationInRange records a fault if value is not between low and high, inclusive, or is
// written without a unit.
func (f *File) DurationInRange(key string, value Duration, low, high time.Duration) {
	if f.lookup(key).integer {
		// The decoder reads a number without a unit as nanoseconds.
		f.Add(key, fmt.Sprintf("%s to %s, in quotes", low, high), "a duration needs a unit")
		return
	}
	if value.Std() < low || value.Std() > high {
		f.Add(key, fmt.Sprintf("%s to %s", low, high), "%s is out of range", value)
	}
}

// indexKeys returns the keyInfo of every key. For a file that does not parse, it
// returns the keys before the syntax error.
func indexKeys(data []byte) map[string]keyInfo {
	keys := map[string]keyInfo{}
	arrays := map[string]int{}
	prefix := ""
	var p unstable.Parser
	p.Reset(data)
	counter := lineCounter{data: data, line: 1}
	for p.NextExpression() {
		e := p.Expression()
		name, line := counter.keyAndLine(e)
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

// lineCounter determines the line numbers of keys by counting from the previous key.
// Counting from the start of the file for each key takes seconds for a document of
// 1 MiB.
type lineCounter struct {
	data   []byte
	offset int
	line   int
}

// lineAt returns the line of an offset in data.
func (c *lineCounter) lineAt(offset int) int {
	if offset < c.offset {
		c.offset, c.line = 0, 1
	}
	c.line += bytes.Count(c.data[c.offset:offset], []byte{'\n'})
	c.offset = offset
	return c.line
}

func (c *lineCounter) keyAndLine(e *unstable.Node) (name string, line int) {
	var parts []string
	for it := e.Key(); it.Next(); {
		node := it.Node()
		parts = append(parts, string(node.Data))
		if line == 0 {
			line = c.lineAt(int(node.Raw.Offset))
		}
	}
	return strings.Join(parts, "."), line
}
