package dynamic

import (
	"testing"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// FuzzDocument guards against documents that crash the process, valid documents that
// do not decode later, and shares that add up to more than the fleet.
func FuzzDocument(f *testing.F) {
	f.Fuzz(func(t *testing.T, name, body string) {
		d := wire.Document{Name: name, Revision: 2, Body: body}
		if Validate(d) != nil {
			return
		}
		template := wire.Document{Name: "templates/t", Revision: 1, Body: "rank = \"top\"\nshare = 1"}
		e := Compute([]wire.Document{template, d})
		for _, i := range e.Inactive {
			if i.Reference == "document" {
				t.Errorf("valid document %s does not decode", name)
			}
		}
		sum := 0.0
		n := 0
		for a := range e.Accounts() {
			sum += a.EffectiveShare
			n++
		}
		const rounding = 1e-9
		if !(sum >= 0 && sum <= 1+rounding) || len(e.accounts.byKey) != n {
			t.Errorf("shares add up to %v for %d keys and %d accounts", sum, len(e.accounts.byKey), n)
		}
	})
}
