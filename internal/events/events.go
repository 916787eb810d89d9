// Package events records the events of a process: one key=value log line per
// event and a bounded ring buffer that the timeline command reads. Events carry
// hybrid logical timestamps, so the rings of all processes merge in causal order.
package events

import (
	"io"
	"sort"
	"strings"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// ringSize is the number of events a process keeps for the timeline.
const ringSize = 8192

// Field is one key and value of an event.
type Field struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
}

// F returns a Field with the given key and value.
func F(key string, value any) Field { return Field{Key: key, Value: value} }

// Event is a recorded event of a process.
type Event struct {
	Time    Timestamp       `json:"time"`
	Process fleet.ProcessID `json:"process"`
	Start   fleet.StartID   `json:"start,string"`
	Name    string          `json:"name"`
	Request fleet.RequestID `json:"request,omitempty"`
	Fields  []Field         `json:"fields,omitempty"`
}

// Recorder writes events to the log and keeps the most recent ones. It is
// safe for concurrent use.
type Recorder struct {
	Clock   *Clock
	process fleet.ProcessID
	start   fleet.StartID
	logger  log.Interface

	mu   sync.Mutex
	ring []Event
	next int
}

// NewRecorder returns a recorder that logs to w in logfmt.
func NewRecorder(process fleet.ProcessID, start fleet.StartID, w io.Writer) *Recorder {
	return &Recorder{
		Clock:   NewClock(),
		process: process,
		start:   start,
		logger:  &log.Logger{Handler: logfmt.New(&lineWriter{to: w}), Level: log.InfoLevel},
	}
}

// lineWriter passes on whole lines. The logfmt handler writes each key and value by
// itself, under its own lock.
type lineWriter struct {
	to   io.Writer
	line []byte
}

func (l *lineWriter) Write(p []byte) (int, error) {
	l.line = append(l.line, p...)
	if len(p) == 0 || p[len(p)-1] != '\n' {
		return len(p), nil
	}
	_, err := l.to.Write(l.line)
	l.line = l.line[:0]
	return len(p), err
}

// Record logs an event and adds it to the ring. request is empty if the event
// belongs to no request. Identifiers and texts of more than maxTextBytes are cut.
func (r *Recorder) Record(name string, request fleet.RequestID, fields ...Field) {
	for i := range fields {
		fields[i].Value = cutValue(fields[i].Value)
	}
	e := Event{Time: r.Clock.Now(), Process: r.process, Start: r.start, Name: name, Request: fleet.RequestID(cut(string(request))), Fields: fields}
	r.store(e)
	r.logger.WithFields(logFields(e)).Info(name)
}

// maxTextBytes limits a text in an event: clients choose some of them, and the ring keeps
// many.
const maxTextBytes = 512

// cut returns the beginning of a long text. The copy does not keep the text in memory.
func cut(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(strings.Clone(text[:maxTextBytes]), "") + "..."
}

func cutValue(value any) any {
	switch v := value.(type) {
	case string:
		return cut(v)
	case []string:
		out := make([]string, len(v))
		for i := range v {
			out[i] = cut(v[i])
		}
		return out
	}
	return value
}

func (r *Recorder) store(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < ringSize {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % ringSize
}

// Recent returns the events of the ring that are later than after, oldest first.
func (r *Recorder) Recent(after Timestamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.ring {
		e := r.ring[(r.next+i)%len(r.ring)]
		if e.Time > after {
			out = append(out, e)
		}
	}
	return out
}

// Merge orders the events of several processes by timestamp, then by process.
func Merge(rings ...[]Event) []Event {
	var all []Event
	for _, ring := range rings {
		all = append(all, ring...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].Time != all[j].Time {
			return all[i].Time < all[j].Time
		}
		return all[i].Process < all[j].Process
	})
	return all
}

func logFields(e Event) log.Fields {
	f := log.Fields{"process": string(e.Process), "hlc": uint64(e.Time)}
	if e.Request != "" {
		f["request"] = string(e.Request)
	}
	for _, field := range e.Fields {
		f[field.Key] = field.Value
	}
	return f
}
