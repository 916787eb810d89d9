package config

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

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
