package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/platform/platformtest"
)

const (
	// crashTime is how long requests with the crashing part are sent.
	crashTime = 12 * time.Second
	// maxCrashes is how many servers a part of a prompt may crash.
	maxCrashes = 3
	// crashingOneIn is the share of the requests that have the crashing part.
	crashingOneIn = 10
	crashingPart  = "dead"
	// minServedBeside is the fraction of the sound requests that must be served while
	// requests with the crashing part still arrive and are refused.
	minServedBeside = 0.9
	// refusedWithin is the time within which a request with a part that is known to crash
	// servers is refused.
	refusedWithin = 250 * time.Millisecond
)

// Guards against requests that share one part of their prompt and crash one backend
// server after the other, also across a restart of the gateways one by one, and against
// refusing requests that share other parts with them.
func TestPromptPartCrashesFewServers(t *testing.T) {
	if *binaries == "" {
		t.Skip("-bin is not given")
	}
	f := startFleet(t, func(f *fleet) { f.withoutProxies = true })
	f.group.SetCrashPart(crashingPart)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wait sync.WaitGroup
	var mu sync.Mutex
	var sound, crashing []attempt
	for n := range callers {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			for count := 0; ctx.Err() == nil; count++ {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(thinkTime)))
				account := random.IntN(accounts)
				q := platformtest.Request{
					ID: fmt.Sprintf("part-%d-%d", n, count), Host: host, Kind: "streaming", Limit: 3 * time.Second,
					Path: fmt.Sprintf("/streaming/%d-%d", n, count), Key: fmt.Sprintf("key-%d-0", account),
				}
				first, own := fmt.Sprintf("f%d", account), fmt.Sprintf("e%d-%d", n, count)
				q.PromptParts = []string{first, own}
				isCrashing := random.IntN(crashingOneIn) == 0
				if isCrashing {
					q.PromptParts = []string{first, crashingPart, own}
				}
				a := attempt{Request: q, gateway: f.gateways[random.IntN(gateways)].callers, from: time.Now()}
				a.Result = platformtest.Send(context.WithoutCancel(ctx), &http.Client{}, a.gateway, q)
				a.to = time.Now()
				mu.Lock()
				if isCrashing {
					crashing = append(crashing, a)
				} else {
					sound = append(sound, a)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(crashTime / 2)
	for _, g := range f.gateways[:gateways-1] {
		g.Kill()
		if err := g.Start(); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
	}
	from := time.Now()
	time.Sleep(crashTime / 2)
	stop()
	wait.Wait()
	if n := f.group.Crashes(crashingPart); n > maxCrashes {
		t.Errorf("BUDGET: requests with one part of their prompt crashed servers %d times, more than %d", n, maxCrashes)
	}
	sent, served := 0, 0
	for _, a := range sound {
		if a.Outcome == platformtest.Wrong {
			t.Errorf("MIXED: %s: %s", a.ID, a.Detail)
		}
		if a.from.After(from) && a.Outcome != platformtest.Unreachable {
			sent++
			if a.Outcome == platformtest.Complete {
				served++
			}
		}
	}
	if sent == 0 || float64(served) < minServedBeside*float64(sent) {
		t.Errorf("LOST: %d of %d sound requests were served beside requests that crash servers", served, sent)
	}
	ran := map[string]bool{}
	for _, r := range f.record.Runs() {
		ran[r.ID] = true
	}
	for _, a := range crashing {
		if a.Outcome == platformtest.NotRun && ran[a.ID] {
			t.Errorf("REFUSED: %s was reported as not run but ran", a.ID)
		}
		if a.from.After(from) && (a.Outcome != platformtest.NotRun || a.to.Sub(a.from) > refusedWithin) && a.Outcome != platformtest.Unreachable {
			t.Errorf("%s has the crashing part and ended after %s with status %d %s", a.ID, a.to.Sub(a.from), a.Status, a.Detail)
		}
	}
	for _, fault := range f.record.Faults() {
		t.Error(fault)
	}
	t.Logf("%d crashes, %d of %d sound requests served after %s, %d requests with the part", f.group.Crashes(crashingPart), served, sent, crashTime/2, len(crashing))
	if t.Failed() {
		for _, p := range f.processes() {
			t.Logf("%s:\n%s", p.Name, tail(p.Log(), 40))
		}
	}
}

// maxCrashesInSoak is how many servers a part may crash while gateways are killed, cut off
// and frozen beside it: five, after which three more requests may reach servers.
const maxCrashesInSoak = 5 + 3

func (f *fleet) checkCrashes(t *testing.T) {
	for _, cause := range f.crashCauses {
		n := f.group.Crashes(cause)
		t.Logf("%s: %d crashes", cause, n)
		if n > maxCrashesInSoak {
			t.Errorf("BUDGET: requests with %s crashed servers %d times, more than %d", cause, n, maxCrashesInSoak)
		}
	}
}

// Guards against a request that crashes servers anew after each kill of all gateways, when
// none of them remembers it.
func TestRequestCrashesOneServerPerKillOfAllGateways(t *testing.T) {
	if *binaries == "" {
		t.Skip("-bin is not given")
	}
	const lives, sendsPerLife = 3, 3
	f := startFleet(t, func(f *fleet) { f.withoutProxies = true })
	f.group.SetCrashPart(crashingPart)
	for life := range lives {
		if life > 0 {
			for _, g := range f.gateways {
				g.Kill()
			}
			for _, g := range f.gateways {
				if err := g.Start(); err != nil {
					t.Fatal(err)
				}
			}
			f.waitReady()
		}
		for n := range sendsPerLife {
			time.Sleep(2 * time.Second) // the group forms again
			q := platformtest.Request{
				ID: fmt.Sprintf("crash-%d-%d", life, n), Host: host, Kind: "streaming", Limit: 3 * time.Second, Path: "/streaming/crash",
				Key: "key-0-0", PromptParts: []string{"f0", crashingPart}, Body: "the same",
			}
			r := platformtest.Send(context.Background(), &http.Client{}, f.gateways[(life+n)%gateways].callers, q)
			t.Logf("%s: status %d, %d crashes so far", q.ID, r.Status, f.group.Crashes(crashingPart))
		}
		if n := f.group.Crashes(crashingPart); n != life+1 {
			t.Errorf("the request has crashed %d servers after %d kills of all gateways", n, life)
		}
	}
	if t.Failed() {
		for _, g := range f.gateways {
			t.Logf("%s:\n%s", g.Name, tail(g.Log(), 40))
		}
	}
}
