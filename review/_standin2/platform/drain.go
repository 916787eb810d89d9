package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// lateness is how late the store carries out one write of a heartbeat, 1 to 6 s as the
	// bench's list of kinds says.
	lateness = 5900 * time.Millisecond
	// stableAfter is the time without a disturbance after which the store is stable, contact_ms,
	// and a little more.
	stableAfter = 3200 * time.Millisecond
	// ackMargin is the time in which the gateways learn of a confirmed report.
	ackMargin = 500 * time.Millisecond
)

// lateBeat lets the store carry out one heartbeat of a worker late, after the worker has
// reported that it is draining.
func lateBeat(w *world) (broken bool, err error) {
	run := func(rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(30 * time.Millisecond)
		_, _ = rw.Write([]byte("done\n"))
	}
	w.configure(3, []route{{Name: "file", Host: host, Prefix: "/file/", Kind: "unsafe", Service: "records", TimeoutMS: 800, TargetMS: 300, Attempts: 1}}, plainService("records"))
	var workers []*worker
	for n := range 3 {
		x, err := w.newWorker(fmt.Sprintf("i-%d", n), "records", run)
		if err != nil {
			return false, err
		}
		x.slots = 6
		x.beats()
		workers = append(workers, x)
	}
	if err := w.startGateways(2); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	leaving := workers[0]
	// Clients send 25 requests a second, half of them to each gateway.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		tick := time.NewTicker(40 * time.Millisecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			clients.Go(func() {
				c := call{id: fmt.Sprintf("file-%d", n), method: http.MethodPost, path: "/file/1", body: "a filing", limit: 1500 * time.Millisecond}
				a := send(w.gateways[n%2].callers, c)
				w.note("client: %s: %s", c.id, a)
			})
		}
	})
	time.Sleep(time.Second)
	if w.trouble {
		leaving.mu.Lock()
		leaving.late = lateness
		leaving.mu.Unlock()
	}
	leaving.beat()
	time.Sleep(stableAfter)
	close(leaving.stop)
	leaving.mu.Lock()
	leaving.state, leaving.stop = "draining", make(chan struct{})
	leaving.mu.Unlock()
	confirmed := time.Now()
	leaving.beats()
	w.note("%s has reported that it is draining, and the store has confirmed it", leaving.id)
	// It goes on serving for a few seconds more, and its heartbeats go on.
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()
	close(leaving.stop)
	w.remove(leaving.id)
	late := 0
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	for id, at := range leaving.arrived {
		if after := at.Sub(confirmed); after > drainBound+ackMargin {
			late++
			w.note("%s reached %s %d ms after the store confirmed that it is draining", id, leaving.id, after.Milliseconds())
		}
	}
	if late == 0 {
		w.note("held: no request reached the worker later than %s after the confirmation", drainBound)
		return false, nil
	}
	w.note("broken: DRAIN: %d requests reached the worker too late", late)
	return true, nil
}
