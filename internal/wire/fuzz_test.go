package wire

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// FuzzRead guards against frames that crash the process, unexpected error
// values, and messages that change when they are encoded again.
func FuzzRead(f *testing.F) {
	for k := kindOpen; k < kindEnd; k++ {
		var frame bytes.Buffer
		if err := Write(&frame, 5, newMessage(k)); err != nil {
			f.Fatal(err)
		}
		f.Add(frame.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, stamp, err := Read(bytes.NewReader(data))
		if err != nil {
			if !errors.Is(err, ErrFrame) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("unexpected error %v", err)
			}
			return
		}
		var first, second bytes.Buffer
		if err := Write(&first, stamp, m); err != nil {
			t.Fatal(err)
		}
		again, stampAgain, err := Read(bytes.NewReader(first.Bytes()))
		if err != nil || stampAgain != stamp {
			t.Fatalf("%T with stamp %d: %v", m, stampAgain, err)
		}
		if err := Write(&second, stamp, again); err != nil || !bytes.Equal(first.Bytes(), second.Bytes()) {
			t.Errorf("%T changed when it was passed on: %v", m, err)
		}
	})
}
