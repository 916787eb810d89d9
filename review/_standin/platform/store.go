package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
}

// put stores a value and returns when the write was confirmed.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: data, Revision: s.revision}
	s.items[key] = i
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /coltsfootbay/kv-key", s.key)
	mux.HandleFunc("GET /coltsfootbay/kv-range", s.list)
	mux.HandleFunc("GET /coltsfootbay/kv-watch", s.watch)
	return mux
}

func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, struct {
		item
		Current int64 `json:"current_rev"`
	}{i, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	answerJSON(w, map[string]any{"items": items, "has_more": false, "current_rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	until := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			answerJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-until:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// gate is the way of one machine to the store, which may turn the machine away with
// status 503 while it serves others.
type gate struct {
	handler http.Handler

	mu     sync.Mutex
	closed chan struct{}
	busy   bool
}

func newGate(h http.Handler) *gate { return &gate{handler: h, closed: make(chan struct{})} }

// setBusy begins or ends turning the machine away. Its waiting watches are cut.
func (g *gate) setBusy(busy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy = busy; busy {
		close(g.closed)
		g.closed = make(chan struct{})
	}
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	busy, closed := g.busy, g.closed
	g.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-closed:
			cancel()
		case <-done:
		}
	}()
	g.handler.ServeHTTP(w, r.WithContext(ctx))
	select {
	case <-closed:
		panic(http.ErrAbortHandler)
	default:
	}
}
