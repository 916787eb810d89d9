package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coltsfootbay/coltsfootbay/platform/platformtest"
)

const (
	ranks = 4
	// sets is the number of sets of experts.
	sets = 8
	// lateBy is when the first of the orders without an answer is carried out, and
	// lateStep the time between two of them: 2 to 12 s after they were sent.
	lateBy   = 2500 * time.Millisecond
	lateStep = 3 * time.Second
	// expertCopy is the time to copy an expert: 2,500 MB over 180,000 Mbit/s.
	expertCopy = 111 * time.Millisecond
)

// rankProxy stands before the engine of a rank. It leaves some orders without an answer and
// passes them on late, as the protocol allows.
type rankProxy struct {
	scene   *scene
	rank    int
	address string
	target  *url.URL
	orders  *orders
	next    *httputil.ReverseProxy
}

// orders decides which orders to the ranks of a group get no answer.
type orders struct {
	mu sync.Mutex
	// sent holds when orders arrived, and unanswered when those did that got no answer.
	sent, unanswered []time.Time
	// prepare is called once with the first prepare order, unless it is nil.
	prepare func()
	// trap holds the ranks whose next arm order gets no answer, and trapped receives a rank
	// for each of these orders.
	trap    [ranks]bool
	trapped chan int
}

// expect sets what happens with the next orders. trap leaves the next arm order of each rank
// without an answer.
func (x *orders) expect(trap bool, prepare func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for rank := range x.trap {
		x.trap[rank] = trap
	}
	x.prepare = prepare
}

// arrive records an order and reports whether it gets an answer.
func (x *orders) arrive(rank int, o orderBody) (answered bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	x.sent = append(x.sent, now)
	if o.Operation == "prepare" && x.prepare != nil {
		go x.prepare()
		x.prepare = nil
	}
	if o.Operation != "arm" || !x.trap[rank] {
		return true
	}
	x.trap[rank] = false
	x.unanswered = append(x.unanswered, now)
	x.trapped <- rank
	return false
}

// within returns the numbers of orders and of unanswered ones in the time d until now.
func (x *orders) within(d time.Duration) (all, unanswered int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return countSince(x.sent, d), countSince(x.unanswered, d)
}

func countSince(times []time.Time, d time.Duration) int {
	n := 0
	for _, t := range times {
		if time.Since(t) <= d {
			n++
		}
	}
	return n
}

type orderBody struct {
	Operation string `json:"operation"`
	Epoch     int64  `json:"epoch"`
	Version   int64  `json:"version"`
	Step      int64  `json:"step"`
}

// ServeHTTP passes a call on to the engine.
func (p *rankProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/coltsfootbay/order" {
		p.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var o orderBody
	_ = json.Unmarshal(body, &o)
	if p.orders.arrive(p.rank, o) {
		r.Body = io.NopCloser(bytes.NewReader(body))
		p.next.ServeHTTP(&orderAnswer{w, p, o}, r)
		return
	}
	p.scene.note("rank %d gets %s of version %d for pass %d and does not answer", p.rank, o.Operation, o.Version, o.Step)
	time.AfterFunc(lateBy+time.Duration(p.rank)*lateStep, func() { p.carryOut(body, o) })
	<-r.Context().Done()
}

// carryOut passes a late order on to the engine.
func (p *rankProxy) carryOut(body []byte, o orderBody) {
	resp, err := http.Post(p.target.String()+"/coltsfootbay/order", "application/json", bytes.NewReader(body))
	if err != nil {
		p.scene.note("rank %d: the late %s failed: %v", p.rank, o.Operation, err)
		return
	}
	_ = resp.Body.Close()
	p.scene.note("rank %d carries out the late %s of version %d for pass %d: status %d", p.rank, o.Operation, o.Version, o.Step, resp.StatusCode)
}

// orderAnswer records the answer to an order.
type orderAnswer struct {
	http.ResponseWriter
	proxy *rankProxy
	order orderBody
}

// WriteHeader implements http.ResponseWriter.
func (a *orderAnswer) WriteHeader(status int) {
	o := a.order
	a.proxy.scene.note("rank %d: %s version %d pass %d: status %d", a.proxy.rank, o.Operation, o.Version, o.Step, status)
	a.ResponseWriter.WriteHeader(status)
}

// startGroup starts the engines of a group and their proxies.
func (s *scene) startGroup(log *platformtest.RunLog) (*platformtest.Group, []*rankProxy, *orders, error) {
	p := platformtest.SmallEngineParameters()
	p.Layers, p.Copy, p.Stall, p.Form = sets, expertCopy, 1500*time.Millisecond, 600*time.Millisecond
	var engines []string
	for range ranks {
		a, err := s.ports.next(0)
		if err != nil {
			return nil, nil, nil, err
		}
		engines = append(engines, a)
	}
	g := platformtest.NewGroup("g", "model", p, engines, log)
	x := &orders{trapped: make(chan int, ranks)}
	var proxies []*rankProxy
	for rank, e := range g.Ranks {
		if err := e.Start(); err != nil {
			return nil, nil, nil, err
		}
		address, err := s.ports.next(0)
		if err != nil {
			return nil, nil, nil, err
		}
		target := &url.URL{Scheme: "http", Host: engines[rank]}
		next := httputil.NewSingleHostReverseProxy(target)
		next.FlushInterval = -1
		next.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { panic(http.ErrAbortHandler) }
		px := &rankProxy{scene: s, rank: rank, address: address, target: target, orders: x, next: next}
		if err := s.serve(address, px); err != nil {
			return nil, nil, nil, err
		}
		s.register(e.ID, "model", address, p.Slots)
		proxies = append(proxies, px)
	}
	s.store.PutConfiguration(platformtest.Configuration{
		Version: 2, Plain: "plain", Model: "model", EngineParameters: p, Keys: map[string][]string{"tenant": {testKey}},
		Routes: []platformtest.Route{{Name: "draft", Host: host, Service: "model", Kind: "streaming", TimeoutMS: 8000}},
	})
	return g, proxies, x, nil
}

