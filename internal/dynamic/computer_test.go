package dynamic

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Guards against a kept parse that does not follow the documents: after any
// sequence of changes the configuration must equal a fresh computation.
func TestComputerEqualsFreshComputation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewComputer()
		for range 6 {
			documents := []wire.Document{
				{Name: "models/m", Revision: 1, Body: "adapters = []\nversions = []\n"},
				{Name: "templates/t", Revision: 2, Body: "rank = \"top\"\nshare = 0.5\nmodels = [\"m\"]\nworth = 1\n"},
			}
			for i := range rapid.IntRange(0, 3).Draw(t, "documents") {
				body := ""
				for range rapid.IntRange(0, 3).Draw(t, "accounts") {
					id := rapid.IntRange(0, 5).Draw(t, "id")
					template := rapid.SampledFrom([]string{"t", "absent"}).Draw(t, "template")
					body += fmt.Sprintf("[[account]]\nid = \"a%d\"\nkey_sha256 = \"%064x\"\ntemplate = \"%s\"\n", id, id+rapid.IntRange(0, 1).Draw(t, "key"), template)
					if rapid.Bool().Draw(t, "own share") {
						body += "share = 0.25\n"
					}
				}
				if rapid.IntRange(0, 9).Draw(t, "broken") == 0 {
					body += "= broken"
				}
				documents = append(documents, wire.Document{Name: fmt.Sprintf("accounts/%d", i), Revision: uint64(rapid.IntRange(3, 9).Draw(t, "revision")), Body: body})
			}
			if kept, fresh := c.Compute(documents), Compute(documents); !reflect.DeepEqual(kept, fresh) {
				t.Fatalf("kept parse: %+v\nfresh: %+v", kept, fresh)
			}
		}
	})
}
