package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a connection of a client.
type channel struct {
	net.Conn
	r *bufio.Reader
}

// connect opens a connection within the second that clients allow.
func connect(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: c, r: bufio.NewReader(c)}, nil
}

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, more ...string) string {
	lines := []string{
		method + " " + path + " HTTP/1.1", "Host: " + host, "X-Coltsfootbay-Request-Id: " + id, "X-Coltsfootbay-Key: " + testKey,
		fmt.Sprintf("X-Coltsfootbay-Deadline-Ms: %d", deadline.Milliseconds()),
	}
	return strings.Join(append(lines, more...), "\r\n") + "\r\n\r\n"
}

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set unless the answer is complete.
	err error
}

// read reads the answer to a request until a time.
func (c *channel) read(method string, until time.Time, event func(line string)) answer {
	_ = c.SetReadDeadline(until)
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, header: resp.Header}
	body := bufio.NewReader(resp.Body)
	for {
		line, err := body.ReadString('\n')
		a.body += line
		if event != nil && strings.HasPrefix(line, "id:") {
			event(strings.TrimSpace(line))
		}
		if err == io.EOF {
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
	}
}

func (a answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer: %v", a.err)
	case a.err != nil:
		return fmt.Sprintf("status %d, cut after %d bytes: %v", a.status, len(a.body), a.err)
	}
	text := fmt.Sprintf("status %d, complete, %d bytes", a.status, len(a.body))
	if after := a.header.Get("Retry-After"); after != "" {
		text += ", Retry-After " + after
	}
	return text
}
