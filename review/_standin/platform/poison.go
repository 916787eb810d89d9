package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// crashDown is how long a worker is away after a crash, and entryLife three heartbeat
	// intervals, after which the entry of a silent worker is removed.
	crashDown = 2 * time.Second
	entryLife = 3600 * time.Millisecond
	// poisonPause is the time between two sends of the request that crashes workers.
	poisonPause = 2500 * time.Millisecond
	poisonSends = 16
	// maxLateRetries is the number of retries that may reach workers later than contactTime
	// after the third crash.
	maxLateRetries = 3
	crashesKnown   = 3
)

// playPoison sends one request again and again, at any of three gateways. It crashes each
// worker that begins to run it, right after the first event.
func playPoison(p *play, f *fleet, trouble bool) error {
	workers, err := f.addWorkers("writer", 6, 50*time.Millisecond, 0)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var crashes []time.Time
	var incarnations []*worker
	var onCrash func(*worker)
	onCrash = func(x *worker) {
		mu.Lock()
		crashes = append(crashes, time.Now())
		p.log("%s crashes", x.id)
		mu.Unlock()
		x.crash()
		time.AfterFunc(entryLife, func() { f.store.remove("servers/" + x.id) })
		time.AfterFunc(crashDown, func() {
			next := &worker{id: fmt.Sprintf("%s-%d", x.id[:8], rand.IntN(1e9)), service: x.service, address: x.address, zone: x.zone, slots: x.slots, pace: x.pace, crashPath: x.crashPath, onCrash: onCrash}
			if err := next.start(); err != nil {
				panic(err)
			}
			f.store.put("servers/"+next.id, next.document("ready"))
			mu.Lock()
			incarnations = append(incarnations, next)
			mu.Unlock()
		})
	}
	for _, x := range workers {
		if trouble {
			x.crashPath, x.onCrash = "/draft/poison", onCrash
		}
	}
	incarnations = append(incarnations, workers...)
	f.store.put("op/config", configuration(1, map[string][]string{"account": {"key"}, "other": {"other"}}, []string{"writer"},
		route{name: "draft", service: "writer", kind: "streaming", timeoutMS: 8000}))
	if err := f.addGateways(3); err != nil {
		return err
	}
	var all, poison results
	var senders sync.WaitGroup
	done := make(chan struct{})
	for n, g := range f.gateways {
		senders.Go(func() {
			c := newClient()
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				q := request{id: fmt.Sprintf("usual-%d-%d", n, i), route: "draft", path: fmt.Sprintf("u%d-%d", n, i), key: "other", timeoutMS: 8000, events: 8 + rand.IntN(16)}
				all.add(send(c, g.callers, q))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	for i := range poisonSends {
		g := f.gateways[i%len(f.gateways)]
		poison.add(send(newClient(), g.callers, request{id: fmt.Sprintf("poison-%d", i), route: "draft", path: "poison", key: "key", timeoutMS: 8000, events: 24}))
		time.Sleep(poisonPause)
	}
	close(done)
	senders.Wait()
	mu.Lock()
	defer mu.Unlock()
	runs := allRuns(incarnations)
	p.results(append(poison.all(), all.all()...))
	p.runs(runs)
	if len(crashes) < crashesKnown {
		return nil
	}
	late := crashes[crashesKnown-1].Add(contactTime)
	reached := map[string]int{}
	for _, u := range runs {
		reached[u.id]++
	}
	var retries []string
	for _, r := range poison.all() {
		if r.sent.After(late) && reached[r.id] > 0 {
			retries = append(retries, r.id)
		}
	}
	p.log("%d crashes in all; %d retries that were sent later than %s after the third one reached workers", len(crashes), len(retries), contactTime)
	if len(retries) > maxLateRetries {
		p.violations = append(p.violations, fmt.Sprintf("BUDGET: %d retries, sent later than %s after the third crash, reached workers: %v; %d workers crashed", len(retries), contactTime, retries, len(crashes)))
	}
	return nil
}
