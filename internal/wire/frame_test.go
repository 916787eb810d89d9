package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fill sets every field to a non-zero value.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range 2 {
			fill(v.Index(i))
		}
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(-3)
	case reflect.Float64:
		v.SetFloat(1.5)
	default:
		v.SetUint(3)
	}
}

// Guards against a message type without a kind, two types with the same kind,
// and fields that are lost or swapped in encoding.
func TestMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	types := map[reflect.Type]bool{}
	for k := kindOpen; k < kindEnd; k++ {
		sent := newMessage(k)
		is.True(sent != nil)
		is.Equal(sent.messageKind(), k)
		types[reflect.TypeOf(sent)] = true
		if v := reflect.ValueOf(sent).Elem(); v.NumField() > 0 {
			fill(v)
		}
		var frame bytes.Buffer
		is.NoErr(Write(&frame, 77, sent))
		got, stamp, err := Read(&frame)
		is.NoErr(err)
		is.Equal(got, sent)
		is.Equal(uint64(stamp), uint64(77))
		is.Equal(frame.Len(), 0)
	}
	is.Equal(len(types), int(kindEnd-1))
	is.True(newMessage(kindEnd) == nil)
}

// Guards against sending a frame that exceeds the limit, and against allocating
// memory for a received one.
func TestFrameSizeLimit(t *testing.T) {
	is := is.New(t)
	var frame bytes.Buffer
	is.True(errors.Is(Write(&frame, 1, &Chunk{Data: make([]byte, MaxFrameBytes)}), ErrFrame))
	is.Equal(frame.Len(), 0)
	is.NoErr(Write(&frame, 1, &ConfigDocs{Documents: []Document{{Body: strings.Repeat("x", 1<<20)}}}))
	var header [headerBytes]byte
	binary.BigEndian.PutUint32(header[:], MaxFrameBytes+1)
	header[lengthBytes] = byte(kindHello)
	_, _, err := Read(bytes.NewReader(header[:]))
	is.True(errors.Is(err, ErrFrame))
}

// Guards against a panic on malformed input, and against a message that is
// decoded from an incomplete or invalid frame.
func TestMalformedFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var frame bytes.Buffer
		is.NoErr(Write(&frame, 1, &Submit{Request: "r", Completion: &Completion{Prompt: "text"}}))
		whole := frame.Bytes()
		cut := rapid.IntRange(0, len(whole)-1).Draw(t, "cut")
		_, _, err := Read(bytes.NewReader(whole[:cut]))
		is.True(errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
		body := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "body")
		raw := binary.BigEndian.AppendUint32(nil, uint32(kindBytes+timestampBytes+len(body)))
		raw = append(raw, rapid.Byte().Draw(t, "kind"))
		raw = append(append(raw, make([]byte, timestampBytes)...), body...)
		m, _, err := Read(bytes.NewReader(raw))
		is.True((m == nil) == errors.Is(err, ErrFrame))
	})
	is := is.New(t)
	for _, length := range []uint32{0, kindBytes + timestampBytes - 1} {
		raw := binary.BigEndian.AppendUint32(nil, length)
		_, _, err := Read(bytes.NewReader(append(raw, make([]byte, 20)...)))
		is.True(errors.Is(err, ErrFrame))
	}
}

// Guards against a message that shares memory with the reused frame buffer and
// changes when a later frame is read.
func TestMessagesDoNotShareFrameBuffers(t *testing.T) {
	is := is.New(t)
	var frames bytes.Buffer
	const count = 50
	for i := range count {
		text := strings.Repeat(string(rune('a'+i%26)), 100)
		is.NoErr(Write(&frames, 1, &Part{Text: text}))
		is.NoErr(Write(&frames, 1, &Chunk{Data: []byte(text)}))
	}
	var got []Message
	for range 2 * count {
		m, _, err := Read(&frames)
		is.NoErr(err)
		got = append(got, m)
	}
	for i := range count {
		text := strings.Repeat(string(rune('a'+i%26)), 100)
		is.Equal(got[2*i].(*Part).Text, text)
		is.Equal(string(got[2*i+1].(*Chunk).Data), text)
	}
}