// streams sends streams to gateways while it is on.
type streams struct {
	gateways             []*process
	on                   atomic.Bool
	sent, open, complete atomic.Int64
}

const streamClients = 24

// String returns the counts of the streams.
func (t *streams) String() string {
	return fmt.Sprintf("streams: %d sent, %d complete, %d open", t.sent.Load(), t.complete.Load(), t.open.Load())
}

// run starts the clients. They end with ctx.
func (t *streams) run(ctx context.Context) {
	for n := range streamClients {
		go func() {
			for ctx.Err() == nil {
				if t.on.Load() {
					t.send(ctx, t.gateways[n%len(t.gateways)])
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
}

// send sends a stream on a new channel.
func (t *streams) send(ctx context.Context, g *process) {
	t.open.Add(1)
	defer t.open.Add(-1)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r := platformtest.Send(ctx, client, g.callers, platformtest.Request{
		ID: fmt.Sprintf("s-%d", t.sent.Add(1)), Host: host, Path: "/draft/1", Key: testKey, Kind: "streaming", Limit: 8 * time.Second,
	})
	if r.Outcome == platformtest.Complete {
		t.complete.Add(1)
	}
}

// controllerOf returns the gateway that planned the last change of the map.
func controllerOf(gateways []*process) *process {
	var found *process
	latest := ""
	for _, g := range gateways {
		for _, line := range g.log("message=map_planned") {
			if line > latest {
				found, latest = g, line
			}
		}
	}
	return found
}

func init() { cases["late-arms"] = playLateArms }

const (
	// warmUp is how long clients send before other experts are in demand.
	warmUp = 3 * time.Second
	// downTime is how long the coordinator is down.
	downTime = 3 * time.Second
	// lateWindow is how long workers leave orders unanswered.
	lateWindow = 5500 * time.Millisecond
	// returnAfter is when the clients return, from when the orders got no answer.
	returnAfter = lateBy + 700*time.Millisecond
	// maxReported bounds the faults that are reported one by one.
	maxReported = 3
)

// playLateArms: clients pause while a group gets a new map. The arm orders get no answer, and
// the coordinator is killed. Another gateway ends the switch. One of the arm orders is carried
// out before the clients return.
func playLateArms(s *scene, trouble bool) ([]string, error) {
	log := &platformtest.RunLog{}
	group, proxies, x, err := s.startGroup(log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go group.Run(ctx)
	gateways, err := s.startGateways(3)
	if err != nil {
		return nil, err
	}
	for _, p := range proxies {
		a := s.rankAgent()
		if err := s.configure(a, "a", p.address); err != nil {
			return nil, err
		}
		if err := a.start(); err != nil {
			return nil, err
		}
	}
	traffic := &streams{gateways: gateways}
	traffic.on.Store(true)
	traffic.run(ctx)
	time.Sleep(warmUp)
	s.note("%s", traffic)

	paused := make(chan struct{})
	x.expect(trouble, func() {
		s.note("a new map is prepared; the clients pause")
		traffic.on.Store(false)
		close(paused)
	})
	group.ShiftExpertLoad()
	s.note("other experts are in demand")
	select {
	case <-paused:
	case <-time.After(20 * time.Second):
		return nil, errors.New("no new map was prepared")
	}
	if trouble {
		if err := s.loseCoordinator(x, gateways); err != nil {
			return nil, err
		}
	}
	time.Sleep(returnAfter)
	s.note("the clients return; %s", traffic)
	traffic.on.Store(true)
	time.Sleep(warmUp)
	cancel()
	s.note("%s; %d requests ran; group: %+v", traffic, len(log.Runs()), group.State())
	for _, g := range gateways {
		for _, l := range g.log("message=map_planned", "message=map_changed", "message=switch_resolved", "message=control ") {
			s.note("log of %s: %s", g.name, l)
		}
	}
	return mapFaults(log.Faults()), nil
}

// loseCoordinator kills the coordinator when each rank has left an arm order unanswered, and
// starts it again later.
func (s *scene) loseCoordinator(x *orders, gateways []*process) error {
	for range ranks {
		select {
		case <-x.trapped:
		case <-time.After(8 * time.Second):
			return errors.New("not every rank was armed")
		}
	}
	g := controllerOf(gateways)
	if g == nil {
		return errors.New("no gateway planned a map")
	}
	if err := g.signal(syscall.SIGKILL); err != nil {
		return err
	}
	all, late := x.within(lateWindow)
	s.note("orders of the last %s: %d, of which %d got no answer", lateWindow, all, late)
	time.AfterFunc(downTime, func() {
		if err := errors.Join(s.writeSettings(g, false), g.start()); err != nil {
			s.note("%s: %v", g.name, err)
		}
	})
	return nil
}

// mapFaults returns the passes whose ranks had different maps.
func mapFaults(faults []string) []string {
	var out []string
	n := 0
	for _, f := range faults {
		if !strings.HasPrefix(f, "MAP: pass") {
			continue
		}
		if n++; n <= maxReported {
			out = append(out, f)
		}
	}
	if n > maxReported {
		out = append(out, fmt.Sprintf("MAP: %d passes in all", n))
	}
	return out
}
