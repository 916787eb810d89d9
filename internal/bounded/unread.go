package bounded

import "syscall"

// ReceiveBufferBytes is the size of the kernel's receive buffer of connections with
// LimitUnread. Linux reserves twice as much; up to that size a peer's bytes wait unread.
const ReceiveBufferBytes = 32 << 10

// LimitUnread is the Control function of a net.Dialer or net.ListenConfig whose connections
// hold few bytes that were received and not read. The size must be set before a connection is
// made: the peer learns it then.
func LimitUnread(_, _ string, raw syscall.RawConn) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, ReceiveBufferBytes)
	}); e != nil {
		return e
	}
	return err
}
