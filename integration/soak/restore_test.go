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

// restoreStore restores the store from older copies, again and again. What is lost is
// written again some time later, or after the next restore.
func (x *faults) restoreStore(seed int64) {
	random := rand.New(rand.NewPCG(uint64(seed), 33))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	for end := x.began.Add(*faultTime); time.Now().Before(end); {
		time.Sleep(upTo(4 * time.Second))
		age, down, rewrite := upTo(8*time.Second), upTo(1500*time.Millisecond), upTo(maxRewriteDelay)
		away := []platformtest.Outage{{Status: 503}, {Silent: true}, {}}[random.IntN(3)]
		var rewritten sync.WaitGroup
		x.injectFor("store", fmt.Sprintf("restored from a copy of %s, %+v", age.Round(time.Millisecond), away), down, func() {
			x.fleet.store.SetOutage(away)
			x.fleet.store.Restore(age)
		}, func() {
			x.fleet.store.SetOutage(platformtest.Outage{})
			rewritten.Go(func() {
				time.Sleep(rewrite)
				x.note("store: %d lost keys are written again", x.fleet.store.RewriteLost())
			})
		})
		if random.IntN(2) == 0 {
			rewritten.Wait()
		}
	}
}

const (
	// routeInterval is the time between two requests of a routeObserver to a gateway.
	routeInterval = 120 * time.Millisecond
	// routeTimeout is the time limit of such a request.
	routeTimeout = 600 * time.Millisecond
)

// addedRoutes holds the names of the routes that were added and acknowledged.
type addedRoutes struct {
	mu   sync.Mutex
	list []string
}

func (a *addedRoutes) add(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, name)
}

func (a *addedRoutes) names() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.list)
}

// routeObserver asks each gateway for routes that were added. A process that has served a
// route once must not say later that there is no such route.
type routeObserver struct {
	fleet *fleet
	stop  context.CancelFunc
	wait  sync.WaitGroup

	mu     sync.Mutex
	faults []string
	served int
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
		routes := o.fleet.added.names()
		if len(routes) == 0 {
			continue
		}
		route := routes[random.IntN(len(routes))]
		r := platformtest.Send(ctx, client, g.callers, platformtest.Request{
			ID: fmt.Sprintf("%sroute-%d-%d", probePrefix, n, i), Host: host, Kind: "safe", Limit: routeTimeout, Path: "/" + route + "/1",
			Key: fmt.Sprintf("key-%d-%d", accounts-1, keysPerAccount-1),
		})
		if g.PID() != process {
			continue
		}
		o.mu.Lock()
		switch {
		case r.Outcome == platformtest.Complete:
			served[route] = true
			o.served++
		case r.Outcome == platformtest.Denied && served[route]:
			o.faults = append(o.faults, fmt.Sprintf("%s answers %d for the route %s, which it served before", g.Name, r.Status, route))
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
