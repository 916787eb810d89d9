package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// leavingWorker is a worker of a plain service that leaves.
type leavingWorker struct {
	scene *scene
	// ended is closed when the worker ends.
	ended chan struct{}

	mu sync.Mutex
	// arrived holds when requests reached the worker, and cut the requests that it was running
	// as it ended.
	arrived map[string]time.Time
	cut     []string
}

const (
	leavingID = "i-0"
	// heartbeat is the time between two heartbeats.
	heartbeat = 1200 * time.Millisecond
	// drainTime is the deployment's drain_ms, and learnTime what the gateways may take to learn
	// of a change.
	drainTime = 2000 * time.Millisecond
	learnTime = 500 * time.Millisecond
	// leavesAfter is the time from the lost heartbeat until the worker leaves: the store has
	// been without disturbance for contact_ms then.
	leavesAfter = 3200 * time.Millisecond
	// doneAfter is the time until the lost heartbeat is carried out.
	doneAfter = 5900 * time.Millisecond
	// servesFor is how long the worker goes on serving after its entry was removed.
	servesFor = 5 * time.Second
	// expiry is the time after which an entry without heartbeats is removed.
	expiry = 3 * heartbeat
	// filingTime is the time that a request takes.
	filingTime = 150 * time.Millisecond
)

// ServeHTTP runs a request.
func (x *leavingWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !accept(w, r, leavingID) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Coltsfootbay-Request-Id")
	x.mu.Lock()
	x.arrived[id] = time.Now()
	x.mu.Unlock()
	select {
	case <-time.After(filingTime):
		_, _ = io.WriteString(w, "filed")
	case <-x.ended:
		x.mu.Lock()
		x.cut = append(x.cut, id)
		x.mu.Unlock()
		x.scene.note("the worker ends while it runs %s", id)
		panic(http.ErrAbortHandler)
	}
}

// lateSince returns how many requests reached the worker after a time.
func (x *leavingWorker) lateSince(t time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, at := range x.arrived {
		if at.After(t) {
			n++
		}
	}
	return n
}

func init() { cases["late-heartbeat"] = playLateHeartbeat }

// playLateHeartbeat: the only worker of a service leaves without reporting it. The store
// carries out one of its earlier heartbeats after its entry was removed.
func playLateHeartbeat(s *scene, trouble bool) ([]string, error) {
	address, err := s.ports.next(0)
	if err != nil {
		return nil, err
	}
	w := &leavingWorker{scene: s, ended: make(chan struct{}), arrived: map[string]time.Time{}}
	if err := s.serve(address, w); err != nil {
		return nil, err
	}
	server, born, seq := s.servers[len(s.servers)-1], time.Now().UnixMilli(), 0
	entry := func(seq int) document {
		return document{
			"service": "app", "address": address, "zone": "a", "version": "1", "slots": 6, "state": "ready",
			"cold_remaining_ms": 0, "seq": seq, "born": born,
		}
	}
	beat := func() {
		seq++
		s.store.Put("servers/"+leavingID, entry(seq))
	}
	s.store.Put("op/config", configuration(2, []document{route("file", "unsafe", "app", 800, 300, 1)}, []document{plainService("app")}))
	beat()
	gateways, err := s.startGateways(2)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c, g := range gateways {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
					s.file(g.callers, fmt.Sprintf("f-%d-%d", c, n), "record")
				}
			}
		})
	}
	beatFor := func(d time.Duration) {
		for until := time.Now().Add(d); time.Until(until) > heartbeat; {
			time.Sleep(heartbeat)
			beat()
		}
	}
	beatFor(3 * heartbeat)
	time.Sleep(heartbeat)
	lost := time.Now()
	seq++
	late := entry(seq)
	s.note("heartbeat %d is sent; the store loses its answer: %t", seq, trouble)
	if !trouble {
		s.store.Put("servers/"+leavingID, late)
	}
	beatFor(leavesAfter)
	time.Sleep(time.Until(lost.Add(leavesAfter)))
	s.store.Delete("servers/" + leavingID)
	left := time.Now()
	s.note("the store has removed the worker's entry, whose last heartbeat was %d; the worker serves for %s more", seq, servesFor)
	time.Sleep(time.Until(lost.Add(doneAfter)))
	if trouble {
		s.store.Put("servers/"+leavingID, late)
		s.note("the store carries out the lost heartbeat")
	}
	time.Sleep(time.Until(left.Add(servesFor)))
	close(w.ended)
	_ = server.Close()
	s.note("the worker has ended")
	time.Sleep(time.Until(lost.Add(doneAfter + expiry)))
	if trouble {
		s.store.Delete("servers/" + leavingID)
	}
	close(stop)
	clients.Wait()
	n := w.lateSince(left.Add(drainTime + learnTime))
	s.note("%d requests reached the worker, %d of them later than %s after its entry was removed; cut: %v", len(w.arrived), n, drainTime+learnTime, w.cut)
	if n == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reached the worker later than %s after its entry was removed; %d of them had no answer when it ended", n, drainTime+learnTime, len(w.cut))}, nil
}
