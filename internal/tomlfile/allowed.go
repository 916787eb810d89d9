package tomlfile

import (
	"reflect"
	"regexp"
	"sort"
	"strings"
)

// typeErrorPattern matches go-toml's message for a value of the wrong type.
var typeErrorPattern = regexp.MustCompile(`cannot (?:decode TOML|store TOML) (.+?) into (?:a )?(?:struct field \S+ of type |Go value of type |)(\S+)$`)

// describeTypeError rewrites go-toml's message about a value of the wrong type, which
// names Go types, and returns the TOML values that are allowed. Other messages are
// returned unchanged.
func describeTypeError(message string) (problem, allowed string) {
	match := typeErrorPattern.FindStringSubmatch(message)
	if match == nil {
		return message, ""
	}
	return "a TOML " + match[1] + " is of the wrong type", allowedValues(match[2])
}

// allowedValues describes the TOML values that a Go type accepts.
func allowedValues(goType string) string {
	switch strings.TrimPrefix(goType, "*") {
	case "bool":
		return "true or false"
	case "int", "int64", "uint64":
		return "a whole number"
	case "float64":
		return "a number"
	case "string":
		return "a string in quotes"
	case "[]string":
		return "a list of strings"
	case "tomlfile.Duration":
		return `a duration in quotes such as "10s"`
	}
	if strings.HasPrefix(goType, "[]") {
		return "a list of tables"
	}
	return "a table"
}

// knownKeys lists the allowed keys of the table that contains the unknown key at path.
// It returns "" if the table itself is unknown.
func knownKeys(target any, path []string) string {
	t := elementType(reflect.TypeOf(target))
	for _, name := range path[:max(len(path)-1, 0)] {
		field, ok := fieldByTag(t, name)
		if !ok {
			return ""
		}
		t = elementType(field.Type)
	}
	if t.Kind() != reflect.Struct {
		return ""
	}
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("toml"))
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// elementType returns the type behind pointers and slices.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}

// fieldByTag returns the field of a struct whose toml tag is name, and whether there is
// one.
func fieldByTag(t reflect.Type, name string) (reflect.StructField, bool) {
	if t.Kind() != reflect.Struct {
		return reflect.StructField{}, false
	}
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("toml") == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}
