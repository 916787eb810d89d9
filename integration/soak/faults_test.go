package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/platform/platformtest"
)

// faults injects a series of faults that overlap, drawn from a seed.
type faults struct {
	f      *fleet
	t      *traffic
	random *rand.Rand
	began  time.Time

	wait sync.WaitGroup
	mu   sync.Mutex
	// busy holds what a fault that lasts works on, so that its end does not undo
	// another one's.
	busy map[string]bool
	log  []string
	// changes guards the configuration and the list of plain servers.
	changes sync.Mutex
	fresh   int
}

func newFaults(f *fleet, t *traffic, seed int64) *faults {
	return &faults{f: f, t: t, random: rand.New(rand.NewPCG(uint64(seed), 77)), began: time.Now(), busy: map[string]bool{}}
}

// note adds a line to the log that a failed run prints.
func (x *faults) note(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.log = append(x.log, fmt.Sprintf("%6.2fs ", time.Since(x.began).Seconds())+fmt.Sprintf(format, args...))
}

// hold runs begin, and end after a time, unless something works on what already.
func (x *faults) hold(what, name string, d time.Duration, begin, end func()) {
	x.mu.Lock()
	taken := x.busy[what]
	x.busy[what] = true
	x.mu.Unlock()
	if taken {
		return
	}
	x.note("%s: %s for %s", what, name, d.Round(time.Millisecond))
	begin()
	x.wait.Go(func() {
		time.Sleep(d)
		end()
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.busy, what)
	})
}

// run injects faults for a time and returns when all have ended.
func (x *faults) run(length time.Duration) {
	kinds := []func(){
		x.freeze, x.freeze, x.kill, x.kill, x.terminate, x.hangUp, x.killAll, x.crashEngine, x.crashPlain, x.storeOutage, x.storeOutage,
		x.cutStore, x.compact, x.backendProxy, x.backendProxy, x.callerProxy, x.loseOrders, x.shiftDemand, x.loseAnswers, x.slowRank,
		x.addRoute, x.revoke, x.replacePlain, x.foreignEntry,
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		kinds[x.random.IntN(len(kinds))]()
		time.Sleep(x.between(30*time.Millisecond, 700*time.Millisecond))
	}
	x.wait.Wait()
}

func (x *faults) between(least, most time.Duration) time.Duration {
	return least + time.Duration(x.random.Int64N(int64(most-least)))
}

func (x *faults) process() *harness.Process {
	all := x.f.processes()
	return all[x.random.IntN(len(all))]
}

// The processes run as a rule when they are signalled; one that does not is left
// to the fault that ended it.

func (x *faults) freeze() {
	p := x.process()
	x.hold(p.Name, "frozen", x.between(200*time.Millisecond, 3*time.Second), func() { _ = p.Freeze() }, func() { _ = p.Unfreeze() })
}

func (x *faults) kill() {
	p := x.process()
	x.hold(p.Name, "killed", x.between(50*time.Millisecond, 2*time.Second), p.Kill, func() { x.start(p) })
}

func (x *faults) killAll() {
	for _, p := range x.f.processes() {
		x.hold(p.Name, "killed with all", 300*time.Millisecond, p.Kill, func() { x.start(p) })
	}
}

func (x *faults) start(p *harness.Process) {
	if err := p.Start(); err != nil {
		x.f.t.Error(err)
	}
}

func (x *faults) terminate() {
	p := x.process()
	x.hold(p.Name, "terminated", 10*time.Millisecond, func() {}, func() {
		if err := p.Stop(stopBound); err != nil {
			x.f.t.Errorf("%s: %v", p.Name, err)
			p.Kill()
		}
		x.start(p)
	})
}

func (x *faults) hangUp() {
	p := x.process()
	x.note("%s: SIGHUP", p.Name)
	_ = syscall.Kill(p.PID(), syscall.SIGHUP)
}

func (x *faults) crashEngine() {
	e := x.f.group.Ranks[x.random.IntN(ranks)]
	x.hold(e.ID, "crashed", x.between(100*time.Millisecond, 2*time.Second), e.Stop, func() {
		if err := e.Start(); err != nil {
			x.f.t.Error(err)
		}
	})
}

func (x *faults) crashPlain() {
	x.changes.Lock()
	s := x.f.plain[x.random.IntN(len(x.f.plain))]
	x.changes.Unlock()
	x.hold(s.id, "crashed", x.between(100*time.Millisecond, 2*time.Second), s.process.Stop, func() {
		if err := s.process.Start(); err != nil {
			x.f.t.Error(err)
		}
	})
}

func (x *faults) storeOutage() {
	outages := []platformtest.Outage{{Status: 503}, {Status: 429}, {Silent: true}, {Delay: 300 * time.Millisecond}, {Lost: 0.4}}
	o := outages[x.random.IntN(len(outages))]
	x.hold("store", fmt.Sprintf("%+v", o), x.between(300*time.Millisecond, 4*time.Second),
		func() { x.f.store.SetOutage(o) }, func() { x.f.store.SetOutage(platformtest.Outage{}) })
}

