package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/platform/platformtest"
)

// maxRewriteDelay is how long it takes at most until what a restore lost is written again.
const maxRewriteDelay = 1500 * time.Millisecond

// maxChangesBeside is the number of configuration changes right before and after a restore:
// the revisions of the new history reach those of the former one at once.
const maxChangesBeside = 3

// quietTime is the time after some restores in which no further one follows: a route that is
// missed would else be found with the next change.
const quietTime = knownBound + 2500*time.Millisecond

// restoreStore restores the store from older copies, again and again, beside changes of the
// configuration and frozen gateways. What is lost is written again some time later, or after
// the next restore.
func (x *faults) restoreStore(seed int64) {
	random := rand.New(rand.NewPCG(uint64(seed), 33))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	change := func() {
		for range 1 + random.IntN(maxChangesBeside) {
			x.addRoute()
		}
	}
	for end := x.began.Add(*faultTime); time.Now().Before(end); {
		time.Sleep(upTo(4 * time.Second))
		age, down, rewrite := upTo(8*time.Second), upTo(1500*time.Millisecond), upTo(maxRewriteDelay)
		away := []platformtest.Outage{{Status: 503}, {Silent: true}, {}}[random.IntN(3)]
		change()
		for _, n := range random.Perm(gateways)[:random.IntN(gateways)] {
			g := x.fleet.gateways[n]
			x.injectFor(g.Name, "frozen over a restore", down+upTo(2*time.Second), func() { _ = g.Freeze() }, func() { _ = g.Unfreeze() })
		}
		var rewritten sync.WaitGroup
		x.injectFor("store", fmt.Sprintf("restored from a copy of %s, %+v", age.Round(time.Millisecond), away), down, func() {
			x.fleet.added.setLost(true)
			x.fleet.store.SetOutage(away)
			x.fleet.store.Restore(age)
		}, func() {
			x.fleet.store.SetOutage(platformtest.Outage{})
			rewritten.Go(func() {
				time.Sleep(rewrite)
				x.note("store: %d lost keys are written again", x.fleet.store.RewriteLost())
				x.fleet.added.setLost(false)
			})
		})
		if random.IntN(2) == 0 {
			change()
			continue
		}
		time.Sleep(down + rewrite)
		rewritten.Wait()
		change()
		time.Sleep(quietTime)
	}
}

const (
	// routeInterval is the time between two requests of a routeObserver to a gateway.
	routeInterval = 120 * time.Millisecond
	// routeTimeout is the time limit of such a request.
	routeTimeout = 600 * time.Millisecond
	// knownBound is the age of a copy from which on a gateway answers 503 for what it does
	// not know, 2.6 s, and the time for the request. Nobody may say that a route does not
	// exist which was in the store longer ago.
	knownBound = 2600*time.Millisecond + routeTimeout
)

// addedRoutes holds the routes that were added and acknowledged.
type addedRoutes struct {
	mu   sync.Mutex
	list []addedRoute
	// lost is true while the store may lack a route, and complete is when that last ended.
	lost     bool
	complete time.Time
}

type addedRoute struct {
	name  string
	since time.Time
}

func (a *addedRoutes) add(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, addedRoute{name, time.Now()})
}

func (a *addedRoutes) setLost(lost bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lost, a.complete = lost, time.Now()
}

// draw returns one of the last routes.
func (a *addedRoutes) draw(random *rand.Rand) (r addedRoute, ok bool) {
	const last = 4
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.list) == 0 {
		return addedRoute{}, false
	}
	return a.list[len(a.list)-1-random.IntN(min(last, len(a.list)))], true
}

// mustBeKnown reports whether no process may say that a route does not exist, in response
// to a request that was sent at a time.
func (a *addedRoutes) mustBeKnown(r addedRoute, sent time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.lost && sent.Sub(r.since) > knownBound && sent.Sub(a.complete) > knownBound
}

// routeObserver asks each gateway for routes that were added. A process that has served a
// route once, or has a recent copy of a store that has had the route for some time, must not
// say that there is no such route.
type routeObserver struct {
	fleet *fleet
	stop  context.CancelFunc
	wait  sync.WaitGroup

	mu     sync.Mutex
	faults []string
	served int
	// attempts holds the requests that it sent, which count for the retry budget.
	attempts []attempt
}

func startRouteObserver(f *fleet) *routeObserver {
	ctx, stop := context.WithCancel(context.Background())
	o := &routeObserver{fleet: f, stop: stop}
	for n, g := range f.gateways {
		o.wait.Go(func() { o.observe(ctx, n, g) })
	}
	return o
}

