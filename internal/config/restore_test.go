package config

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// restoredHistories draws the deliveries of a platform that is restored from copies: its
// documents and some full listings.
func restoredHistories(t *rapid.T) []delivery {
	var all []delivery
	var content []wire.Document // writes that the current state contains, oldest first
	var history, number, start uint64
	names := []string{"models/a", "models/b", "accounts/x"}
	for step := range rapid.IntRange(1, 24).Draw(t, "steps") {
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1:
			content = content[:rapid.IntRange(0, len(content)).Draw(t, "copy")]
			number = 0
			if len(content) > 0 {
				number = numberOf(content[len(content)-1].Revision)
			}
			history, start = history+1, number
		case 2, 3:
			listing := listingAt(content, len(content))
			revision, begun := history<<numberBits|number, start
			all = append(all, func(s *Store) { s.MergeListing(slices.Values(listing), revision, begun) })
		default:
			number++
			d := wire.Document{Name: rapid.SampledFrom(names).Draw(t, "name"), Revision: history<<numberBits | number}
			switch rapid.IntRange(0, 3).Draw(t, "content") {
			case 0:
				d.Deleted = true
			case 1:
				d.Body = "unknown = 1"
			default:
				d.Body = validBody(d.Name, step)
			}
			content = append(slices.Clone(content), d)
			all = append(all, func(s *Store) { s.Merge([]wire.Document{d}, d.Revision) })
		}
	}
	return all
}

// Guards against processes that differ after the platform was restored from a copy, and
// against documents that go back to the copy's revision.
func TestMergeOverRestoresIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := restoredHistories(t)
		one, two := NewStore(nil), NewStore(nil)
		for _, deliver := range all {
			one.checkMonotonic(t, deliver)
		}
		if len(all) > 0 {
			for _, deliver := range rapid.Permutation(append(all, all[:len(all)/2]...)).Draw(t, "order") {
				two.checkMonotonic(t, deliver)
			}
		}
		for range 2 {
			one.Merge(missing(two, one), two.Revision())
			two.Merge(missing(one, two), one.Revision())
		}
		requireEqual(t, one, two)
	})
}

// Guards against changes that are ignored because the platform was restored from a copy and
// assigns lower revisions again, against documents that the copy lacks or has again, and
// against a deletion in the new history that is missed.
func TestDocumentsOverRestore(t *testing.T) {
	is := is.New(t)
	s := NewStore(nil)
	document := func(history, number uint64, name string) wire.Document {
		return wire.Document{Name: name, Revision: history<<numberBits | number, Body: validBody(name, int(number))}
	}
	gone := wire.Document{Name: "models/gone", Revision: 8, Deleted: true}
	s.Merge([]wire.Document{
		document(0, 1, "models/changed"), document(0, 2, "models/deleted"), document(0, 3, "models/gone"), document(0, 7, "models/late"), document(0, 6, "models/changed"), gone,
	}, 8)
	status := func(name string) DocumentStatus {
		for _, d := range s.Status() {
			if d.Name == name {
				return d
			}
		}
		return DocumentStatus{}
	}
	// The copy of revision 5 has the first write of models/changed, and models/gone.
	copied := []wire.Document{document(0, 1, "models/changed"), document(0, 2, "models/deleted"), document(0, 3, "models/gone")}
	s.MergeListing(slices.Values(copied), 1<<numberBits|5, 5)
	is.Equal(status("models/changed").InForce, uint64(6))
	is.True(!status("models/late").Deleted)
	is.True(status("models/gone").Deleted)
	s.MergeListing(slices.Values(slices.Delete(copied, 1, 2)), 1<<numberBits|6, 5)
	is.True(status("models/deleted").Deleted)
	s.Merge([]wire.Document{document(1, 7, "models/changed")}, 1<<numberBits|7)
	is.Equal(numberOf(status("models/changed").InForce), uint64(7))
	is.Equal(historyOf(status("models/changed").InForce), uint64(1))
}
