package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// platformHistory draws a sequence of platform revisions. Each one changes one
// document, sometimes to an invalid body or a deletion.
func platformHistory(t *rapid.T) []wire.Document {
	var history []wire.Document
	names := []string{"models/a", "models/b", "templates/t", "accounts/x", "accounts/y"}
	for revision := range rapid.IntRange(1, 20).Draw(t, "revisions") {
		d := wire.Document{Name: rapid.SampledFrom(names).Draw(t, "name"), Revision: uint64(revision + 1)}
		switch rapid.IntRange(0, 3).Draw(t, "content") {
		case 0:
			d.Deleted = true
		case 1:
			d.Body = "unknown = 1"
		default:
			d.Body = validBody(d.Name, revision)
		}
		if !d.Deleted && rapid.IntRange(0, 3).Draw(t, "size") == 0 {
			d.Body += "\n# " + strings.Repeat("long ", compressThresholdBytes/5)
		}
		history = append(history, d)
	}
	return history
}

func validBody(name string, n int) string {
	switch name[0] {
	case 'm':
		return fmt.Sprintf("adapters = [\"a%d\"]", n)
	case 't':
		return fmt.Sprintf("rank = \"top\"\nshare = 0.9\nmodels = [\"a\"]\nadapters = [\"a%d\"]", n)
	}
	return fmt.Sprintf("[[account]]\nid = \"id%d\"\ntemplate = \"t\"\nkey_sha256 = \"%064d\"\n", n%3, n%4)
}

// listingAt returns the documents that exist at a revision, without deleted ones.
func listingAt(history []wire.Document, revision int) []wire.Document {
	newest := map[string]wire.Document{}
	for _, d := range history[:revision] {
		newest[d.Name] = d
	}
	var listing []wire.Document
	for _, d := range newest {
		if !d.Deleted {
			listing = append(listing, d)
		}
	}
	return listing
}

// delivery merges one document or listing into a store.
type delivery func(s *Store)

// deliveries returns one delivery per document of history and up to three listings at
// random revisions.
func deliveries(t *rapid.T, history []wire.Document) []delivery {
	var all []delivery
	for _, d := range history {
		all = append(all, func(s *Store) { s.Merge([]wire.Document{d}, d.Revision) })
	}
	for range rapid.IntRange(0, 3).Draw(t, "listings") {
		revision := rapid.IntRange(1, len(history)).Draw(t, "at")
		listing := listingAt(history, revision)
		all = append(all, func(s *Store) { s.MergeListing(slices.Values(listing), uint64(revision), 0) })
	}
	return all
}

// Guards against processes whose configurations differ although they received the
// same documents and listings: in another order, repeatedly, in other batches or
// stale.
func TestMergeIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := platformHistory(t)
		all := deliveries(t, history)
		one, two, three := NewStore(nil), NewStore(nil), NewStore(nil)
		for _, deliver := range all {
			one.checkMonotonic(t, deliver)
		}
		shuffled := rapid.Permutation(append(all, all[:len(all)/2]...)).Draw(t, "order")
		for _, deliver := range shuffled {
			two.checkMonotonic(t, deliver)
		}
		cut := rapid.IntRange(0, len(history)).Draw(t, "cut")
		three.Merge(rapid.Permutation(history[cut:]).Draw(t, "batch"), 0)
		for _, deliver := range all {
			deliver(three)
		}
		requireEqual(t, one, two)
		requireEqual(t, one, three)
	})
}

// checkMonotonic applies a delivery and fails if a revision decreased.
func (s *Store) checkMonotonic(t *rapid.T, deliver delivery) {
	before := map[string]wire.DocumentVersion{}
	for _, v := range s.Digest().Versions {
		before[v.Name] = v
	}
	deliver(s)
	for _, v := range s.Digest().Versions {
		if v.Latest < before[v.Name].Latest || v.LastValid < before[v.Name].LastValid {
			t.Fatalf("%s: revision decreased from %+v to %+v", v.Name, before[v.Name], v)
		}
	}
}

