// Package bounded limits what other processes may make this one keep in memory.
package bounded

import (
	"errors"
	"io"
	"sync/atomic"
)

// HeaderBytes limits the status line and the headers of a response, those of interim
// responses included. net/http allows 10 MB by default.
const HeaderBytes = 64 << 10

// Errors of Read.
var (
	// ErrTooLong means that there are more bytes than allowed.
	ErrTooLong = errors.New("the body is too long")
	// ErrBudget means that the budget is used up.
	ErrBudget = errors.New("the bodies of other requests fill the memory")
)

// Budget is a number of bytes that several bodies share. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// Memory is what the bytes of a body are taken from.
type Memory interface {
	// Take takes n bytes and reports whether they were left.
	Take(n int64) bool
	// Release returns n bytes.
	Release(n int64)
}

// Take implements Memory.
func (b *Budget) Take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release implements Memory.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// unlimited is a Memory without a limit.
type unlimited struct{}

func (unlimited) Take(int64) bool { return true }
func (unlimited) Release(int64)   {}

// chunk is how many bytes are taken from a budget at a time.
const chunk = 16 << 10

// Read reads r to its end. It returns ErrTooLong if there are more than limit bytes, and
// ErrBudget if the memory does not suffice for those beyond the first free ones; nil always
// does. The caller must release the taken bytes; there are none after an error.
func Read(r io.Reader, limit int64, memory Memory, free int64) (body []byte, taken int64, err error) {
	if memory == nil {
		memory = unlimited{}
	}
	defer func() {
		if err != nil {
			memory.Release(taken)
			body, taken = nil, 0
		}
	}()
	r = io.LimitReader(r, limit+1)
	for {
		if len(body) == cap(body) {
			more := min(int64(max(chunk, cap(body))), limit+1-int64(cap(body)))
			if want := int64(cap(body)) + more - free; want > taken {
				if !memory.Take(want - taken) {
					return body, taken, ErrBudget
				}
				taken = want
			}
			body = append(make([]byte, 0, int64(cap(body))+more), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return body, taken, ErrTooLong
		case errors.Is(err, io.EOF):
			return body, taken, nil
		case err != nil:
			return body, taken, err
		}
	}
}
