package inbound

import (
	"bytes"
	"container/list"
	"net"
	"sync/atomic"
	"time"
)

const (
	// freeHeadBytes is the memory of a head that every connection has for itself.
	freeHeadBytes = 8 << 10
	// headLineBytes is the memory that a line of a head takes beside its bytes, and
	// headByteFactor that of each byte, which is kept in a buffer and in a string.
	headLineBytes  = 128
	headByteFactor = 2
)

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener
	// inHead is true until the head of the current request was read.
	inHead atomic.Bool

	// The rest is guarded by listener.mu. counted is true until the connection is closed.
	counted bool
	// place is the connection's place among the waiting ones, nil if it is not waiting.
	place *list.Element
	// head is the memory of the head so far, and charged is what the current request takes
	// from the memory of the listener, both in bytes.
	head, charged int64
	// since is when the current request began to take memory, and inBody is true while its
	// body is read.
	since  time.Time
	inBody bool
	// evicted is true once the current request was given up.
	evicted bool
}

// wait puts the connection behind all others that wait for their clients.
func (c *conn) wait(now time.Time) {
	c.inHead.Store(true)
	if c.place == nil {
		c.place = c.listener.waiting.PushBack(c)
	}
}

// waitForBody puts the connection behind the waiting ones until its body was read.
func (c *conn) waitForBody() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.counted && c.place == nil {
		c.inBody = true
		c.place = l.waiting.PushBack(c)
	}
}

// bodyRead ends waitForBody.
func (c *conn) bodyRead() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.inBody = false
	c.stopWaiting()
}

func (c *conn) stopWaiting() {
	c.inHead.Store(false)
	if c.place != nil {
		c.listener.waiting.Remove(c.place)
		c.place = nil
	}
}

// newRequest frees the memory of the last request.
func (c *conn) newRequest() {
	c.listener.used -= c.charged
	c.charged, c.head, c.inBody, c.evicted = 0, 0, false, false
}

// Read reads from the client. While a head is read, it counts the memory of the head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.inHead.Load() && !c.countHead(p[:n]) {
		c.reset()
		return 0, ErrOverloaded
	}
	return n, err
}

func (c *conn) countHead(data []byte) bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	before := max(c.head-freeHeadBytes, 0)
	c.head += int64(headByteFactor*len(data) + headLineBytes*bytes.Count(data, []byte("\n")))
	return l.take(c, max(c.head-freeHeadBytes, 0)-before)
}

// Close closes the connection and frees its place.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection without waiting for anything: unsent and unread bytes are
// dropped.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// CloseWrite ends the direction to the client; net/http does so before it closes a connection
// on which bytes are unread.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
