package main

import (
	"fmt"
	"net/http"
	"time"
)

// Figures of slowPoison.
const (
	// crashAfter is the time from the begin of a run to the crash of its worker. It is longer
	// than clients of the route wait for an event, and much shorter than the time limit.
	crashAfter = 2500 * time.Millisecond
	// silence is how long clients wait for an event: two seconds, four times the objective or
	// eight times the pause, whichever is longest.
	silence = 2 * time.Second
	// comesAgain is the time after which the caller sends the request again.
	comesAgain = 4500 * time.Millisecond
	// backAfter is how long a worker that crashed is down.
	backAfter = 2 * time.Second
	// contact is the users' bound contact_ms, and allowedRetries the retries that may reach
	// workers later than that after the third crash.
	contact        = 3 * time.Second
	allowedRetries = 3
)

// slowPoison has a caller send a stream request that crashes each worker which begins to run
// it, before its first event. The caller sends it again when it has waited for an event in
// vain.
func slowPoison(w *world) (broken bool, err error) {
	const poison = "/draft/poison"
	w.configure(3, []route{{
		Name: "draft", Host: host, Prefix: "/draft/", Kind: "streaming", Service: "model", TimeoutMS: 8000, TargetMS: 500, GapMS: 120, Attempts: 2, Resumable: true,
	}}, plainService("model"))
	var arrivals, crashes []time.Time
	var workers []*worker
	for n := range 4 {
		var x *worker
		run := func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == poison {
				w.mu.Lock()
				arrivals = append(arrivals, time.Now())
				w.mu.Unlock()
				if w.trouble {
					if time.Sleep(crashAfter); !x.crash(backAfter) {
						panic(http.ErrAbortHandler)
					}
					w.mu.Lock()
					crashes = append(crashes, time.Now())
					w.mu.Unlock()
					w.note("%s crashes", x.id)
					panic(http.ErrAbortHandler)
				}
			}
			events(rw, r, usualAnswer, eventInterval)
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
	for n := range 12 {
		c := call{
			id: fmt.Sprintf("poison-%d", n), method: http.MethodPost, path: poison, body: "the same draft", limit: 8 * time.Second, silence: silence,
			headers: headers,
		}
		w.note("client: %s: %s", c.id, send(w.gateways[n%2].callers, c))
		time.Sleep(comesAgain)
	}
	for _, x := range workers {
		close(x.stop)
	}
	return w.judgePoison(arrivals, crashes), nil
}
