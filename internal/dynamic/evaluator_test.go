package dynamic

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"pgregory.net/rapid"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Guards against cached accounts that do not follow changes of the documents: after any
// sequence of changes the configuration must equal a computation without a cache.
func TestCachedParseEqualsFreshComputation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewEvaluator()
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
			if cached, fresh := c.Compute(documents), Compute(documents); !reflect.DeepEqual(cached, fresh) {
				t.Fatalf("with cached accounts: %+v\nwithout: %+v", cached, fresh)
			} else {
				checkAccounts(t, documents, cached)
			}
		}
	})
}

// checkAccounts compares the accounts in force with a reference computation that fills
// maps in document order.
func checkAccounts(t *rapid.T, documents []wire.Document, e *Effective) {
	keys, ids, inactive := map[KeyHash]Account{}, map[string]KeyHash{}, 0
	slices.SortFunc(documents, func(x, y wire.Document) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Name, y.Name))
	})
	for _, d := range documents {
		var schema accountsSchema
		if !strings.HasPrefix(d.Name, "accounts/") || toml.Unmarshal([]byte(d.Body), &schema) != nil {
			continue
		}
		for _, a := range schema.Accounts {
			key, _ := parseKeyHash(a.KeySHA256)
			_, keyTaken := keys[key]
			if _, idTaken := ids[a.ID]; idTaken || keyTaken || a.Template != "t" {
				inactive++
				continue
			}
			account := Account{ID: fleet.ClientAccount(a.ID), Template: e.Templates["t"], Share: e.Templates["t"].Share}
			if a.Share != nil {
				account.Share = *a.Share
			}
			account.EffectiveShare = account.Share * e.ShareScale
			keys[key], ids[a.ID] = account, key
		}
	}
	n := 0
	for a := range e.Accounts() {
		n++
		if key, ok := ids[string(a.ID)]; !ok || keys[key] != *a {
			t.Fatalf("account %+v is in force, want %+v", a, keys[key])
		}
	}
	listed := 0
	for _, i := range e.Inactive {
		if strings.HasPrefix(i.Reference, "account ") {
			listed++
		}
	}
	if n != len(ids) || len(e.accounts.byKey) != n || listed != inactive {
		t.Fatalf("%d accounts by id and %d by key, want %d; %d inactive, want %d", n, len(e.accounts.byKey), len(ids), listed, inactive)
	}
	for id, key := range ids {
		a, ok := e.AccountByID(fleet.ClientAccount(id))
		i := slices.IndexFunc(e.accounts.byKey, func(r accountRef) bool { return *e.accounts.key(r) == key })
		if !ok || string(a.ID) != id || i < 0 || e.accounts.id(e.accounts.byKey[i]) != id {
			t.Fatalf("account %s is not found by its id or key", id)
		}
	}
	if _, ok := e.AccountByID("absent"); ok {
		t.Fatal("an absent id was found")
	}
}
