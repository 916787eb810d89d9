package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func serveHTTP(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }()
	return nil
}

// proxy forwards TCP connections to a target.
type proxy struct {
	address, target string

	mu    sync.Mutex
	links []*link
}

// link is one connection with the connection that it is forwarded to.
type link struct {
	mu     sync.Mutex
	silent bool
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: address, target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(c net.Conn) {
	p.mu.Lock()
	k := &link{}
	p.links = append(p.links, k)
	p.mu.Unlock()
	s, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	done := make(chan struct{}, 2)
	go func() { k.copy(s, c); done <- struct{}{} }()
	go func() { k.copy(c, s); done <- struct{}{} }()
	<-done
	_ = c.Close()
	_ = s.Close()
}

// copy forwards bytes until the connection ends. What a silent connection carries is lost.
func (k *link) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		k.mu.Lock()
		silent := k.silent
		k.mu.Unlock()
		if n > 0 && !silent {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence makes the open connections silent for good; new ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.links {
		k.mu.Lock()
		k.silent = true
		k.mu.Unlock()
	}
}
