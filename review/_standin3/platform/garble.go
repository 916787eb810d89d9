package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lookupWorker is a worker of a plain service. A faulty one sends a wrong byte in the heads of
// part of its answers: the name of the signature's field is another one.
type lookupWorker struct {
	scene   *scene
	id      string
	faulty  atomic.Bool
	answers atomic.Int64
	spoiled atomic.Int64
}

const (
	lookupTime = 30 * time.Millisecond
	// A faulty worker spoils one of spoiledIn answers.
	spoiledIn = 50
	// spoiledField is the signature's field with a wrong byte.
	spoiledField = "X-Coltsfootbay-Response-Sjgnature"
)

// ServeHTTP answers a request.
func (x *lookupWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Coltsfootbay-Instance-Id", x.id)
		return
	}
	if !accept(w, r, x.id) {
		return
	}
	time.Sleep(lookupTime)
	if x.faulty.Load() && x.answers.Add(1)%spoiledIn == 0 {
		x.spoiled.Add(1)
		x.scene.note("worker %s answers %s with the field %s", x.id, r.Header.Get("X-Coltsfootbay-Request-Id"), spoiledField)
		w.Header().Set(spoiledField, w.Header().Get("X-Coltsfootbay-Response-Signature"))
		w.Header().Del("X-Coltsfootbay-Response-Signature")
	}
	_, _ = fmt.Fprintf(w, "record of %s", r.URL.Path)
}

func init() { cases["unsigned-answers"] = playUnsignedAnswers }

// playUnsignedAnswers: one of three workers spoils one in fifty of its answers: they have no
// field with the signature, without which a success does not count.
func playUnsignedAnswers(s *scene, trouble bool) ([]string, error) {
	const (
		workers = 3
		clients = 12
		// faultyFor is how long the worker is faulty.
		faultyFor = 5500 * time.Millisecond
	)
	var first *lookupWorker
	for n := range workers {
		address, err := s.ports.next(0)
		if err != nil {
			return nil, err
		}
		w := &lookupWorker{scene: s, id: fmt.Sprintf("i-%d", n)}
		if err := s.serve(address, w); err != nil {
			return nil, err
		}
		s.register(w.id, "app", address, 6)
		if n == 0 {
			first = w
		}
	}
	s.store.Put("op/config", configuration(2, []document{route("look", "safe", "app", 800, 300, 2)}, []document{plainService("app")}))
	gateways, err := s.startGateways(2)
	if err != nil {
		return nil, err
	}
	first.faulty.Store(trouble)
	var (
		wait   sync.WaitGroup
		mu     sync.Mutex
		counts = map[string]int{}
		broken []string
	)
	began := time.Now()
	for c := range clients {
		wait.Go(func() {
			for n := 0; time.Since(began) < faultyFor; n++ {
				id := fmt.Sprintf("l-%d-%d", c, n)
				a := s.look(gateways[c%len(gateways)].callers, id)
				mu.Lock()
				counts[fmt.Sprintf("status %d", a.status)]++
				if a.status == http.StatusOK && a.header.Get("X-Coltsfootbay-Response-Signature") == "" {
					s.note("client: %s: %v, without a signature", id, a)
					broken = append(broken, fmt.Sprintf("MIXED: %s got status 200 without the worker's signature", id))
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	s.note("answers: %v; the faulty worker made %d, of which it spoiled %d", counts, first.answers.Load(), first.spoiled.Load())
	return broken, nil
}

// look reads a record through a gateway on a new channel.
func (s *scene) look(gateway, id string) answer {
	const limit = 1500 * time.Millisecond
	c, err := connect(gateway)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte(head(http.MethodGet, "/look/1", id, limit))); err != nil {
		return answer{err: err}
	}
	return c.read(http.MethodGet, time.Now().Add(limit), nil)
}
