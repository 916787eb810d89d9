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

// packedBytes is the size from which on a body is kept compressed. The bodies
// of 39,000 accounts are 5.3 MB; their text is needed only for peers that lack
// it and to parse a change.
const packedBytes = 4 << 10

// revision is one revision of a document as a record keeps it.
type revision struct {
	number  uint64
	deleted bool
	// hash and size identify the body.
	hash uint64
	size int
	// body is compressed if size is at least packedBytes.
	body string
}

// packer compresses one body at a time, because a flate.Writer takes 0.6 MB.
var packer struct {
	sync.Mutex
	writer *flate.Writer
}

func pack(d wire.Document) revision {
	r := revision{number: d.Revision, deleted: d.Deleted, hash: xxhash.Sum64String(d.Body), size: len(d.Body), body: d.Body}
	if r.size < packedBytes {
		return r
	}
	packer.Lock()
	defer packer.Unlock()
	var packed bytes.Buffer
	if packer.writer == nil {
		// The only error is a wrong level.
		packer.writer, _ = flate.NewWriter(&packed, flate.BestSpeed)
	} else {
		packer.writer.Reset(&packed)
	}
	// A bytes.Buffer accepts every write.
	_, _ = io.Copy(packer.writer, strings.NewReader(d.Body))
	_ = packer.writer.Close()
	r.body = packed.String()
	return r
}

// text returns the body.
func (r revision) text() string {
	if r.size < packedBytes {
		return r.body
	}
	body := make([]byte, r.size)
	reader := flate.NewReader(strings.NewReader(r.body))
	// What pack wrote is in memory and reads without an error.
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

// is reports whether r is the document.
func (r revision) is(d wire.Document) bool {
	return r.number == d.Revision && r.deleted == d.Deleted && r.size == len(d.Body) && r.hash == xxhash.Sum64String(d.Body)
}

// newer orders revisions of a document. At equal revisions a document precedes
// a deletion, because a listing deletes only documents below its revision; the
// body decides between contents that a faulty platform sent under one revision.
func newer(d wire.Document, r revision) bool {
	if r.is(d) {
		return false
	}
	order := cmp.Or(cmp.Compare(d.Revision, r.number), cmp.Compare(alive(d.Deleted), alive(r.deleted)))
	return order > 0 || (order == 0 && d.Body > r.text())
}

func alive(deleted bool) int {
	if deleted {
		return 0
	}
	return 1
}
