package wire

import (
	"bytes"
	"testing"
)

// BenchmarkPart measures the encoding and decoding of a Part with one token.
func BenchmarkPart(b *testing.B) {
	var frame bytes.Buffer
	part := &Part{Attempt: 1, Number: 200, Text: " token", Tokens: 1}
	b.ReportAllocs()
	for b.Loop() {
		frame.Reset()
		if err := Write(&frame, 1, part); err != nil {
			b.Fatal(err)
		}
		n := frame.Len()
		if _, _, err := Read(&frame); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(n), "wire-B/op")
	}
}
