package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// eventPace is the time between two events of a stream. usualEvents is the most events
	// of a usual stream, longEvents the number of a long one; the sites' mean is 24 and
	// their largest 60.
	eventPace   = 75 * time.Millisecond
	usualEvents = 24
	longEvents  = 60
	grace       = 8 * time.Second
	// openAfterStop is the time after SIGTERM up to which a request that still runs in the
	// last sixth of the grace is not counted.
	openAfterStop = 3 * time.Second
)

// playStop stops one of three gateways by SIGTERM. Clients that hold its address send long
// streams to it more than 3 s later.
func playStop(p *play, f *fleet, trouble bool) error {
	if _, err := f.addWorkers("writer", 4, eventPace, 0); err != nil {
		return err
	}
	f.store.put("op/config", configuration(1, map[string][]string{"account": {"key"}}, []string{"writer"},
		route{name: "draft", service: "writer", kind: "streaming", timeoutMS: 8000}))
	if err := f.addGateways(3); err != nil {
		return err
	}
	var all results
	var senders sync.WaitGroup
	stopped := f.gateways[0]
	// Usual streams, at all gateways before the stop and at the others after it.
	stopAt := time.Now().Add(6 * time.Second)
	endAt := stopAt.Add(grace)
	for n, g := range f.gateways {
		for k := range 2 {
			senders.Go(func() {
				c := newClient()
				for i := 0; time.Now().Before(endAt) && (g != stopped || time.Now().Before(stopAt.Add(-100*time.Millisecond))); i++ {
					q := request{id: fmt.Sprintf("usual-%d-%d-%d", n, k, i), route: "draft", key: "key", timeoutMS: 8000, events: usualEvents/2 + rand.IntN(usualEvents/2+1)}
					all.add(send(c, g.callers, q))
				}
			})
		}
	}
	time.Sleep(time.Until(stopAt.Add(-50 * time.Millisecond)))
	addresses, lifetime, err := resolve(f.gateways[1])
	if err != nil {
		return err
	}
	asked := time.Now()
	p.log("a client asks where to connect: %v for %s; it keeps the answer up to three times as long", addresses, lifetime)
	time.Sleep(time.Until(stopAt))
	stopAt = time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
		p.log("SIGTERM to %s at %s", stopped.name, stopped.callers)
	}
	for i, after := range []time.Duration{3100, 3200, 3300, 3400, 3500} {
		senders.Go(func() {
			time.Sleep(time.Until(stopAt.Add(after * time.Millisecond)))
			if time.Since(asked) > 3*lifetime {
				return
			}
			q := request{id: fmt.Sprintf("long-%d", i), route: "draft", key: "key", timeoutMS: 8000, events: longEvents}
			all.add(send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, stopped.callers, q))
		})
	}
	if trouble {
		time.Sleep(time.Until(stopAt.Add(grace)))
		select {
		case <-stopped.exited:
			p.log("%s had ended by itself when the grace was over", stopped.name)
		default:
			stopped.signal(syscall.SIGKILL)
			p.log("SIGKILL to %s", stopped.name)
		}
	}
	senders.Wait()
	runs := map[string]run{}
	for _, u := range allRuns(f.workers) {
		runs[u.id] = u
	}
	p.results(all.all())
	p.runs(allRuns(f.workers))
	for _, r := range all.all() {
		u, ran := runs[r.id]
		switch {
		case r.complete || r.status != http.StatusOK || !ran:
			// It has a complete answer, or was not passed on.
		case r.ended.Sub(r.sent) >= 8*time.Second:
			// Its time limit was reached.
		case r.sent.Sub(stopAt) <= openAfterStop && !u.ended.Before(stopAt.Add(grace*5/6)):
			// It was open when the stop began and used the grace.
		default:
			p.violations = append(p.violations, fmt.Sprintf("LOST: %s was sent %.2f s after SIGTERM, %s ran it, and its channel ended %.2f s after SIGTERM with %d of %d events",
				r.id, r.sent.Sub(stopAt).Seconds(), u.worker, r.ended.Sub(stopAt).Seconds(), r.events, r.request.events))
		}
	}
	return nil
}
