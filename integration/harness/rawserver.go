package harness

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// rawReceiveBuffer is small, so that a caller's upload is still being written when a
// RawServer answers.
const rawReceiveBuffer = 16 << 10

// RawServer is a backend server whose answers a test writes byte by byte.
type RawServer struct {
	listener net.Listener
	mu       sync.Mutex
	answer   func(c *net.TCPConn, r *http.Request)
	serving  sync.WaitGroup
}

// StartRawServer listens on an address. It serves one request on a connection and then closes
// it.
func StartRawServer(address string) (*RawServer, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, rawReceiveBuffer)
		}); e != nil {
			return e
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: l}
	s.serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.serving.Go(func() { s.serve(c.(*net.TCPConn)) })
		}
	})
	return s, nil
}

// Address returns the address on which the server listens.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// SetAnswer sets what answers requests from now on. It gets each request when its head has
// arrived.
func (s *RawServer) SetAnswer(answer func(c *net.TCPConn, r *http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *RawServer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	const patience = 30 * time.Second
	// An error means that the connection is closed.
	_ = c.SetDeadline(time.Now().Add(patience))
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 16))
	if err != nil {
		return
	}
	s.mu.Lock()
	answer := s.answer
	s.mu.Unlock()
	if answer != nil {
		answer(c, r)
	}
}

// Close stops listening and waits for open connections.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	s.serving.Wait()
}

// RawAnswer is an answer that a RawServer gives.
type RawAnswer struct {
	Name string
	// Head is the status line and the framing, and Body what follows the head.
	Head, Body string
	// Reset is true if the connection is reset after the body, while the request may still be
	// written.
	Reset bool
	// Drain is true if the rest of the request is read before the connection is closed.
	Drain bool
	// Want is the body that a caller must get with status 200; "" means that the caller must
	// get a failure.
	Want string
}

// RawAnswers holds answers, most of which are none.
func RawAnswers() []RawAnswer {
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunks = "5\r\nwhole\r\n0\r\n\r\n"
	return []RawAnswer{
		{Name: "cut by a reset without a length", Head: ok, Body: "part", Reset: true},
		{Name: "cut by a reset with a length", Head: ok + "Content-Length: 9\r\n", Body: "part", Reset: true},
		{Name: "stream cut by a reset", Head: ok + "Content-Type: text/event-stream\r\n", Body: "id: 1\ndata: x\n\n", Reset: true},
		{Name: "status 000", Head: "HTTP/1.1 000 None\r\nContent-Length: 5\r\n", Body: "whole", Drain: true},
		{Name: "status 099", Head: "HTTP/1.1 099 None\r\nContent-Length: 5\r\n", Body: "whole", Drain: true},
		{Name: "status +20", Head: "HTTP/1.1 +20 None\r\nContent-Length: 5\r\n", Body: "whole", Drain: true},
		{Name: "status 600", Head: "HTTP/1.1 600 None\r\nContent-Length: 5\r\n", Body: "whole", Drain: true},
		{Name: "status 101", Head: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n", Body: "whole", Drain: true},
		{Name: "blank before a colon", Head: ok + "Transfer-Encoding : chunked\r\n", Body: chunks, Drain: true},
		{Name: "blank before a colon beside a length", Head: ok + "Content-Length: 15\r\nTransfer-Encoding : chunked\r\n", Body: chunks, Drain: true},
		{Name: "blank in a name", Head: ok + "X Y: 1\r\nContent-Length: 5\r\n", Body: "whole", Drain: true},
		{Name: "tab before a colon", Head: ok + "Transfer-Encoding\t: chunked\r\n", Body: chunks, Drain: true},
		{Name: "control byte in a name", Head: ok + "X\x01Y: 1\r\nContent-Length: 5\r\n", Body: "whole", Drain: true},
		{Name: "name without a colon", Head: ok + "X\r\nContent-Length: 5\r\n", Body: "whole", Drain: true},
		{Name: "chunks in HTTP/1.0", Head: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", Body: chunks, Drain: true},
		{Name: "another protocol", Head: "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n", Body: "whole", Drain: true},
		{Name: "whole without a length", Head: ok, Body: "whole", Drain: true, Want: "whole"},
		{Name: "whole without a length in HTTP/1.0", Head: "HTTP/1.0 200 OK\r\n", Body: "whole", Drain: true, Want: "whole"},
		{Name: "whole in chunks", Head: ok + "Transfer-Encoding: chunked\r\n", Body: chunks, Drain: true, Want: "whole"},
		{Name: "whole after an interim answer", Head: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + "Content-Length: 5\r\n", Body: "whole", Drain: true, Want: "whole"},
	}
}

// rawPause is the time between an answer and the reset of its connection.
const rawPause = 2 * time.Millisecond

// Write writes the answer with further header lines.
func (a RawAnswer) Write(c *net.TCPConn, lines string) {
	// A failed write means that the caller has closed the connection.
	_, _ = c.Write([]byte(a.Head + lines + "\r\n" + a.Body))
	switch {
	case a.Reset:
		time.Sleep(rawPause)
		_ = c.SetLinger(0)
	case a.Drain:
		_ = c.CloseWrite()
		buffer := make([]byte, 64<<10)
		for {
			if _, err := c.Read(buffer); err != nil {
				return
			}
		}
	}
}
