package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

// streamWorker is a model worker that sends the events of each stream at times of its own. It
// is never faulty: it ends each stream whole as long as its caller listens.
type streamWorker struct {
	scene       *scene
	id, address string
	// gaps returns the time before each event of a request.
	gaps func(request string) []time.Duration
}

// startWorkers starts workers of the service "model" and registers them.
func (s *scene) startWorkers(n int, gaps func(request string) []time.Duration) error {
	for i := range n {
		address, err := s.ports.next(0)
		if err != nil {
			return err
		}
		w := &streamWorker{scene: s, id: fmt.Sprintf("i-%d", i), address: address, gaps: gaps}
		if err := s.serve(address, w); err != nil {
			return err
		}
		s.register(w.id, "model", address, slots)
	}
	return nil
}

// ServeHTTP runs a request.
func (x *streamWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	if !accept(w, r, x.id) {
		return
	}
	id := r.Header.Get("X-Coltsfootbay-Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	gaps := x.gaps(id)
	x.scene.note("worker %s takes %s, which has %d events; deadline %s ms, Last-Event-Id %q", x.id, id, len(gaps),
		r.Header.Get("X-Coltsfootbay-Deadline-Ms"), r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for n, gap := range gaps {
		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			x.scene.note("worker %s: the channel of %s was closed before event %d", x.id, id, n+1)
			return
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n+1, id, n+1)
		if err == nil {
			err = flusher.Flush()
		}
		if err != nil {
			x.scene.note("worker %s: event %d of %s could not be sent: %v", x.id, n+1, id, err)
			return
		}
	}
	x.scene.note("worker %s has sent all of %s", x.id, id)
}

const (
	slots = 12
	// tokensPerEvent is the number of tokens that an event holds.
	tokensPerEvent = 4
)

// modelService returns the description of a service of model workers.
func modelService() document {
	return document{
		"name": "model", "health_path": "/health", "max_conns": 418,
		"engine": document{
			"slots": slots, "stride": tokensPerEvent, "step_ms": 4.55, "per_seq_ms": 0.905, "read_per_s": 61400.0,
			"usual": document{"prompt": 787.0, "answer": 97.0},
		},
	}
}

// stream is a request for a stream of events.
type stream struct {
	id, path string
	events   int
	limit    time.Duration
}

// send sends a stream to a gateway on a new channel and returns the answer.
func (s *scene) send(gateway string, q stream) answer {
	c, err := connect(gateway)
	if err != nil {
		s.note("client: no channel for %s: %v", q.id, err)
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	const body = "{\"prompt\": \"...\"}"
	sent := time.Now()
	_, err = io.WriteString(c, head(http.MethodPost, q.path, q.id, q.limit, "X-Coltsfootbay-Model: m",
		fmt.Sprintf("X-Coltsfootbay-Token-Usage: 787,%d", tokensPerEvent*q.events), fmt.Sprintf("Content-Length: %d", len(body)))+body)
	if err != nil {
		return answer{err: err}
	}
	s.note("client: %s sent", q.id)
	last := ""
	a := c.read(http.MethodPost, sent.Add(q.limit), func(line string) { last = line })
	s.note("client: %s after %s: %v; last event %q", q.id, time.Since(sent).Round(time.Millisecond), a, last)
	return a
}

// resolve asks a gateway for the addresses of gateways and returns how long they may be kept.
func (s *scene) resolve(directory string) (addresses []string, lifetime time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/coltsfootbay/resolve?name="+host+"&region=r&zone=a", nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
		Lifetime  float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, 0, err
	}
	lifetime = time.Duration(out.Lifetime * float64(time.Second))
	s.note("client: the directory answers %v for %s", out.Addresses, lifetime)
	return out.Addresses, lifetime, nil
}

// repeat returns a time n times.
func repeat(d time.Duration, n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}

func init() {
	cases["stop-queued-stream"] = playQueuedStream
	cases["stop-preempted-stream"] = playPreemptedStream
}

// targetMS is the latency target of the streams. Callers wait four times as long for an event.
const targetMS = 1000

// playQueuedStream: a gateway gets SIGTERM. A client that has kept its address sends a stream
// 3.3 s later. The gateway passes it on and cuts it off when it ends.
func playQueuedStream(s *scene, trouble bool) ([]string, error) {
	const (
		sendAfter = 3300 * time.Millisecond
		events    = 20
		pause     = 100 * time.Millisecond
		// queued is how long the stream waits in the worker's queue.
		queued = 2800 * time.Millisecond
	)
	err := s.startWorkers(2, func(request string) []time.Duration {
		gaps := repeat(pause, events)
		if request == "late" {
			gaps[0] = queued
		}
		return gaps
	})
	if err != nil {
		return nil, err
	}
	s.store.Put("op/config", configuration(2, []document{with(route("check", "streaming", "model", 8000, targetMS, 2), "resumable", true)}, []document{modelService()}))
	gateways, err := s.startGateways(2)
	if err != nil {
		return nil, err
	}
	g := gateways[0]
	for n := range 3 {
		if a := s.send(g.callers, stream{id: fmt.Sprintf("before-%d", n), path: "/check/1", events: events, limit: 8 * time.Second}); a.status != http.StatusOK || a.err != nil {
			return nil, fmt.Errorf("a stream before the stop was not served: %v", a)
		}
	}
	addresses, lifetime, err := s.resolve(g.directory)
	if err != nil {
		return nil, err
	}
	if len(addresses) != len(gateways) || 3*lifetime < sendAfter {
		return nil, fmt.Errorf("the directory names %d gateways for %s", len(addresses), lifetime)
	}
	stopped := time.Now()
	if trouble {
		if err := g.signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(stopped.Add(sendAfter)))
	a := s.send(g.callers, stream{id: "late", path: "/check/1", events: events, limit: 8 * time.Second})
	s.logRequests(g)
	if a.status == http.StatusOK && a.err != nil {
		return []string{fmt.Sprintf("LOST: the gateway passed on a stream that was sent %s after SIGTERM and cut it off: %v", sendAfter, a)}, nil
	}
	return nil, nil
}

// playPreemptedStream: a gateway gets SIGTERM while it serves a stream that can't be resumed.
// The worker preempts the stream and goes on with it before the client gives up.
func playPreemptedStream(s *scene, trouble bool) ([]string, error) {
	const (
		events  = 10
		pause   = 60 * time.Millisecond
		preempt = 3800 * time.Millisecond
	)
	err := s.startWorkers(2, func(string) []time.Duration {
		gaps := repeat(pause, events)
		if trouble {
			gaps[events/2] = preempt
		}
		return gaps
	})
	if err != nil {
		return nil, err
	}
	s.store.Put("op/config", configuration(2, []document{route("draft", "streaming", "model", 8000, targetMS, 1)}, []document{modelService()}))
	gateways, err := s.startGateways(2)
	if err != nil {
		return nil, err
	}
	g := gateways[0]
	result := make(chan answer, 1)
	go func() {
		result <- s.send(g.callers, stream{id: "draft", path: "/draft/1", events: events, limit: 8 * time.Second})
	}()
	time.Sleep(200 * time.Millisecond)
	if err := g.signal(syscall.SIGTERM); err != nil {
		return nil, err
	}
	a := <-result
	s.logRequests(g)
	if a.status == http.StatusOK && a.err != nil {
		return []string{fmt.Sprintf("LOST: the gateway cut off a stream in a planned stop: %v", a)}, nil
	}
	return nil, nil
}

// logRequests copies what a gateway logged about requests into the record.
func (s *scene) logRequests(p *process) {
	for _, l := range p.log("message=request_ended", "message=leaving", "message=stream_resumed") {
		s.note("log of %s: %s", p.name, l)
	}
}
