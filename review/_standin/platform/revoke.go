package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// revokeBound is the bound revoke_ms.
	revokeBound = 5 * time.Second
	// awayFor is how long the store turns a third of the machines away; the sites do so for
	// up to 9 s, for a share of 0.35.
	awayFor     = 5500 * time.Millisecond
	gatewaysAll = 9
	awayAtOnce  = 3
	rounds      = 16
	// clientsEach is the number of clients of a gateway that send one request after another.
	clientsEach = 16
	// idleRoutes is the number of routes without requests, as in the site file.
	idleRoutes = 110
)

// presser sends requests with one key to one gateway while it is on.
type presser struct {
	on  atomic.Bool
	key atomic.Pointer[string]
}

// playRevoke lets the store turn away three of nine gateways again and again. At the
// beginning a key is taken away. Clients of these gateways go on to use it.
func playRevoke(p *play, f *fleet, trouble bool) error {
	if _, err := f.addWorkers("model", 16, 0, time.Millisecond); err != nil {
		return err
	}
	if _, err := f.addWorkers("app", 3, 0, time.Millisecond); err != nil {
		return err
	}
	version := 0
	publish := func(key string) time.Time {
		version++
		routes := []route{{name: "lookup", service: "app", kind: "safe", timeoutMS: 1500}}
		for n := range idleRoutes {
			routes = append(routes, route{name: fmt.Sprintf("idle-%d", n), service: "app", kind: "safe", timeoutMS: 1500})
		}
		return f.store.put("op/config", configuration(version, map[string][]string{"account": {"kept", key}}, []string{"app", "model"}, routes...))
	}
	publish("key-0")
	if err := f.addGateways(gatewaysAll); err != nil {
		return err
	}
	var served results
	var answered [600]atomic.Int64
	done := make(chan struct{})
	var senders sync.WaitGroup
	pressers := make([]presser, gatewaysAll)
	for n, g := range f.gateways {
		for k := range clientsEach {
			senders.Go(func() {
				c := newClient()
				for i := 0; ; i++ {
					select {
					case <-done:
						return
					default:
					}
					if !pressers[n].on.Load() {
						time.Sleep(5 * time.Millisecond)
						continue
					}
					r := send(c, g.callers, request{id: fmt.Sprintf("q-%d-%d-%d", n, k, i), route: "lookup", key: *pressers[n].key.Load(), method: http.MethodGet, timeoutMS: 1500})
					answered[r.status].Add(1)
					if r.status == http.StatusOK {
						served.add(r)
					}
				}
			})
		}
	}
	revoked := map[string]time.Time{}
	for round := range rounds {
		first := round * awayAtOnce % gatewaysAll
		key := fmt.Sprintf("key-%d", round)
		began := time.Now()
		for n := first; n < first+awayAtOnce; n++ {
			pressers[n].key.Store(&key)
			if trouble {
				f.gateways[n].gate.setBusy(true)
			}
		}
		time.Sleep(5 * time.Millisecond)
		revoked[key] = publish(fmt.Sprintf("key-%d", round+1))
		p.log("the store turns gateways %d to %d away; version %d takes %s away, confirmed at %s", first+1, first+awayAtOnce, version, key, p.at(revoked[key]))
		time.Sleep(time.Until(revoked[key].Add(revokeBound + 50*time.Millisecond)))
		for n := first; n < first+awayAtOnce; n++ {
			pressers[n].on.Store(true)
		}
		time.Sleep(time.Until(began.Add(awayFor)))
		if trouble {
			for n := first; n < first+awayAtOnce; n++ {
				f.gateways[n].gate.setBusy(false)
			}
		}
		p.log("the store serves them again")
		time.Sleep(700 * time.Millisecond)
		for n := first; n < first+awayAtOnce; n++ {
			pressers[n].on.Store(false)
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(done)
	senders.Wait()
	for status := range answered {
		if n := answered[status].Load(); n > 0 {
			p.log("%d requests were answered with status %d (0: no answer)", n, status)
		}
	}
	p.log("below are those with status 200, and all runs")
	p.results(served.all())
	p.runs(allRuns(f.workers))
	runs := map[string]run{}
	for _, u := range allRuns(f.workers) {
		runs[u.id] = u
	}
	for _, r := range served.all() {
		at, gone := revoked[r.key]
		if u, ran := runs[r.id]; gone && ran && r.sent.After(at.Add(revokeBound)) {
			p.violations = append(p.violations, fmt.Sprintf("CONFIG: %s was sent %.3f s after the confirmation that took %s away, and %s ran it for %s", r.id, r.sent.Sub(at).Seconds(), r.key, u.worker, u.account))
		}
	}
	return nil
}
