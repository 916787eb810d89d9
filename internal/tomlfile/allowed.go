package tomlfile

import (
	"reflect"
	"regexp"
	"sort"
	"strings"
)

// typeFault matches go-toml's message for a value of the wrong type.
var typeFault = regexp.MustCompile(`cannot (?:decode TOML|store TOML) (.+?) into (?:a )?(?:struct field \S+ of type |Go value of type |)(\S+)$`)

// describeType replaces Go's type names by what a file may hold.
func describeType(message string) (problem, allowed string) {
	match := typeFault.FindStringSubmatch(message)
	if match == nil {
		return message, ""
	}
	return "a TOML " + match[1] + " is of the wrong type", typeName(match[2])
}

func typeName(goType string) string {
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

// knownKeys lists the keys of the table that holds an unknown key.
func knownKeys(target any, path []string) string {
	t := tableType(reflect.TypeOf(target))
	for _, name := range path[:max(len(path)-1, 0)] {
		field, ok := fieldOf(t, name)
		if !ok {
			return ""
		}
		t = tableType(field.Type)
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

func tableType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}

func fieldOf(t reflect.Type, name string) (reflect.StructField, bool) {
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
