package config

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// record holds what is known of one document. latest and good are maxima over
// everything merged, which makes the merge commutative and idempotent.
type record struct {
	latest wire.Document
	good   wire.Document
	// absent is the highest revision of a full listing that lacked the
	// document. It counts as a deletion at that revision.
	absent uint64
	// rejected says why latest is not valid; empty if it is.
	rejected string
}

// newer orders revisions of a document. At equal revisions a document precedes
// a deletion, because a listing deletes only documents below its revision; the
// body decides between contents that a faulty platform sent under one revision.
func newer(a, b wire.Document) bool {
	alive := func(d wire.Document) int {
		if d.Deleted {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(alive(a), alive(b)), cmp.Compare(a.Body, b.Body)) > 0
}

// raise merges one revision, which is valid if reason is empty, and reports
// whether the record changed.
func (r *record) raise(d wire.Document, reason string) bool {
	changed := false
	if newer(d, r.latest) {
		r.latest, r.rejected, changed = d, reason, true
	}
	if reason == "" && newer(d, r.good) {
		r.good, changed = d, true
	}
	return changed
}

// needs reports whether merging d could change the record.
func (r *record) needs(d wire.Document) bool { return newer(d, r.latest) || newer(d, r.good) }

// noteAbsent merges a full listing without the document.
func (r *record) noteAbsent(name string, revision uint64) bool {
	if revision <= r.absent {
		return false
	}
	r.absent = revision
	return r.raise(wire.Document{Name: name, Revision: revision, Deleted: true}, "")
}

// hash summarises the record's revisions; the store adds up the records.
func (r *record) hash(name string) uint64 {
	b := append([]byte(name), 0)
	b = binary.BigEndian.AppendUint64(b, r.latest.Revision)
	b = binary.BigEndian.AppendUint64(b, r.good.Revision)
	return xxhash.Sum64(b)
}

// documents returns the latest and the last good revision, once if they are
// the same.
func (r *record) documents() []wire.Document {
	if r.good.Revision == 0 || r.good == r.latest {
		return []wire.Document{r.latest}
	}
	return []wire.Document{r.good, r.latest}
}

// Offer returns what names a document to a peer that may lack it.
func Offer(d wire.Document) wire.DocumentOffer {
	return wire.DocumentOffer{Name: d.Name, Revision: d.Revision, BodyHash: xxhash.Sum64String(d.Body)}
}

// holds reports whether merging the offered document could not change the
// record.
func (r *record) holds(o wire.DocumentOffer) bool {
	if o.Revision < r.good.Revision {
		return true
	}
	for _, d := range r.documents() {
		if d.Revision == o.Revision && Offer(d) == o && !d.Deleted {
			return true
		}
	}
	return false
}
