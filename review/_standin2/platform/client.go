package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	headerID        = "X-Coltsfootbay-Request-Id"
	headerKey       = "X-Coltsfootbay-Key"
	headerDeadline  = "X-Coltsfootbay-Deadline-Ms"
	headerTokens    = "X-Coltsfootbay-Token-Usage"
	headerModel     = "X-Coltsfootbay-Model"
	headerParts     = "X-Coltsfootbay-Prompt-Prefix"
	headerInstance  = "X-Coltsfootbay-Expect-Instance"
	headerNotRun    = "X-Coltsfootbay-Not-Executed"
	headerSignature = "X-Coltsfootbay-Response-Signature"
	headerLoad      = "X-Coltsfootbay-Server-Load"
)

// call is one attempt of a client.
type call struct {
	id, method, path, body string
	// limit is the time limit that the client states, and silence, if not zero, the time without
	// an event after which it abandons a stream.
	limit, silence time.Duration
	headers        map[string]string
}

// answer is what a client got.
type answer struct {
	status int
	// events is the number of whole events of a stream.
	events int
	body   string
	// complete is true if the answer has ended as its framing says.
	complete bool
	err      error
	took     time.Duration
	// signature is the worker's.
	signature string
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d events, broken off after %d ms: %v", a.status, a.events, a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("status %d, %d events, complete after %d ms", a.status, a.events, a.took.Milliseconds())
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
}

// send sends one attempt on a new channel of its own.
func send(address string, c call) answer { return sendWith(newClient(), address, c) }

// sendWith sends one attempt with a client.
func sendWith(client *http.Client, address string, c call) (a answer) {
	from := time.Now()
	defer func() { a.took = time.Since(from) }()
	ctx, cancel := context.WithTimeout(context.Background(), c.limit)
	defer cancel()
	progress := func() {}
	if c.silence > 0 {
		abandon := time.AfterFunc(c.silence, cancel)
		defer abandon.Stop()
		progress = func() { abandon.Reset(c.silence) }
	}
	// With a body and without GetBody the HTTP client does not repeat the request.
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, io.NopCloser(strings.NewReader(c.body)))
	if err != nil {
		return answer{err: err}
	}
	r.ContentLength = int64(len(c.body))
	r.Host = host
	r.Header.Set(headerID, c.id)
	r.Header.Set(headerKey, key)
	r.Header.Set(headerDeadline, strconv.FormatInt(c.limit.Milliseconds(), 10))
	for name, value := range c.headers {
		r.Header.Set(name, value)
	}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a = answer{status: resp.StatusCode, signature: resp.Header.Get(headerSignature)}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readEvents(resp.Body, a, progress)
	}
	body, err := io.ReadAll(resp.Body)
	a.body, a.err, a.complete = string(body), err, err == nil
	return a
}

func readEvents(r io.Reader, a answer, progress func()) answer {
	in := bufio.NewReader(r)
	for {
		line, err := in.ReadString('\n')
		switch {
		case errors.Is(err, io.EOF) && line == "":
			a.complete = true
			return a
		case err != nil:
			a.err = err
			return a
		case line == "\n":
			a.events++
			progress()
		}
	}
}
