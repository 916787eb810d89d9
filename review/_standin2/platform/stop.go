package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootbay/coltsfootbay/platform/platformtest"
)

// Figures of stopLongAnswer.
const (
	// eventInterval is the time between two events, well below the pause of 120 ms that the
	// route allows.
	eventInterval = 75 * time.Millisecond
	// usualAnswer and longAnswer are numbers of events: the mean and the longest of the site
	// files. All requests state the same limit of output tokens, 4 tokens an event.
	usualAnswer = 24
	longAnswer  = 60
	statedLimit = 240
	// sentAfter is when the long request is sent, after SIGTERM: later than 3 s, and while
	// clients that hold the addresses for three times their lifetime of 1.5 s still come.
	sentAfter = 3250 * time.Millisecond
)

// stopLongAnswer stops a gateway as planned while a client sends a request whose answer is
// longer than those before it.
func stopLongAnswer(w *world) (broken bool, err error) {
	run := func(rw http.ResponseWriter, r *http.Request) {
		n := usualAnswer
		if strings.HasSuffix(r.URL.Path, "/long") {
			n = longAnswer
		}
		events(rw, r, n, eventInterval)
	}
	w.configure(3, []route{{
		Name: "draft", Host: host, Prefix: "/draft/", Kind: "streaming", Service: "model", TimeoutMS: 8000, TargetMS: 500, GapMS: 120, Attempts: 2, Resumable: true,
	}}, plainService("model"))
	for n := range 3 {
		x, err := w.newWorker(fmt.Sprintf("i-%d", n), "model", run)
		if err != nil {
			return false, err
		}
		x.beats()
	}
	if err := w.startGateways(2); err != nil {
		return false, err
	}
	time.Sleep(warmUp)
	g := w.gateways[0]
	headers := map[string]string{headerModel: "m", headerTokens: fmt.Sprintf("600,%d", statedLimit), headerParts: "5c1e07a2:40,91bd3f06:560"}
	request := func(id, path string) answer {
		a := send(g.callers, call{id: id, method: http.MethodPost, path: path, body: id, limit: 8 * time.Second, headers: headers})
		w.note("client: %s: %s", id, a)
		return a
	}
	var calls sync.WaitGroup
	for n := range 30 {
		calls.Go(func() { request(fmt.Sprintf("usual-%d", n), "/draft/usual") })
		time.Sleep(100 * time.Millisecond)
	}
	calls.Wait()
	// The client that sends the long request is one of those that keep the addresses for three
	// times their lifetime.
	addresses, lifetime, err := platformtest.Resolve(context.Background(), http.DefaultClient, w.gateways[1].directory, host, "zone-a")
	if err != nil || !slices.Contains(addresses, g.callers) {
		return false, fmt.Errorf("the directory does not name %s: %v, %w", g.name, addresses, err)
	}
	resolved := time.Now()
	w.note("client: resolve: %v, ttl_s %g", addresses, lifetime.Seconds())
	stopped := time.Now()
	if w.trouble {
		w.note("SIGTERM to %s", g.name)
		g.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(stopped.Add(sentAfter)))
	w.note("client: long-1 is sent %d ms after the SIGTERM", time.Since(stopped).Milliseconds())
	if age := time.Since(resolved); age > 3*lifetime {
		return false, fmt.Errorf("the addresses are %s old", age)
	}
	a := request("long-1", "/draft/long")
	switch {
	case a.complete && a.status == http.StatusOK && a.events == longAnswer:
		w.note("held: the whole answer arrived")
		return false, nil
	case a.status == http.StatusServiceUnavailable && a.complete:
		w.note("held: the request was refused before it was passed on")
		return false, nil
	case a.status == 0:
		return false, fmt.Errorf("the request was not read: %w", a.err)
	}
	w.note("broken: LOST: %s read a whole request, passed it on and ended the channel without a complete answer, %d ms after the SIGTERM, while the worker was at work",
		g.name, time.Since(stopped).Milliseconds())
	return true, nil
}
