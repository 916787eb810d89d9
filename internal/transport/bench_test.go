package transport

import (
	"testing"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// BenchmarkPart measures sending and receiving a Part with one token over a
// QUIC connection whose two ends are in the same process.
func BenchmarkPart(b *testing.B) {
	t := b
	files := writeIdentity(t, t.TempDir())
	from, to := endpoint(t, files), endpoint(t, files)
	near, far, err := connect(t.Context(), from, to)
	if err != nil {
		t.Fatal(err)
	}
	out, err := near.OpenStream(t.Context(), wire.StreamRequest)
	if err != nil {
		t.Fatal(err)
	}
	in, err := far.AcceptStream(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := in.Kind(); err != nil {
		t.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	received := make(chan error, 1)
	go func() {
		for range b.N {
			if _, err := in.Receive(); err != nil {
				received <- err
				return
			}
		}
		received <- nil
	}()
	part := &wire.Part{Attempt: 1, Text: " token", Tokens: 1}
	for i := range b.N {
		part.Number = uint64(i)
		if err := out.Send(part); err != nil {
			b.Fatal(err)
		}
	}
	if err := <-received; err != nil {
		b.Fatal(err)
	}
	sent, packets := near.Traffic()
	b.ReportMetric(float64(sent)/float64(b.N), "sent-B/op")
	b.ReportMetric(float64(packets)/float64(b.N), "packets/op")
}
