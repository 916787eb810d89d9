package outbound

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/bounded"
)

// conn is a connection to a peer that answers HTTP requests.
//
// If the peer resets the connection, the kernel reports it once, to whoever reads or writes
// first. After the writer has met it, the reader sees an orderly end.
type conn struct {
	net.Conn

	// writing is held during a write, and broken is the error of a write that was not met
	// because the peer had ended its direction before.
	writing sync.Mutex
	broken  atomic.Pointer[error]

	// invalid is the error of a head that is none.
	invalid atomic.Pointer[error]
	// inHead is true from the start of a request until the head of its answer was read, and
	// head is what has been read of it; its first scanned bytes are whole lines. Only the
	// reader uses both.
	inHead  atomic.Bool
	head    []byte
	scanned int
}

// expectAnswer says that a request begins: the next bytes are the head of its answer.
func (c *conn) expectAnswer() { c.inHead.Store(true) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.broken.CompareAndSwap(nil, &err)
	}
	return n, err
}

// Read implements net.Conn. The end of a connection that was reset is an error.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if reset := c.resetError(); reset != nil {
			err = fmt.Errorf("the answer may be cut: %w", reset)
		}
	}
	if n > 0 && c.inHead.Load() {
		if invalid := c.readHead(p[:n]); invalid != nil {
			c.invalid.Store(&invalid)
			return 0, invalid
		}
	}
	return n, err
}

// resetError returns the error of the writer if it has met a reset.
func (c *conn) resetError() error {
	// Nothing more will be answered on this connection. A write that waits must end for its
	// error to be known; an error here means that the connection is closed.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if e := c.broken.Load(); e != nil {
		return *e
	}
	return nil
}

// readHead checks the heads of an answer, those of interim answers included.
func (c *conn) readHead(data []byte) error {
	c.head = append(c.head, data...)
	for {
		var end int
		if end, c.scanned = headEnd(c.head, c.scanned); end < 0 {
			if len(c.head) > bounded.HeaderBytes {
				// The HTTP library ends the request at this size.
				c.endHead()
			}
			return nil
		}
		interim, err := checkHead(c.head[:end])
		if err != nil || !interim {
			c.endHead()
			return err
		}
		c.head, c.scanned = c.head[end:], 0
	}
}

func (c *conn) endHead() {
	c.inHead.Store(false)
	c.head, c.scanned = nil, 0
}

// headEnd returns the length of a head with the empty line that ends it, or -1, and the length
// of its whole lines. The first scanned bytes are whole lines without the empty one.
func headEnd(data []byte, scanned int) (end, lines int) {
	for {
		n := bytes.IndexByte(data[scanned:], '\n')
		if n < 0 {
			return -1, scanned
		}
		line := data[scanned : scanned+n]
		scanned += n + 1
		if scanned > n+1 && (len(line) == 0 || len(line) == 1 && line[0] == '\r') {
			return scanned, scanned
		}
	}
}

// checkHead checks a whole head and reports whether it is that of an interim answer. It finds
// what the HTTP library tolerates or ignores.
func checkHead(head []byte) (interim bool, err error) {
	lines := strings.Split(string(head), "\n")
	proto, rest, _ := strings.Cut(strings.TrimRight(lines[0], "\r"), " ")
	text, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.Atoi(text)
	interim = status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
	if err != nil || len(text) != 3 || !interim && !finalStatus(status) {
		return false, fmt.Errorf("%w: the status is %.40q", ErrNoAnswer, text)
	}
	for _, line := range lines[1:] {
		line = strings.TrimSuffix(line, "\r")
		if line == "" || line[0] == ' ' || line[0] == '\t' {
			// The end, or a line that continues the one before.
			continue
		}
		name, _, found := strings.Cut(line, ":")
		if !found || !validName(name) {
			return false, fmt.Errorf("%w: a field has the name %.40q", ErrNoAnswer, name)
		}
		// HTTP/1.0 has no chunks; the library would take them for the body.
		if proto == "HTTP/1.0" && strings.EqualFold(name, "Transfer-Encoding") {
			return false, fmt.Errorf("%w: %s with a transfer encoding", ErrNoAnswer, proto)
		}
	}
	return interim, nil
}
