package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// contactTime, configBound and drainBound are the bounds contact_ms, config_ms and
	// drain_ms of the small deployments.
	contactTime = 3 * time.Second
	configBound = 2 * time.Second
	drainBound  = 2 * time.Second
	// checkMargin covers the time between two readings of the clock.
	checkMargin = 10 * time.Millisecond
	silences    = 6
)

// playSilence makes the open connections between the gateways and the store silent for good,
// shortly after a change of the configuration; new connections work. Another change then
// moves a route to another service. It does so several times.
func playSilence(p *play, f *fleet, trouble bool) error {
	if _, err := f.addWorkers("app-a", 3, 0, 5*time.Millisecond); err != nil {
		return err
	}
	if _, err := f.addWorkers("app-b", 3, 0, 5*time.Millisecond); err != nil {
		return err
	}
	version, service := 0, "app-a"
	publish := func() time.Time {
		version++
		return f.store.put("op/config", configuration(version, map[string][]string{"account": {"key"}}, []string{"app-a", "app-b"},
			route{name: "lookup", service: service, kind: "safe", timeoutMS: 1500},
			route{name: fmt.Sprintf("idle-%d", version), service: "app-a", kind: "safe", timeoutMS: 1500}))
	}
	publish()
	if err := f.addGateways(3); err != nil {
		return err
	}
	var all results
	var senders sync.WaitGroup
	done := make(chan struct{})
	for n, g := range f.gateways {
		senders.Go(func() {
			c := newClient()
			tick := time.NewTicker(20 * time.Millisecond)
			defer tick.Stop()
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-tick.C:
				}
				all.add(send(c, g.callers, request{id: fmt.Sprintf("q-%d-%d", n, i), route: "lookup", key: "key", method: http.MethodGet, timeoutMS: 1500}))
			}
		})
	}
	time.Sleep(2 * time.Second)
	type change struct {
		silent, confirmed time.Time
		from, to          string
		until             time.Time
	}
	var changes []change
	for range silences {
		p.log("version %d changes idle routes, confirmed at %s", version+1, p.at(publish()))
		// A gateway waits 0.5 s after a change before it watches again.
		time.Sleep(600 * time.Millisecond)
		x := change{silent: time.Now(), from: service, to: map[string]string{"app-a": "app-b", "app-b": "app-a"}[service]}
		if trouble {
			for _, g := range f.gateways {
				g.storeProxy.silence()
			}
			p.log("the open connections to the store become silent")
		}
		time.Sleep(300 * time.Millisecond)
		service = x.to
		x.confirmed = publish()
		p.log("version %d moves the route from %s to %s, confirmed at %s", version, x.from, x.to, p.at(x.confirmed))
		time.Sleep(time.Until(x.silent.Add(6 * time.Second)))
		x.until = time.Now()
		changes = append(changes, x)
	}
	close(done)
	senders.Wait()
	runs := map[string]run{}
	for _, u := range allRuns(f.workers) {
		runs[u.id] = u
	}
	p.results(all.all())
	p.runs(allRuns(f.workers))
	for _, r := range all.all() {
		u, ran := runs[r.id]
		if !ran {
			continue
		}
		for _, x := range changes {
			// All machines are in touch again from contactTime after the silence on.
			bound := x.confirmed.Add(configBound)
			if inTouch := x.silent.Add(contactTime); trouble && inTouch.After(bound) {
				bound = inTouch
			}
			if r.sent.After(bound.Add(checkMargin)) && r.sent.Before(x.until) && u.service == x.from {
				p.violations = append(p.violations, fmt.Sprintf("CONFIG: %s was sent %.3f s after the confirmation that moved its route to %s, and %.3f s after the silence, and %s of %s ran it",
					r.id, r.sent.Sub(x.confirmed).Seconds(), x.to, r.sent.Sub(x.silent).Seconds(), u.worker, u.service))
			}
		}
	}
	return nil
}
