package config

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// record holds what is known of one document. latest and good are maxima over
// everything merged, which makes the merge commutative and idempotent.
type record struct {
	latest revision
	good   revision
	// absent is the highest revision of a full listing that lacked the
	// document. It counts as a deletion at that revision.
	absent uint64
	// rejected says why latest is not valid; empty if it is.
	rejected string
}

// raise merges one revision, which is valid if reason is empty, and reports
// whether the record changed.
func (r *record) raise(d wire.Document, reason string) bool {
	toLatest, toGood := newer(d, r.latest), reason == "" && newer(d, r.good)
	if !toLatest && !toGood {
		return false
	}
	packed := pack(d)
	if toLatest {
		r.latest, r.rejected = packed, reason
	}
	if toGood {
		r.good = packed
	}
	return true
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
	b = binary.BigEndian.AppendUint64(b, r.latest.number)
	b = binary.BigEndian.AppendUint64(b, r.good.number)
	return xxhash.Sum64(b)
}

// revisions returns the last good and the latest revision, once if they are the
// same.
func (r *record) revisions() []revision {
	if r.good.number == 0 || r.good == r.latest {
		return []revision{r.latest}
	}
	return []revision{r.good, r.latest}
}

// Offer returns what names a document to a peer that may lack it.
func Offer(d wire.Document) wire.DocumentOffer {
	return wire.DocumentOffer{Name: d.Name, Revision: d.Revision, BodyHash: xxhash.Sum64String(d.Body)}
}

// holds reports whether merging the offered document could not change the
// record.
func (r *record) holds(o wire.DocumentOffer) bool {
	if o.Revision < r.good.number {
		return true
	}
	for _, v := range r.revisions() {
		if v.offer(o.Name) == o && !v.deleted {
			return true
		}
	}
	return false
}
