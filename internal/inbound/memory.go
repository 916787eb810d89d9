package inbound

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/bounded"
)

const (
	// smallRequestBytes is the size up to which a request may take the last part of the
	// memory, and largeShare the fraction that larger ones may take.
	smallRequestBytes = 64 << 10
	largeShare        = 0.75
	// evictableAfter is the age after which a request that has not arrived in full may be
	// given up for another one.
	evictableAfter = 500 * time.Millisecond
)

// take takes n bytes for a request of c and reports whether they were left. The caller holds
// l.mu.
func (l *Listener) take(c *conn, n int64) bool {
	if n <= 0 {
		return true
	}
	if c.evicted || !c.counted {
		return false
	}
	if c.charged == 0 {
		c.since = time.Now()
	}
	limit := l.limits.RequestBytes
	if c.charged+n > smallRequestBytes {
		limit = int64(largeShare * float64(limit))
	}
	for l.used+n > limit {
		slowest := l.slowest(time.Now())
		if slowest == nil || slowest == c {
			l.notify(RequestRefused)
			return false
		}
		l.evict(slowest)
	}
	l.used += n
	c.charged += n
	return true
}

// slowest returns the connection whose request arrives more slowly than those of all others,
// or nil if none is older than evictableAfter.
func (l *Listener) slowest(now time.Time) *conn {
	var found *conn
	least := 0.0
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		age := now.Sub(c.since)
		if c.charged == 0 || age < evictableAfter {
			continue
		}
		if rate := float64(c.charged) / age.Seconds(); found == nil || rate < least {
			found, least = c, rate
		}
	}
	return found
}

// evict gives up the request of a connection. One whose body is read gets an answer.
func (l *Listener) evict(c *conn) {
	l.notify(RequestEvicted)
	c.evicted = true
	l.used -= c.charged
	c.charged = 0
	if !c.inBody {
		c.reset()
		return
	}
	// An error means that the connection is closed, and reading fails too.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// request is the memory of one request. It implements bounded.Memory.
type request struct{ c *conn }

func (r request) Take(n int64) bool {
	r.c.listener.mu.Lock()
	defer r.c.listener.mu.Unlock()
	return r.c.listener.take(r.c, n)
}

func (r request) Release(n int64) {
	l := r.c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	n = min(n, r.c.charged)
	r.c.charged -= n
	l.used -= n
}

// ReadBody reads the body of a request. It returns bounded.ErrTooLong for a body of more than
// limit bytes, ErrOverloaded if the memory for requests does not suffice, and the error of
// the connection, which is a time-out after the deadline. release must be called when the body
// is no longer used.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (body []byte, release func(), err error) {
	release = func() {}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, release, nil
	}
	if r.ContentLength > limit {
		return nil, release, bounded.ErrTooLong
	}
	// An error of the controller means that the connection is closed, and reading fails too.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	var memory bounded.Memory
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c != nil {
		memory = request{c}
	}
	if r.ContentLength >= 0 {
		limit = r.ContentLength
	}
	body, taken, err := bounded.Read(r.Body, limit, memory, 0)
	if errors.Is(err, bounded.ErrBudget) || err != nil && c.isEvicted() {
		return nil, release, ErrOverloaded
	}
	if err != nil {
		return nil, release, err
	}
	// The deadline would end the handler's context.
	_ = control.SetReadDeadline(time.Time{})
	if memory != nil {
		release = func() { memory.Release(taken) }
	}
	return body, release, nil
}

func (c *conn) isEvicted() bool {
	if c == nil {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.evicted
}

// restTimeout limits the wait for the rest of a body that is not used. If it arrives in time,
// the connection can be used again.
const restTimeout = 250 * time.Millisecond

// AnswerEarly prepares an answer to a request whose body may not have been read: it does not
// wait for a client that does not send the rest. It must be called before the answer is
// written.
func AnswerEarly(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	if b, ok := r.Body.(*trackedBody); ok && b.ended {
		return
	}
	// An error means that the connection is closed.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
}

// trackRequests tells the connections whether the bodies of their requests have been read, and
// makes them end after their answers while new ones find no place.
func (l *Listener) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.full() {
			w.Header().Set("Connection", "close")
		}
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c != nil && r.Body != nil && r.Body != http.NoBody {
			c.waitForBody()
			// net/http finds out from the body of its own request what is left of it.
			r = r.WithContext(r.Context())
			r.Body = &trackedBody{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

type trackedBody struct {
	io.ReadCloser
	conn  *conn
	ended bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.ended {
		b.ended = true
		b.conn.bodyRead()
	}
	return n, err
}
