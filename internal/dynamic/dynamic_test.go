package dynamic

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

func accountBody(id, key, template string) string {
	return fmt.Sprintf("[[account]]\nid = %q\nkey_sha256 = \"%s\"\ntemplate = %q\n", id, HashKey(key), template)
}

func sampleSet() []wire.Document {
	return []wire.Document{
		{Name: "models/m", Revision: 1, Body: `adapters = ["a"]`},
		{Name: "templates/t", Revision: 2, Body: "rank = \"top\"\nshare = 0.8\nmodels = [\"m\", \"gone\"]\nadapters = [\"a\", \"b\"]\nservices = [\"s\"]\n"},
		{Name: "accounts/one", Revision: 4, Body: accountBody("x", "k1", "t") + accountBody("y", "k2", "t")},
		{Name: "accounts/two", Revision: 3, Body: accountBody("x", "k3", "t") + accountBody("z", "k2", "none")},
	}
}

// Guards against configurations that differ between processes because they received
// the same documents in a different order.
func TestComputeIgnoresOrder(t *testing.T) {
	is := is.New(t)
	set := sampleSet()
	want := Compute(set)
	for range 50 {
		rand.Shuffle(len(set), func(i, j int) { set[i], set[j] = set[j], set[i] })
		is.True(reflect.DeepEqual(Compute(set), want))
	}
	x, ok := want.AccountByKey("k3")
	is.True(ok)
	is.Equal(string(x.ID), "x") // the lower document revision wins
	_, ok = want.AccountByKey("k1")
	is.True(!ok)
	is.Equal(len(want.Inactive), 5) // model, adapter, service, account z, account x
	is.Equal(want.ShareScale, 1/1.6)
	is.Equal(x.EffectiveShare, 0.8/1.6)
}

// Guards against invalid documents that are accepted, and against faults that do not
// name their line.
func TestValidateNamesLine(t *testing.T) {
	cases := []struct{ name, body, want string }{
		{"templates/t", "rank = \"top\"\nshare = 1.5", "templates/t:2: share: 1.5 is out of range (allowed: 0 to 1)"},
		{"templates/t", "rank = \"top\"\nshare = nan", "templates/t:2: share: NaN is out of range"},
		{"templates/t", "rank = \"top\"\nworth = 0", "templates/t:2: worth"},
		{"templates/t", "rank = \"top\"\ncolour = 1", "templates/t:2: colour: unknown key"},
		{"accounts/a", "[[account]]\nid = \"x\"\ntemplate = \"t\"", "accounts/a:1: account[0]: key_sha256"},
		{"accounts/a", accountBody("x", "k", "t") + accountBody("x", "l", "t"), "accounts/a:6: account[1].id: \"x\" occurs twice"},
		{"services/s", "[[rule]]\nmethod = \"FETCH\"\npath_prefix = \"/\"", "services/s:2: rule[0].method"},
		{"engines/e", "agent = \"a\"\nmodel = \"m\"\nrole = \"\"", "engines/e:3: role"},
		{"engines/e", "model = \"m\"", "engines/e: agent"},
		{"groups/g", "model = \"m\"\nexperts = 2\nranks = [\"a\", \"b\"]\nplacement = [0, 2]", "groups/g:4: placement: 2 is not a rank"},
		{"groups/g", "model = \"m\"\nexperts = 0\nranks = [\"a\"]", "groups/g:2: experts"},
		{"other/s", "", "is not a kind of document"},
	}
	for _, c := range cases {
		err := Validate(wire.Document{Name: c.name, Body: c.body})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.name, err, c.want)
		}
	}
	for _, d := range sampleSet() {
		if err := Validate(d); err != nil {
			t.Error(err)
		}
	}
}

// maxBytesPerAccount limits the parsed form and the indexes of 39,000 accounts to less
// than 4 MB, which leaves room within 32 MB for the documents themselves and for a
// second set of indexes during a change.
const maxBytesPerAccount = 96

// Guards against a representation of accounts that is too large for the memory of a
// small VM.
func TestMemoryPerAccount(t *testing.T) {
	const accounts, perDocument = 39000, 3900
	documents := []wire.Document{{Name: "templates/t", Revision: 1, Body: "rank = \"top\""}}
	var body strings.Builder
	for i := 1; i <= accounts; i++ {
		body.WriteString(accountBody(fmt.Sprintf("account-%06d", i), fmt.Sprint(i), "t"))
		if i%perDocument == 0 {
			documents = append(documents, wire.Document{Name: fmt.Sprintf("accounts/a%d", i), Revision: uint64(i), Body: body.String()})
			body.Reset()
		}
	}
	before := liveHeap()
	c := NewEvaluator()
	e := c.Compute(documents)
	perAccount := (liveHeap() - before) / accounts
	runtime.KeepAlive(documents)
	runtime.KeepAlive(c)
	t.Logf("%d bytes per account, %d accounts", perAccount, len(e.accounts.byKey))
	if len(e.accounts.byKey) != accounts || perAccount > maxBytesPerAccount {
		t.Errorf("%d accounts use %d bytes each, at most %d are allowed", len(e.accounts.byKey), perAccount, maxBytesPerAccount)
	}
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
