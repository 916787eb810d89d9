package bounded

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against a body that is cut at the limit and taken for the whole, and against
// budgets that shrink or grow with each body.
func TestReadReturnsTheWholeBodyOrAnError(t *testing.T) {
	broken := errors.New("broken")
	for _, x := range []struct {
		size, limit, budget, free int64
		end                       error
		want                      error
	}{
		{0, 10, chunk, 0, nil, nil},
		{100, 100, 1 << 20, 0, nil, nil},
		{101, 100, 1 << 20, 0, nil, ErrTooLong},
		{1 << 20, 1 << 20, 4 << 20, 0, nil, nil},
		{1 << 20, 1 << 20, 1 << 18, 0, nil, ErrBudget},
		{chunk, 1 << 20, 0, 2 * chunk, nil, nil},
		{3 * chunk, 1 << 20, 0, 2 * chunk, nil, ErrBudget},
		{100, 1 << 20, 1 << 20, 0, broken, broken},
	} {
		is := is.New(t)
		b := NewBudget(x.budget)
		data := bytes.Repeat([]byte("x"), int(x.size))
		var r io.Reader = bytes.NewReader(data)
		if x.end != nil {
			r = io.MultiReader(r, iotest.ErrReader(x.end))
		}
		body, taken, err := Read(r, x.limit, b, x.free)
		is.True(errors.Is(err, x.want))
		is.Equal(b.Used(), taken)
		if err == nil {
			is.True(bytes.Equal(body, data))
		} else {
			is.Equal(taken, int64(0))
			is.Equal(len(body), 0)
		}
		b.Release(taken)
		is.Equal(b.Used(), int64(0))
	}
}
