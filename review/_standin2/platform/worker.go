package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker. It runs requests and tells the record of them.
type worker struct {
	world   *world
	id      string
	service string
	address string
	slots   int
	born    int64
	// run answers a request that the worker runs.
	run func(w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	running int
	// down is true from a crash until the worker is back.
	down bool
	// arrived holds when requests reached the worker, by id.
	arrived map[string]time.Time
	state   string
	seq     int64
	server  *http.Server
	// late, if not zero, is how late the store carries out the next beat.
	late time.Duration
	stop chan struct{}
}

func (w *world) newWorker(id, service string, run func(http.ResponseWriter, *http.Request)) (*worker, error) {
	x := &worker{
		world: w, id: id, service: service, slots: 12, born: time.Now().UnixMilli(), run: run, arrived: map[string]time.Time{}, state: "ready",
		stop: make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x.address = l.Addr().String()
	x.server = &http.Server{Handler: http.HandlerFunc(x.serve), ReadHeaderTimeout: 5 * time.Second}
	go func(s *http.Server) { _ = s.Serve(l) }(x.server)
	w.cleanups = append(w.cleanups, x.end)
	return x, nil
}

// end ends the worker: its connections are reset and nothing listens at its address.
func (x *worker) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.server.Close()
}

func (x *worker) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if want := r.Header.Get(headerInstance); want != "" && want != x.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.mu.Lock()
	x.arrived[id] = time.Now()
	full := x.running >= x.slots
	if !full {
		x.running++
	}
	running := x.running
	x.mu.Unlock()
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", running, x.slots))
	if full {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	x.world.note("%s runs %s", x.id, id)
	defer func() {
		x.mu.Lock()
		x.running--
		x.mu.Unlock()
	}()
	w.Header().Set(headerSignature, x.id+"."+id)
	x.run(w, r)
}

// crash resets all connections of the worker, and has nothing listen at its address for a time.
// It then starts again under the same id. It returns false if the worker is down.
func (x *worker) crash(down time.Duration) bool {
	x.mu.Lock()
	was := x.down
	x.down = true
	x.mu.Unlock()
	if was {
		return false
	}
	x.end()
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", x.address)
		if err != nil {
			x.world.note("%s can't start again: %v", x.id, err)
			return
		}
		x.mu.Lock()
		x.down = false
		x.running, x.born, x.seq = 0, time.Now().UnixMilli(), 0
		x.server = &http.Server{Handler: http.HandlerFunc(x.serve), ReadHeaderTimeout: 5 * time.Second}
		server := x.server
		x.mu.Unlock()
		x.world.note("%s is back", x.id)
		go func() { _ = server.Serve(l) }()
		x.beat()
	})
	return true
}

// beat writes the worker's entry once.
func (x *worker) beat() {
	x.mu.Lock()
	if x.down {
		x.mu.Unlock()
		return
	}
	x.seq++
	e := entry{Service: x.service, Address: x.address, Zone: "zone-a", Version: "1", Slots: x.slots, State: x.state, Sequence: x.seq, Born: x.born}
	late := x.late
	x.late = 0
	x.mu.Unlock()
	if late > 0 {
		x.world.note("%s writes %s, seq %d; the store will carry that out %s late, without an answer", x.id, e.State, e.Sequence, late)
		time.AfterFunc(late, func() { x.world.write(x.id, e) })
		return
	}
	x.world.write(x.id, e)
}

// beats writes the entry every heartbeat until stopBeats is called.
func (x *worker) beats() {
	x.beat()
	x.mu.Lock()
	stop := x.stop
	x.mu.Unlock()
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				x.beat()
			}
		}
	}()
}

// events answers with a stream of n events, one every interval. A resumed stream goes on
// after Last-Event-Id.
func events(w http.ResponseWriter, r *http.Request, n int, interval time.Duration) {
	next := 1
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &next); err == nil {
		next++
	}
	flusher := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for ; next <= n; next++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(interval):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next, strings.Repeat("x", 65)); err != nil {
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
	}
}
