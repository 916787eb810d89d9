package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 64 << 10

var errEventTooLong = errors.New("an event of the stream is too long")

// eventReader splits a stream of server-sent events into whole events.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
	// data is true if the last event has a data field. Comments keep a connection open
	// but do not count as progress.
	data bool
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 2<<10)}
}

// next returns the bytes of the next event, including the blank line that ends it, and
// the event's ID, or -1 if it has none. The bytes are valid until the next call. If the
// stream ends within an event, next returns an error, and rest reports true.
func (e *eventReader) next() (event []byte, id int64, err error) {
	e.buf, e.data = e.buf[:0], false
	id = -1
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.buf) <= maxEventBytes {
			continue
		}
		if len(e.buf) > maxEventBytes {
			return nil, -1, errEventTooLong
		}
		if err != nil {
			return nil, -1, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e.buf, id, nil
		}
		e.data = e.data || bytes.HasPrefix(line, []byte("data"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				id = n
			}
		}
	}
}

// rest reports whether bytes of an incomplete event were read.
func (e *eventReader) rest() bool { return len(e.buf) > 0 }

func itoa(n int) string { return strconv.Itoa(n) }
