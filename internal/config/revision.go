package config

import (
	"bytes"
	"cmp"
	"compress/flate"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// A platform that is restored from a copy begins a new history, in which it assigns the
// revisions after the copy's again. A revision number of a document therefore combines the
// history in which the document was written, in the high bits, and the platform's number in
// that history, so that a later write has a higher number in any case.
const (
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	maxHistory = 1<<(64-numberBits) - 1
)

// Revision returns the revision number of a platform's number in a history. It returns an
// error if either is out of range.
func Revision(history, number uint64) (uint64, error) {
	if history > maxHistory || number > maxNumber {
		return 0, fmt.Errorf("revision %d of history %d is out of range", number, history)
	}
	return history<<numberBits | number, nil
}

func historyOf(revision uint64) uint64 { return revision >> numberBits }

func numberOf(revision uint64) uint64 { return revision & maxNumber }

// listing describes a full listing of the platform.
type listing struct {
	// revision is the platform's revision at the time of the listing.
	revision uint64
	// start is the number of the copy from which the listing's history began.
	start uint64
}

// absence returns the revision of the deletion that the listing implies for a document of
// a history that it lacks, or 0. The copy with which the listing's history began contained
// everything up to its own revision; later documents of earlier histories were lost with
// the restore and are expected to be written again.
func (l listing) absence(history uint64) uint64 {
	switch own := historyOf(l.revision); {
	case history == own:
		return l.revision
	case history < own:
		return history<<numberBits | l.start
	}
	return 0
}

// listings holds the newest listing of each history.
type listings []listing

// with returns the listings with one more. It does not change l.
func (l listings) with(added listing) listings {
	next := slices.Clone(l)
	for i, x := range next {
		if historyOf(x.revision) == historyOf(added.revision) {
			next[i] = listing{max(x.revision, added.revision), max(x.start, added.start)}
			return next
		}
	}
	return append(next, added)
}

// compressThresholdBytes is the smallest body size that is kept compressed. The
// bodies of 39,000 accounts have 5.3 MB; their text is needed only to send it to
// peers that lack it and to parse a change.
const compressThresholdBytes = 4 << 10

// revision is one revision of a document as it is kept in a record.
type revision struct {
	number  uint64
	deleted bool
	// hash and size identify the body.
	hash uint64
	size int
	// body is DEFLATE-compressed if size is at least compressThresholdBytes.
	body string
}

// compressor is shared, and compresses one body at a time, because a flate.Writer
// takes 0.6 MB.
var compressor struct {
	sync.Mutex
	writer *flate.Writer
}

func newRevision(d wire.Document) revision {
	r := revision{number: d.Revision, deleted: d.Deleted, hash: xxhash.Sum64String(d.Body), size: len(d.Body), body: d.Body}
	if r.size < compressThresholdBytes {
		return r
	}
	compressor.Lock()
	defer compressor.Unlock()
	var packed bytes.Buffer
	if compressor.writer == nil {
		// NewWriter fails only for an invalid level.
		compressor.writer, _ = flate.NewWriter(&packed, flate.BestSpeed)
	} else {
		compressor.writer.Reset(&packed)
	}
	// Writes to a bytes.Buffer never fail.
	_, _ = io.Copy(compressor.writer, strings.NewReader(d.Body))
	_ = compressor.writer.Close()
	r.body = packed.String()
	return r
}

// text returns the uncompressed body.
func (r revision) text() string {
	if r.size < compressThresholdBytes {
		return r.body
	}
	body := make([]byte, r.size)
	reader := flate.NewReader(strings.NewReader(r.body))
	// Decompressing what newRevision compressed in memory cannot fail.
	_, _ = io.ReadFull(reader, body)
	return string(body)
}

func (r revision) document(name string) wire.Document {
	return wire.Document{Name: name, Revision: r.number, Deleted: r.deleted, Body: r.text()}
}

func (r revision) offer(name string) wire.DocumentOffer {
	return wire.DocumentOffer{Name: name, Revision: r.number, BodyHash: r.hash}
}

func (r revision) source(name string) dynamic.Source {
	return dynamic.Source{Name: name, Revision: r.number, Hash: r.hash, Size: r.size, Body: r.text}
}

// matches reports whether r has the document's revision, deletion flag and body.
func (r revision) matches(d wire.Document) bool {
	return r.number == d.Revision && r.deleted == d.Deleted && r.size == len(d.Body) && r.hash == xxhash.Sum64String(d.Body)
}

// newer reports whether d replaces r. At equal revisions a document replaces a
// deletion, because a listing deletes only documents below its revision. If a faulty
// platform sent different bodies under one revision, the greater body wins.
func newer(d wire.Document, r revision) bool {
	if r.matches(d) {
		return false
	}
	order := cmp.Or(cmp.Compare(d.Revision, r.number), cmp.Compare(presenceRank(d.Deleted), presenceRank(r.deleted)))
	return order > 0 || (order == 0 && d.Body > r.text())
}

func presenceRank(deleted bool) int {
	if deleted {
		return 0
	}
	return 1
}