func requireEqual(t *rapid.T, a, b *Store) {
	if !reflect.DeepEqual(a.Status(), b.Status()) {
		t.Fatalf("status differs:\n%+v\n%+v", a.Status(), b.Status())
	}
	if a.Hash() != b.Hash() || a.Revision() != b.Revision() {
		t.Fatalf("hash %d %d, revision %d %d", a.Hash(), b.Hash(), a.Revision(), b.Revision())
	}
	if !reflect.DeepEqual(a.Effective(), b.Effective()) {
		t.Fatalf("effective configuration differs:\n%+v\n%+v", a.Effective(), b.Effective())
	}
}

// Guards against peers whose stores still differ after they exchanged digests, when
// each of them received different documents and listings.
func TestExchangeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := deliveries(t, platformHistory(t))
		a, b := NewStore(nil), NewStore(nil)
		for _, deliver := range all {
			if rapid.Bool().Draw(t, "to a") {
				deliver(a)
			} else {
				deliver(b)
			}
		}
		for range 2 {
			b.Merge(missing(a, b), a.Revision())
			a.Merge(missing(b, a), b.Revision())
		}
		requireEqual(t, a, b)
	})
}

// Guards against an invalid revision that displaces the last valid one, on the
// process that received both and on a new process that gets them from that one.
func TestLastGoodStaysInForce(t *testing.T) {
	is := is.New(t)
	s := NewStore(nil)
	is.True(!s.Ready())
	changed := s.Changed()
	good := wire.Document{Name: "models/a", Revision: 1}
	is.Equal(len(s.Merge([]wire.Document{good}, 1)), 1)
	<-changed
	is.Equal(len(s.Merge([]wire.Document{good}, 1)), 0)
	s.Merge([]wire.Document{{Name: "models/a", Revision: 2, Body: "x = 1"}}, 2)

	joiner := NewStore(nil)
	joiner.Merge(missing(s, joiner), s.Revision())
	for _, store := range []*Store{s, joiner} {
		status := store.Status()[0]
		is.Equal(status.InForce, uint64(1))
		is.Equal(status.Latest, uint64(2))
		is.True(status.Rejected != "")
		is.Equal(len(store.Effective().Models), 1)
		is.True(store.Ready())
	}
}

// Guards against peers that keep each other's platform age low by exchanging it while
// the platform does not answer.
func TestEchoDoesNotRefreshPlatformAge(t *testing.T) {
	is := is.New(t)
	s := NewStore(nil)
	is.Equal(s.PlatformAge(), noContactAge)
	s.RecordPlatformContact(time.Second)
	for range 200 {
		s.RecordPlatformContact(s.PlatformAge() - 2*time.Millisecond)
	}
	is.True(s.PlatformAge() >= time.Second)
	s.RecordPlatformContact(0)
	is.True(s.PlatformAge() < time.Second)
}

// Guards against a store that declines an offer although the document would change
// it, and against one that accepts an offer of a document already in force.
func TestHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore(nil)
		history := platformHistory(t)
		for _, d := range history {
			if rapid.Bool().Draw(t, "merged") {
				s.Merge([]wire.Document{d}, 0)
			}
		}
		d := rapid.SampledFrom(history).Draw(t, "offered")
		if rapid.IntRange(0, 4).Draw(t, "faulty platform") == 0 {
			d.Body += "\n"
		}
		held := s.Holds(Offer(d))
		added := s.Merge([]wire.Document{d}, 0)
		if held && len(added) > 0 {
			t.Fatalf("%v was declined", d)
		}
		if !d.Deleted && validate(d) == nil && s.records[d.Name].good.matches(d) && !s.Holds(Offer(d)) {
			t.Fatalf("%v is in force but would be fetched again", d)
		}
	})
}

// missing returns what a peer receives from s for its digest: small documents
// directly, and the others fetched by the name in the offer.
func missing(s, peer *Store) []wire.Document {
	const limit = 64
	documents, offers := s.Missing(peer.Digest(), limit)
	for _, o := range offers {
		documents = append(documents, s.Documents(o.Name)...)
	}
	return documents
}
