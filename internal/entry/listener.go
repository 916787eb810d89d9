package entry

import (
	"net"
	"sync"
)

// boundedListener limits the number of open connections. Further connections wait
// in the kernel's backlog.
type boundedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newBoundedListener(l net.Listener, connections int) *boundedListener {
	return &boundedListener{Listener: l, slots: make(chan struct{}, connections), closed: make(chan struct{})}
}

// Accept waits for a free slot and a connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &boundedConn{Conn: c, release: func() { <-l.slots }}, nil
}

// Close stops accepting.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and frees its slot.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
