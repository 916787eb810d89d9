package gateway

import (
	"bytes"
	"testing"
)

// Guards against events that are lost, joined or changed by the reader, and against
// input that makes it panic.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: c\n\nid: 3\ndat"))
	f.Add([]byte("\n\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newEventReader(bytes.NewReader(data))
		var got []byte
		for {
			event, _, err := r.next()
			if err != nil {
				break
			}
			got = append(got, event...)
		}
		if !bytes.HasPrefix(data, got) {
			t.Fatalf("the events %q are not the beginning of %q", got, data)
		}
	})
}
