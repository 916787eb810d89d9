package jsonstream

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func read(list string) (elements []map[string]any, err error) {
	err = NewDecoder(json.NewDecoder(strings.NewReader(list))).Objects(func(fields map[string]any) { elements = append(elements, fields) })
	return elements, err
}

// Guards against one odd element that makes a whole list unreadable.
func TestOddElementsLeaveOthersReadable(t *testing.T) {
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	for name, odd := range map[string]string{
		"number": `1e400`, "string": `"x"`, "null": `null`, "list": `[1,{"key":"x"}]`, "deep list": deep,
		"deep field": `{"key":"odd","value":` + deep + `}`, "huge number": `{"key":"odd","revision":1e400}`,
		"deep object": strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			elements, err := read(`[{"key":"a","revision":1},` + odd + `,{"key":"b","deleted":true}]`)
			is.NoErr(err)
			is.Equal(len(elements), 3)
			key, ok := String(elements[2], "key")
			is.True(ok)
			is.Equal(key, "b")
			revision, ok := Int(elements[0], "revision", 0)
			is.True(ok)
			is.Equal(revision, int64(1))
			_, ok = Int(elements[1], "revision", 0)
			is.Equal(ok, name != "huge number")
		})
	}
}

// Guards against a list that breaks off and counts as complete.
func TestBrokenListIsAnError(t *testing.T) {
	is := is.New(t)
	for _, list := range []string{`[`, `[{"a":1}`, `[{"a":1},`, `[{"a"`, `{`, `7`, ``, `[1 2]`, `[{"a":[}]`} {
		_, err := read(list)
		is.True(err != nil) // a list that breaks off
	}
	elements, err := read(`null`)
	is.NoErr(err)
	is.Equal(len(elements), 0)
}

// Guards against a reader that accepts what encoding/json does not, or fails on what it
// accepts.
func FuzzObjects(f *testing.F) {
	for _, list := range []string{`[{"key":"a","value":"YQ==","revision":1,"deleted":true}]`, `[1e400,[[]],{"a":{"b":[null]}}]`, `[{"a":1,"a":2}]`, `null`} {
		f.Add([]byte(list))
	}
	f.Fuzz(func(t *testing.T, list []byte) {
		var elements []map[string]any
		d := json.NewDecoder(bytes.NewReader(list))
		err := NewDecoder(d).Objects(func(fields map[string]any) { elements = append(elements, fields) })
		var want []json.RawMessage
		if json.Unmarshal(list, &want) != nil {
			return
		}
		if err != nil || len(elements) != len(want) {
			t.Fatalf("%d elements, %v; encoding/json reads %d", len(elements), err, len(want))
		}
	})
}
