package dynamic

import (
	"errors"

	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Validate checks one document by itself. The error names the document, the
// line, the field and the allowed values. The result depends on the document
// alone, so every process comes to the same verdict.
func Validate(d wire.Document) error {
	return errors.New("not written yet")
}

// Compute returns the configuration of a set of valid documents. The result
// depends on the set alone and not on the order.
func Compute(documents []wire.Document) *Effective {
	return &Effective{ShareScale: 1}
}
