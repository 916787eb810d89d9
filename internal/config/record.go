package config

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// record holds the latest and the last valid revision of one document. Both are
// maxima over everything merged, which makes merging commutative and idempotent.
type record struct {
	latest revision
	// good is the highest valid revision.
	good revision
	// lackedBy holds the full listings that lacked the document. Each counts as a
	// deletion.
	lackedBy listings
	// rejectReason says why latest is invalid; it is empty if latest is valid.
	rejectReason string
}

// advance merges one revision and reports whether the record changed. An empty
// reason means that the revision is valid.
func (r *record) advance(d wire.Document, reason string) bool {
	toLatest, toGood := newer(d, r.latest), reason == "" && newer(d, r.good)
	if !toLatest && !toGood {
		return false
	}
	packed := newRevision(d)
	if toLatest {
		r.latest, r.rejectReason = packed, reason
	}
	if toGood {
		r.good = packed
	}
	return true
}

// needs reports whether merging d could change the record.
func (r *record) needs(d wire.Document) bool { return newer(d, r.latest) || newer(d, r.good) }

// recordAbsence merges a full listing that lacks the document and reports whether the
// record changed.
func (r *record) recordAbsence(name string, l listing) bool {
	r.lackedBy = r.lackedBy.with(l)
	latest, good := historyOf(r.latest.number), historyOf(r.good.number)
	changed := r.delete(name, l.absence(latest))
	return r.delete(name, l.absence(good)) || changed
}

// applyAbsences merges the deletions of documents of a history that follow from the listings
// that lacked the document.
func (r *record) applyAbsences(name string, history uint64) {
	for _, l := range r.lackedBy {
		r.delete(name, l.absence(history))
	}
}

func (r *record) delete(name string, revision uint64) bool {
	return revision > 0 && r.advance(wire.Document{Name: name, Revision: revision, Deleted: true}, "")
}

// hash returns a hash of the document's name and its revision numbers. The store's
// hash is the sum over all records.
func (r *record) hash(name string) uint64 {
	b := append([]byte(name), 0)
	b = binary.BigEndian.AppendUint64(b, r.latest.number)
	b = binary.BigEndian.AppendUint64(b, r.good.number)
	return xxhash.Sum64(b)
}

// revisions returns the last valid and the latest revision, or one revision if they
// are the same or none is valid.
func (r *record) revisions() []revision {
	if r.good.number == 0 || r.good == r.latest {
		return []revision{r.latest}
	}
	return []revision{r.good, r.latest}
}

// Offer returns the name, revision and body hash of a document. Peers use it to
// decide whether to fetch the document.
func Offer(d wire.Document) wire.DocumentOffer {
	return wire.DocumentOffer{Name: d.Name, Revision: d.Revision, BodyHash: xxhash.Sum64String(d.Body)}
}

// holds reports whether the record already covers the offered document, so fetching
// and merging it would change nothing.
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
