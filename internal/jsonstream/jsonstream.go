// Package jsonstream reads lists of JSON objects one value at a time. An element of
// another form, however deeply nested, spoils neither the elements beside it nor the
// list, which encoding/json would reject as a whole.
package jsonstream

import (
	"encoding/json"
	"fmt"
)

// Nested stands for a list or an object as the value of a field.
type Nested struct{}

// Decoder reads tokens of which numbers are json.Number, so that no number is out of
// range.
type Decoder struct{ *json.Decoder }

// NewDecoder returns a Decoder that reads from d.
func NewDecoder(d *json.Decoder) Decoder {
	d.UseNumber()
	return Decoder{d}
}

// Object reads an object and calls field at the value of each of its fields; field must
// read the value, for example with Value.
func (d Decoder) Object(field func(key string) error) error {
	if err := d.expect('{'); err != nil {
		return err
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return err
		}
		// The keys of an object are always strings.
		name, _ := key.(string)
		if err := field(name); err != nil {
			return err
		}
	}
	return d.expect('}')
}

// Objects reads a list, or null, and calls add with the fields of each element that is an
// object, and with nil for each other element. A value is a string, json.Number, bool, nil
// or Nested.
func (d Decoder) Objects(add func(fields map[string]any)) error {
	open, err := d.Token()
	if err != nil || open == nil {
		return err
	}
	if open != json.Delim('[') {
		return fmt.Errorf("got %v, want a list", open)
	}
	for d.More() {
		fields, err := d.Fields()
		if err != nil {
			return err
		}
		add(fields)
	}
	return d.expect(']')
}

// Fields reads a value of any form and returns its fields if it is an object.
func (d Decoder) Fields() (map[string]any, error) {
	first, err := d.Token()
	if err != nil {
		return nil, err
	}
	if first != json.Delim('{') {
		_, err := d.finish(first)
		return nil, err
	}
	fields := map[string]any{}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return nil, err
		}
		name, _ := key.(string)
		if fields[name], err = d.Value(); err != nil {
			return nil, err
		}
	}
	return fields, d.expect('}')
}

// Value reads a value of any form.
func (d Decoder) Value() (any, error) {
	first, err := d.Token()
	if err != nil {
		return nil, err
	}
	return d.finish(first)
}

// finish reads the rest of the value that begins with a token.
func (d Decoder) finish(first json.Token) (any, error) {
	if _, ok := first.(json.Delim); !ok {
		return first, nil
	}
	for depth := 1; depth > 0; {
		token, err := d.Token()
		if err != nil {
			return nil, err
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
	}
	return Nested{}, nil
}

func (d Decoder) expect(wanted json.Delim) error {
	token, err := d.Token()
	if err == nil && token != wanted {
		err = fmt.Errorf("got %v, want %v", token, wanted)
	}
	return err
}

// Int returns an integer field, or fallback if it is absent. ok is false if it is no
// integer of 64 bits.
func Int(fields map[string]any, key string, fallback int64) (n int64, ok bool) {
	value, found := fields[key]
	if !found {
		return fallback, true
	}
	number, ok := value.(json.Number)
	if !ok {
		return 0, false
	}
	n, err := number.Int64()
	return n, err == nil
}

// String returns a string field, or "" if it is absent. ok is false if it is no string.
func String(fields map[string]any, key string) (text string, ok bool) {
	value, found := fields[key]
	if !found {
		return "", true
	}
	text, ok = value.(string)
	return text, ok
}

// Bool returns a boolean field, or false if it is absent. ok is false if it is no boolean.
func Bool(fields map[string]any, key string) (value, ok bool) {
	field, found := fields[key]
	if !found {
		return false, true
	}
	value, ok = field.(bool)
	return value, ok
}
