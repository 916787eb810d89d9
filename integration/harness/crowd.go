package harness

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ClientShape is how a client of a Crowd misbehaves.
type ClientShape string

// Shapes of clients. All but the last three stop before their request is complete and stay
// connected.
const (
	IdleClient         ClientShape = "idle connection"
	TricklingHead      ClientShape = "head byte by byte"
	LongHead           ClientShape = "long head"
	WholeBody          ClientShape = "large body at once"
	PiecewiseBody      ClientShape = "large body piece by piece"
	LargeChunks        ClientShape = "large chunks"
	SmallChunks        ClientShape = "small chunks"
	AnnouncedBodyLimit ClientShape = "body over the limit, announced"
	SentBodyLimit      ClientShape = "body over the limit, sent"
	UnreadAnswers      ClientShape = "answers that are not read"
	LongNames          ClientShape = "long path and identifier"
)

const (
	// longHeadBytes is just below the limit of a head.
	longHeadBytes = 60 << 10
	// overLimitBytes is far over every limit of bodies.
	overLimitBytes = 64 << 20
	// smallChunkBytes is the payload of a client that sends chunks of one byte.
	smallChunkBytes = 128 << 10
	// pipelinedRequests is how many requests a client sends that reads no answer.
	pipelinedRequests = 200
	// reconnectPause is the time after which a client whose connection was closed
	// connects again.
	reconnectPause  = time.Second
	trickleInterval = 200 * time.Millisecond
	pieceBytes      = 64 << 10
	pieceInterval   = 2 * time.Millisecond
	// longNameBytes is the length of a path and of an identifier of the clients that have
	// long ones; namedRequests is how many requests each of them sends.
	longNameBytes = 14 << 10
	namedRequests = 60
)

// CrowdRequest is what the requests of a crowd have in common.
type CrowdRequest struct {
	// Line is the request line without its end, Headers are lines with theirs, and IDHeader
	// is the name of the header with the identifier.
	Line, Headers, IDHeader string
	// BodyBytes is the largest allowed body.
	BodyBytes int
}

// Crowd is a number of clients that do not behave. A client whose connection is closed
// connects again.
type Crowd struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
}

// StartCrowd starts the clients.
func StartCrowd(address string, clients int, shape ClientShape, r CrowdRequest) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{cancel: cancel}
	for n := range clients {
		c.clients.Go(func() {
			for ctx.Err() == nil {
				playClient(ctx, address, n, shape, r)
				sleepFor(ctx, reconnectPause)
			}
		})
	}
	return c
}

// Stop closes all connections.
func (c *Crowd) Stop() {
	c.cancel()
	c.clients.Wait()
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// playClient is one connection of a client. Errors mean that the process closed it.
func playClient(ctx context.Context, address string, n int, shape ClientShape, r CrowdRequest) {
	dialer := net.Dialer{Timeout: 5 * time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if shape.send(ctx, conn, n, r) != nil {
		return
	}
	if shape == UnreadAnswers {
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

func (s ClientShape) send(ctx context.Context, conn net.Conn, n int, r CrowdRequest) error {
	head := r.Line + "\r\nHost: x\r\n" + r.Headers
	if strings.Contains(r.Headers, "Host:") {
		head = r.Line + "\r\n" + r.Headers
	}
	head += fmt.Sprintf("%s: crowd-%d\r\n", r.IDHeader, n)
	length := func(bytes int) string { return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", bytes) }
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	switch s {
	case IdleClient:
		return nil
	case TricklingHead:
		return trickle(ctx, conn, head+"X-Long: "+strings.Repeat("x", 8<<10))
	case LongHead:
		return write(conn, longHead(head))
	case WholeBody:
		return write(conn, length(r.BodyBytes)+strings.Repeat("x", r.BodyBytes-1))
	case PiecewiseBody:
		return writePieces(ctx, conn, length(r.BodyBytes), r.BodyBytes-1, "%s")
	case LargeChunks:
		return writePieces(ctx, conn, chunked, r.BodyBytes-pieceBytes, fmt.Sprintf("%x\r\n%%s\r\n", pieceBytes))
	case SmallChunks:
		return write(conn, chunked+strings.Repeat("1\r\nx\r\n", smallChunkBytes))
	case AnnouncedBodyLimit:
		return writePieces(ctx, conn, length(overLimitBytes), overLimitBytes, "%s")
	case SentBodyLimit:
		return writePieces(ctx, conn, chunked, overLimitBytes, fmt.Sprintf("%x\r\n%%s\r\n", pieceBytes))
	case LongNames:
		return askWithLongNames(ctx, conn, n, r)
	case UnreadAnswers:
		return write(conn, strings.Repeat(head+"\r\n", pipelinedRequests))
	}
	return fmt.Errorf("unknown shape %s", s)
}

// askWithLongNames sends requests whose path and identifier are long, and reads the answers.
func askWithLongNames(ctx context.Context, conn net.Conn, n int, r CrowdRequest) error {
	answers := bufio.NewReader(conn)
	method, rest, _ := strings.Cut(r.Line, " ")
	path, version, _ := strings.Cut(rest, " ")
	long := strings.Repeat("x", longNameBytes)
	for i := range namedRequests {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		head := fmt.Sprintf("%s %s/%s %s\r\nHost: x\r\n%s: %d-%d-%s\r\nContent-Length: 0\r\n\r\n", method, path, long, version, r.IDHeader, n, i, long)
		if err := write(conn, head); err != nil {
			return err
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		if resp.Close {
			return io.EOF
		}
	}
	return nil
}

// longHead returns a head with as many short fields as fit, without its end.
func longHead(head string) string {
	var b strings.Builder
	b.WriteString(head)
	for n := 0; b.Len() < longHeadBytes; n++ {
		fmt.Fprintf(&b, "a%x:\r\n", n)
	}
	return b.String()
}

func write(conn net.Conn, text string) error {
	_, err := io.WriteString(conn, text)
	return err
}

func trickle(ctx context.Context, conn net.Conn, text string) error {
	for i := range len(text) {
		if err := write(conn, text[i:i+1]); err != nil {
			return err
		}
		sleepFor(ctx, trickleInterval)
	}
	return ctx.Err()
}

func writePieces(ctx context.Context, conn net.Conn, head string, total int, format string) error {
	if err := write(conn, head); err != nil {
		return err
	}
	for sent := 0; sent < total && ctx.Err() == nil; sent += pieceBytes {
		if err := write(conn, fmt.Sprintf(format, strings.Repeat("x", min(pieceBytes, total-sent)))); err != nil {
			return err
		}
		sleepFor(ctx, pieceInterval)
	}
	return ctx.Err()
}

const (
	ordinaryAttempts = 20
	ordinaryTimeout  = 3 * time.Second
	ordinaryPause    = 200 * time.Millisecond
)

// AskUntilServed sends a request with a body of that many bytes, each time on a new
// connection, until it is answered with status 200. It returns an error after 20 attempts.
func AskUntilServed(method, url, host string, headers map[string]string, bodyBytes int) error {
	var last error
	for range ordinaryAttempts {
		client := &http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		r, err := http.NewRequest(method, url, strings.NewReader(strings.Repeat("y", bodyBytes)))
		if err != nil {
			return err
		}
		r.Host = host
		for name, value := range headers {
			r.Header.Set(name, value)
		}
		if last = askOnce(client, r); last == nil {
			return nil
		}
		time.Sleep(ordinaryPause)
	}
	return fmt.Errorf("not served in %d attempts: %w", ordinaryAttempts, last)
}

func askOnce(client *http.Client, r *http.Request) error {
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	return nil
}
