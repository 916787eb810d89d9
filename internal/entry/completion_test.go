package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootbay/coltsfootbay/internal/entry/command"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// Guards against events whose JSON differs from the encoding of the event type,
// for any text, including bytes that are not UTF-8.
func TestEventsAreEncodedAsJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		text := rapid.OneOf(rapid.String(), rapid.StringMatching(`[ -~]*`), rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) }))
		b := &completionBody{request: &request{id: fleet.RequestID(text.Draw(t, "id"))}, model: text.Draw(t, "model")}
		// The second part detects leftovers of the first in the reused buffer.
		for range 2 {
			p := command.Part{Number: rapid.Uint64().Draw(t, "number"), Text: text.Draw(t, "text"), Token: text.Draw(t, "token")}
			e := b.event(p.Text)
			e.StreamToken = p.Token
			data, err := json.Marshal(e)
			is.NoErr(err)
			var got bytes.Buffer
			is.NoErr(b.writePart(&got, p))
			is.Equal(got.String(), fmt.Sprintf("id: %d\ndata: %s\n\n", p.Number, data))
		}
	})
}
