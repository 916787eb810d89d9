package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// removedService decommissions a service as planned while streams of it run: a version of the
// configuration moves its route to another service and no longer lists it, and its workers
// then drain. One of them ends sooner than the other.
func removedService(w *world) (broken bool, err error) {
	const streams, streamEvents = 8, 60
	run := func(rw http.ResponseWriter, r *http.Request) { events(rw, r, streamEvents, eventInterval) }
	routeTo := func(service string) []route {
		return []route{{
			Name: "draft", Host: host, Prefix: "/draft/", Kind: "streaming", Service: service, TimeoutMS: 8000, TargetMS: 500, GapMS: 120, Attempts: 2, Resumable: true,
		}}
	}
	w.configure(3, routeTo("model-a"), plainService("model-a"), plainService("model-b"))
	var old []*worker
	for _, x := range []struct{ id, service string }{{"i-a0", "model-a"}, {"i-a1", "model-a"}, {"i-b0", "model-b"}, {"i-b1", "model-b"}} {
		worker, err := w.newWorker(x.id, x.service, run)
		if err != nil {
			return false, err
		}
		worker.beats()
		if x.service == "model-a" {
			old = append(old, worker)
		}
	}
	if err := w.startGateways(2); err != nil {
		return false, err
	}
	time.Sleep(warmUp)
	headers := map[string]string{headerModel: "m", headerTokens: "600,240", headerParts: "5c1e07a2:40,91bd3f06:560"}
	var calls sync.WaitGroup
	for n := range streams {
		calls.Go(func() {
			c := call{id: fmt.Sprintf("draft-%d", n), method: http.MethodPost, path: "/draft/1", body: "a draft", limit: 8 * time.Second, headers: headers}
			w.note("client: %s: %s", c.id, send(w.gateways[n%2].callers, c))
		})
	}
	time.Sleep(300 * time.Millisecond)
	services := []any{plainService("model-b")}
	if !w.trouble {
		services = append(services, plainService("model-a"))
	}
	w.configure(5, routeTo("model-b"), services...)
	time.Sleep(500 * time.Millisecond)
	for _, x := range old {
		x.mu.Lock()
		x.state = "draining"
		x.mu.Unlock()
		x.beat()
	}
	confirmed := time.Now()
	w.note("both workers of model-a have reported that they are draining, and the store has confirmed it")
	time.Sleep(drainBound + 600*time.Millisecond)
	close(old[0].stop)
	old[0].end()
	w.remove(old[0].id)
	w.note("%s has ended; %s goes on for some seconds more", old[0].id, old[1].id)
	calls.Wait()
	close(old[1].stop)
	old[1].end()
	w.remove(old[1].id)
	old[1].mu.Lock()
	defer old[1].mu.Unlock()
	late := 0
	for id, at := range old[1].arrived {
		if after := at.Sub(confirmed); after > drainBound+ackMargin {
			late++
			w.note("%s reached %s %d ms after the store confirmed that it is draining", id, old[1].id, after.Milliseconds())
		}
	}
	if late == 0 {
		w.note("held: no request reached the draining worker later than %s after the confirmation", drainBound)
		return false, nil
	}
	w.note("broken: DRAIN: %d requests reached the draining worker too late", late)
	return true, nil
}
