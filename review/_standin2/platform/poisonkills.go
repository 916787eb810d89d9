package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Figures of poisonOverKills.
const (
	// betweenSends is the time between two sends of the request; workers that it crashed are back
	// by then.
	betweenSends = 5 * time.Second
	// sendsPerLife is how often the request is sent between two kills of all gateways.
	sendsPerLife = 3
	// downFor is the time from a kill to the restart, as herd_kill has it.
	downFor = 2 * time.Second
	// lives is the number of times that the gateways run.
	lives = 3
)

// poisonOverKills has a caller send a stream request that crashes each worker after its first
// event, and kills all gateways at the same moment, twice.
func poisonOverKills(w *world) (broken bool, err error) {
	const poison = "/draft/poison"
	w.configure(3, []route{{
		Name: "draft", Host: host, Prefix: "/draft/", Kind: "streaming", Service: "model", TimeoutMS: 8000, TargetMS: 500, GapMS: 120, Attempts: 2, Resumable: true,
	}}, plainService("model"))
	var arrivals, crashes []time.Time
	var workers []*worker
	for n := range 4 {
		var x *worker
		run := func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path != poison {
				events(rw, r, usualAnswer, eventInterval)
				return
			}
			w.mu.Lock()
			arrivals = append(arrivals, time.Now())
			w.mu.Unlock()
			events(rw, r, lastEventOf(r)+1, eventInterval)
			if time.Sleep(eventInterval); x.crash(backAfter) {
				w.mu.Lock()
				crashes = append(crashes, time.Now())
				w.mu.Unlock()
				w.note("%s crashes", x.id)
			}
			panic(http.ErrAbortHandler)
		}
		x, err = w.newWorker(fmt.Sprintf("i-%d", n), "model", run)
		if err != nil {
			return false, err
		}
		x.beats()
		workers = append(workers, x)
	}
	if err := w.startGateways(2); err != nil {
		return false, err
	}
	time.Sleep(warmUp)
	headers := map[string]string{headerModel: "m", headerTokens: "600,240", headerParts: "5c1e07a2:40,91bd3f06:560"}
	sends := 0
	for life := range lives {
		if life > 0 {
			if err := w.killAll(downFor); err != nil {
				return false, err
			}
		}
		for range sendsPerLife {
			c := call{
				id: fmt.Sprintf("poison-%d", sends), method: http.MethodPost, path: poison, body: "the same draft", limit: 8 * time.Second, silence: silence,
				headers: headers,
			}
			w.note("client: %s: %s", c.id, send(w.gateways[sends%2].callers, c))
			sends++
			time.Sleep(betweenSends)
		}
	}
	for _, x := range workers {
		close(x.stop)
	}
	return w.judgePoison(arrivals, crashes), nil
}

// lastEventOf returns the number of the event after which a stream is to go on.
func lastEventOf(r *http.Request) (n int) {
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &n)
	return n
}

// killAll kills all gateways at the same moment if there is trouble, starts them again and waits
// until they have been in touch for contact. Without trouble it only waits.
func (w *world) killAll(down time.Duration) error {
	if w.trouble {
		for _, p := range w.gateways {
			p.signal(syscall.SIGKILL)
		}
		w.note("all gateways are killed")
		time.Sleep(down)
		for _, p := range w.gateways {
			p.kill()
			if err := w.start(p); err != nil {
				return err
			}
		}
	}
	if err := w.waitReady(); err != nil {
		return err
	}
	time.Sleep(contact + time.Second)
	return nil
}

// judgePoison reports whether a request that crashed workers reached them too often after that.
func (w *world) judgePoison(arrivals, crashes []time.Time) (broken bool) {
	w.mu.Lock()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range arrivals {
			if at.Sub(crashes[2]) > contact {
				late++
			}
		}
	}
	crashed := len(crashes)
	w.mu.Unlock()
	w.note("%d workers crashed; the request reached workers %d times later than %s after the third crash", crashed, late, contact)
	if late > allowedRetries {
		w.note("broken: BUDGET: more than %d retries", allowedRetries)
		return true
	}
	w.note("held")
	return false
}
