package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/platform/platformtest"
)

const (
	callers = 16
	// resolveTimeout is how long a caller waits for addresses.
	resolveTimeout = time.Second
	// thinkTime is the mean pause between two requests of a caller.
	thinkTime = 40 * time.Millisecond
)

// attempt is one attempt of a caller with what came of it.
type attempt struct {
	platformtest.Request
	platformtest.Result
	gateway  string
	from, to time.Time
	keyOf    string
}

// removal is when the removal of a key was sent and acknowledged.
type removal struct{ sent, acknowledged time.Time }

// traffic is the callers' side of a run.
type traffic struct {
	f    *fleet
	stop context.CancelFunc
	wait sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
	// removed has the keys that were taken away.
	removed map[string]removal
}

func startTraffic(f *fleet, seed int64) *traffic {
	ctx, stop := context.WithCancel(context.Background())
	t := &traffic{f: f, stop: stop, removed: map[string]removal{}}
	for n := range callers {
		c := &caller{t: t, random: rand.New(rand.NewPCG(uint64(seed), uint64(n))), name: fmt.Sprintf("%d-%d", seed, n)}
		c.renew()
		t.wait.Go(func() { c.run(ctx) })
	}
	return t
}

// end stops the callers and returns all attempts.
func (t *traffic) end() []attempt {
	t.stop()
	t.wait.Wait()
	return t.all()
}

func (t *traffic) all() []attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]attempt(nil), t.attempts...)
}

// removeKey takes a key away with a change of the configuration.
func (t *traffic) removeKey(key string, change func()) {
	r := removal{sent: time.Now()}
	t.mu.Lock()
	t.removed[key] = r
	t.mu.Unlock()
	change()
	r.acknowledged = time.Now()
	t.mu.Lock()
	t.removed[key] = r
	t.mu.Unlock()
}

// removal returns when the key of an attempt was taken away.
func (t *traffic) removal(a attempt) (removal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.removed[a.Key]
	return r, ok && a.to.After(r.sent)
}

// caller asks for addresses, keeps the answer for its lifetime and sends one
// request after the other, over connections that it keeps.
type caller struct {
	t         *traffic
	random    *rand.Rand
	name      string
	n         int
	client    *http.Client
	addresses []string
	until     time.Time
	failed    map[string]bool
}

func (c *caller) renew() {
	c.client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
}

func (c *caller) run(ctx context.Context) {
	defer func() { c.client.CloseIdleConnections() }()
	for ctx.Err() == nil {
		c.pause(ctx, time.Duration(c.random.ExpFloat64()*float64(thinkTime)))
		if time.Now().After(c.until) {
			c.resolve(ctx)
		}
		if address := c.choose(); address != "" {
			c.request(ctx, address)
		}
	}
}

func (c *caller) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// resolve asks up to three gateways. An old answer stays until there is a new one.
func (c *caller) resolve(ctx context.Context) {
	client := http.Client{Timeout: resolveTimeout}
	for _, n := range c.random.Perm(gateways)[:3] {
		list, lifetime, err := platformtest.Resolve(ctx, &client, c.t.f.gateways[n].directory, host, zone(0))
		if err == nil {
			c.addresses, c.until, c.failed = list, time.Now().Add(lifetime), map[string]bool{}
			return
		}
	}
	c.until = time.Now().Add(200 * time.Millisecond)
}

// choose returns an address that has not failed this caller.
func (c *caller) choose() string {
	var fit []string
	for _, a := range c.addresses {
		if !c.failed[a] {
			fit = append(fit, a)
		}
	}
	if len(fit) == 0 {
		c.until = time.Time{}
		return ""
	}
	return fit[c.random.IntN(len(fit))]
}

func (c *caller) request(ctx context.Context, address string) {
	kinds := []string{"streaming", "streaming", "unsafe", "safe"}
	kind := kinds[c.random.IntN(len(kinds))]
	account, key := fmt.Sprintf("account-%d", c.random.IntN(accounts)), c.random.IntN(keysPerUser)
	c.n++
	limit := 1500 * time.Millisecond
	if kind == "streaming" {
		limit = 6 * time.Second
	}
	q := platformtest.Request{
		ID: fmt.Sprintf("r-%s-%d", c.name, c.n), Host: host, Kind: kind, Limit: limit,
		Path: fmt.Sprintf("/%s/%d", kind, c.n), Key: fmt.Sprintf("key-%s-%d", account[len("account-"):], key),
	}
	r := c.send(ctx, address, q, account)
	if r.Outcome == platformtest.Unreachable {
		c.failed[address] = true
	}
	if r.Outcome != platformtest.NotRun || ctx.Err() != nil {
		return
	}
	// A caller that was refused comes back once, with an id of its own.
	c.pause(ctx, min(r.RetryAfter, limit/3))
	q.ID += "-again"
	if next := c.choose(); next != "" {
		c.send(ctx, next, q, account)
	}
}

// send makes an attempt over the proxy before a gateway.
func (c *caller) send(ctx context.Context, address string, q platformtest.Request, account string) platformtest.Result {
	a := attempt{Request: q, gateway: address, from: time.Now(), keyOf: account}
	through := address
	for _, g := range c.t.f.gateways {
		if g.callers == address {
			through = g.front.Address()
		}
	}
	// A caller that stops still waits for its answer.
	a.Result = platformtest.Send(context.WithoutCancel(ctx), c.client, through, q)
	a.to = time.Now()
	if a.Outcome == platformtest.Broken {
		c.client.CloseIdleConnections()
		c.renew()
	}
	c.t.mu.Lock()
	c.t.attempts = append(c.t.attempts, a)
	c.t.mu.Unlock()
	return a.Result
}