func (x *faults) compact() {
	x.note("store: history dropped")
	x.f.store.Compact()
}

func (x *faults) toxic() harness.Toxic {
	stream := []string{"upstream", "downstream"}[x.random.IntN(2)]
	toxics := []harness.Toxic{
		{Name: "late", Type: "latency", Stream: stream, Attributes: map[string]int{"latency": 150, "jitter": 100}},
		{Name: "reset", Type: "reset_peer", Stream: stream, Attributes: map[string]int{"timeout": 0}},
		{Name: "silent", Type: "timeout", Stream: stream, Attributes: map[string]int{"timeout": 0}},
		{Name: "pieces", Type: "slicer", Stream: stream, Attributes: map[string]int{"average_size": 20, "size_variation": 10, "delay": 100}},
	}
	return toxics[x.random.IntN(len(toxics))]
}

func (x *faults) proxied(name string, p *harness.TCPProxy) {
	t := x.toxic()
	x.hold("proxy "+name, t.Name+" "+t.Stream, x.between(100*time.Millisecond, 3*time.Second), func() {
		if err := p.Add(t); err != nil {
			x.f.t.Error(err)
		}
	}, func() {
		if err := p.Heal(); err != nil {
			x.f.t.Error(err)
		}
	})
}

func (x *faults) cutStore() {
	g := x.f.gateways[x.random.IntN(gateways)]
	x.proxied("store "+g.Name, g.store)
}

func (x *faults) callerProxy() {
	g := x.f.gateways[x.random.IntN(gateways)]
	x.proxied("callers "+g.Name, g.front)
}

func (x *faults) backendProxy() {
	x.changes.Lock()
	all := slices.Concat(x.f.engines, x.f.plain)
	x.changes.Unlock()
	s := all[x.random.IntN(len(all))]
	x.proxied(s.id, s.proxy)
}

func (x *faults) loseOrders() {
	x.hold("orders", "lost or late", x.between(500*time.Millisecond, 4*time.Second), func() {
		x.f.group.OrderLossRate.Set(0.3)
		x.f.group.OrderDelayRate.Set(0.5)
	}, func() { x.f.group.OrderLossRate.Set(0) })
}

func (x *faults) slowRank() {
	e := x.f.group.Ranks[x.random.IntN(ranks)]
	x.hold("pace "+e.ID, "slow", x.between(500*time.Millisecond, 3*time.Second), func() { e.SetSlowdown(8) }, func() { e.SetSlowdown(1) })
}

func (x *faults) shiftDemand() { x.f.group.ShiftExpertLoad() }

func (x *faults) loseAnswers() {
	x.changes.Lock()
	s := x.f.plain[x.random.IntN(len(x.f.plain))].process
	x.changes.Unlock()
	x.hold("answers "+s.ID, "lost and failed", x.between(500*time.Millisecond, 3*time.Second), func() {
		s.AnswerLossRate.Set(0.3)
		s.Fail.Set(0.3)
	}, func() {
		s.AnswerLossRate.Set(0)
		s.Fail.Set(0)
	})
}

func (x *faults) addRoute() {
	x.changes.Lock()
	defer x.changes.Unlock()
	x.note("configuration: another route")
	x.f.change(func(c *platformtest.Configuration) {
		name := fmt.Sprintf("extra-%d", c.Version)
		c.Routes = append(slices.Clone(c.Routes), platformtest.Route{Name: name, Host: host, Service: plainName, Kind: "safe", TimeoutMS: 1500})
	})
}

// revoke takes a key away for good. The last key of an account stays.
func (x *faults) revoke() {
	x.changes.Lock()
	defer x.changes.Unlock()
	account := fmt.Sprintf("account-%d", x.random.IntN(accounts))
	keys := x.f.config.Keys[account]
	if len(keys) < 2 {
		return
	}
	x.note("configuration: %s is taken away", keys[0])
	x.t.removeKey(keys[0], func() {
		x.f.change(func(c *platformtest.Configuration) { c.Keys[account] = keys[1:] })
	})
}

// replacePlain starts another server, drains the oldest one and ends it.
func (x *faults) replacePlain() {
	x.changes.Lock()
	defer x.changes.Unlock()
	old := x.f.plain[0]
	x.mu.Lock()
	taken := x.busy[old.id]
	x.busy[old.id] = true
	x.mu.Unlock()
	if taken {
		return
	}
	x.fresh++
	x.f.plain = append(slices.Clone(x.f.plain[1:]), x.f.newPlain(fmt.Sprintf("p-new-%d", x.fresh)))
	x.f.publish(old, "draining")
	x.note("%s drains", old.id)
	x.wait.Go(func() {
		time.Sleep(drainBound + time.Second)
		x.f.store.DeleteServer(old.id)
		old.process.Stop()
	})
}

func (x *faults) foreignEntry() {
	x.note("store: an entry of another writer")
	x.f.store.PutForeignEntry(fmt.Sprintf("foreign-%d", x.random.IntN(3)))
}