// observe sends requests to one gateway until ctx is done.
func (o *routeObserver) observe(ctx context.Context, n int, g *gatewayProcess) {
	random := rand.New(rand.NewPCG(uint64(n), 22))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	served := map[string]bool{}
	process := 0
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(routeInterval)
		if pid := g.PID(); pid != process {
			process, served = pid, map[string]bool{}
		}
		route, ok := o.fleet.added.draw(random)
		if !ok {
			continue
		}
		sent := time.Now()
		q := platformtest.Request{
			ID: fmt.Sprintf("%sroute-%d-%d", probePrefix, n, i), Host: host, Kind: "safe", Limit: routeTimeout, Path: "/" + route.name + "/1",
			Key: fmt.Sprintf("key-%d-%d", accounts-1, keysPerAccount-1),
		}
		o.mu.Lock()
		o.attempts = append(o.attempts, attempt{Request: q, gateway: g.callers, from: sent})
		o.mu.Unlock()
		r := platformtest.Send(ctx, client, g.callers, q)
		if g.PID() != process {
			continue
		}
		o.mu.Lock()
		switch {
		case r.Outcome == platformtest.Complete:
			served[route.name] = true
			o.served++
		case r.Outcome == platformtest.Denied && (served[route.name] || o.fleet.added.mustBeKnown(route, sent)):
			o.faults = append(o.faults, fmt.Sprintf("%s answers %d for the route %s, added %s before, served before: %v", g.Name, r.Status, route.name,
				sent.Sub(route.since).Round(time.Millisecond), served[route.name]))
		}
		o.mu.Unlock()
	}
}

// end stops the observer and reports what it found.
func (o *routeObserver) end(t *testing.T) {
	o.stop()
	o.wait.Wait()
	for _, text := range o.faults {
		t.Errorf("CONFIG: %s", text)
	}
	t.Logf("routes that were added: served %d times", o.served)
}

// addRouteNow adds a route and returns its name.
func (f *fleet) addRouteNow() string {
	name := fmt.Sprintf("added-%d", f.config.Version)
	f.changeConfiguration(func(c *platformtest.Configuration) {
		c.Routes = append(slices.Clone(c.Routes), platformtest.Route{Name: name, Host: host, Service: plainName, Kind: "safe", TimeoutMS: 1500})
	})
	return name
}

// Guards against a gateway that misses a change because the restored store has assigned the
// revision of its position again before its next call: it is frozen over the restore, or
// pauses after a change.
func TestChangeAfterRestoreReachesEveryGateway(t *testing.T) {
	if *binaries == "" {
		t.Skip("-bin is not given")
	}
	// changesInPause is how long the changes of the second case take at most; a process
	// pauses for 0.5 s after a change.
	const contactTime, copyTime, changesInPause = 3 * time.Second, 300 * time.Millisecond, 400 * time.Millisecond
	for name, frozen := range map[string]bool{"frozen": true, "in a pause": false} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t)
			time.Sleep(copyTime)
			copied := time.Now()
			time.Sleep(copyTime)
			f.addRouteNow()
			if frozen {
				time.Sleep(time.Second)
				f.addRouteNow()
				time.Sleep(time.Second)
				if err := f.gateways[0].Freeze(); err != nil {
					t.Fatal(err)
				}
			} else {
				time.Sleep(time.Second)
				f.addRouteNow()
				time.Sleep(copyTime / 10) // the change arrives, and the pause begins
			}
			began := time.Now()
			f.store.Restore(time.Since(copied) - copyTime/2)
			if lost := f.store.RewriteLost(); lost != 1 {
				t.Fatalf("%d keys were lost, want the configuration alone", lost)
			}
			newest := f.addRouteNow()
			if took := time.Since(began); took > changesInPause {
				t.Fatalf("the changes took %s", took)
			}
			if frozen {
				time.Sleep(time.Second)
				if err := f.gateways[0].Unfreeze(); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(contactTime)
			for n, g := range f.gateways {
				r := platformtest.Send(context.Background(), &http.Client{}, g.callers, platformtest.Request{
					ID: fmt.Sprintf("%s%d", probePrefix, n), Host: host, Kind: "safe", Limit: time.Second, Path: "/" + newest + "/1", Key: f.config.Keys["account-0"][0],
				})
				if r.Outcome != platformtest.Complete {
					t.Errorf("CONFIG: %s: outcome %d, status %d, %s", g.Name, r.Outcome, r.Status, r.Detail)
				}
			}
		})
	}
}
