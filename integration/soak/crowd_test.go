package soak

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/platform/platformtest"
)

const (
	// crowdBodyBytes is the limit of a request's body.
	crowdBodyBytes = 4 << 20
	// crowdTime is how long the usage of a process is measured before an ordinary caller
	// sends its request.
	crowdTime  = 2 * time.Second
	largeName  = "large"
	largeBytes = 200 << 10
	// callBytes is the limit of the body of a call to a rank agent.
	callBytes = 2 << 20
)

// crowdMemoryMB and crowdDescriptors are the limits of each process in the tests with crowds, and
// crowdScale multiplies the clients.
var crowdMemoryMB, crowdDescriptors, crowdScale int

func init() {
	flag.IntVar(&crowdMemoryMB, "memory", 96, "memory of each process in the tests with crowds, in MB")
	flag.IntVar(&crowdDescriptors, "descriptors", 600, "descriptors of each process in the tests with crowds")
	flag.IntVar(&crowdScale, "crowd", 1, "factor of the number of clients in the tests with crowds")
}

// crowdClients is the number of clients of each shape.
var crowdClients = []struct {
	shape   harness.ClientShape
	clients int
}{
	{harness.IdleClient, 800},
	{harness.TricklingHead, 800},
	{harness.LongHead, 450},
	{harness.WholeBody, 150},
	{harness.PiecewiseBody, 150},
	{harness.LargeChunks, 150},
	{harness.SmallChunks, 150},
	{harness.AnnouncedBodyLimit, 150},
	{harness.SentBodyLimit, 150},
	{harness.UnreadAnswers, 150},
	{harness.LongNames, 100},
}

func startCrowdFleet(t *testing.T) *fleet {
	if *binaries == "" {
		t.Skip("-bin is not given")
	}
	f := startFleet(t, func(f *fleet) { f.memoryMB, f.descriptors = crowdMemoryMB, crowdDescriptors })
	address := f.address()
	f.serve(address, http.HandlerFunc(serveLarge))
	f.store.PutServer("l-0", largeName, address, zone(0), "ready", time.Now().UnixMilli())
	f.changeConfiguration(func(c *platformtest.Configuration) {
		c.BodyBytes = crowdBodyBytes
		c.More = []string{largeName}
		c.Routes = append(c.Routes, platformtest.Route{Name: largeName, Host: host, Service: largeName, Kind: "unsafe", TimeoutMS: 8000})
	})
	return f
}

// serveLarge reads the whole body and sends a long answer.
func serveLarge(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	for name, value := range platformtest.AnswerHeaders(r, "l-0") {
		w.Header().Set(name, value)
	}
	// Write fails if the gateway has closed the connection.
	_, _ = w.Write(bytes.Repeat([]byte("x"), largeBytes))
}

// Guards against clients that make a gateway run out of memory or descriptors, or that leave no
// place for ordinary callers: an unread body took what the kernel's buffers hold, long heads took
// 70 kB each, and idle connections took all descriptors.
func TestCallersThatDoNotBehave(t *testing.T) {
	f := startCrowdFleet(t)
	g := f.gateways[0]
	addresses := []string{g.callers, g.ready, g.directory, g.metrics}
	for _, keyed := range []bool{true, false} {
		for _, x := range crowdClients {
			t.Run(fmt.Sprintf("%s/key=%t", x.shape, keyed), func(t *testing.T) {
				restart(t, f, g)
				r := harness.CrowdRequest{Line: "POST /" + largeName + "/x HTTP/1.1", Headers: "Host: " + host + "\r\n", IDHeader: platformtest.IDHeader, BodyBytes: crowdBodyBytes}
				if keyed {
					r.Headers += platformtest.KeyHeader + ": key-0-1\r\n"
				}
				crowd := harness.StartCrowd(g.callers, x.clients*crowdScale, x.shape, r)
				defer crowd.Stop()
				checkUsage(t, g.Process, crowdTime, addresses...)
				ask(t, "a request beside the crowd", http.MethodPost, "http://"+g.callers+"/unsafe/x", 100)
				ask(t, "an address query", http.MethodGet, "http://"+g.directory+platformtest.ResolvePath, 0)
				crowd.Stop()
				ask(t, "a request after the crowd", http.MethodPost, "http://"+g.callers+"/unsafe/x", 100)
				ask(t, "the largest legal body after the crowd", http.MethodPost, "http://"+g.callers+"/"+largeName+"/x", crowdBodyBytes)
				checkUsage(t, g.Process, time.Second, addresses...)
			})
		}
	}
}

func restart(t *testing.T, f *fleet, g *gatewayProcess) {
	t.Helper()
	if err := g.Restart(); err != nil {
		t.Fatal(err)
	}
	f.waitReady()
	if err := g.LimitDescriptors(crowdDescriptors); err != nil {
		t.Fatal(err)
	}
}

// Guards against the same at the other addresses of a gateway and at those of a rank agent.
func TestOtherAddressesBoundTheirClients(t *testing.T) {
	f := startCrowdFleet(t)
	g := f.gateways[0]
	agent, listens := f.agents[0], f.agentAddresses[0]
	gateway := []string{g.callers, g.ready, g.directory, g.metrics}
	if err := g.LimitDescriptors(crowdDescriptors); err != nil {
		t.Fatal(err)
	}
	if err := agent.LimitDescriptors(crowdDescriptors); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		name, address, path string
		process             *harness.Process
		listens             []string
	}{
		{"directory", g.directory, platformtest.ResolvePath, g.Process, gateway},
		{"ready", g.ready, platformtest.ReadyPath, g.Process, gateway},
		{"metrics", g.metrics, "/metrics", g.Process, gateway},
		{"agent", listens[0], "/v1/report", agent, listens},
		{"agent metrics", listens[1], "/metrics", agent, listens},
	} {
		for _, shape := range []harness.ClientShape{harness.IdleClient, harness.LongHead, harness.WholeBody, harness.SentBodyLimit, harness.UnreadAnswers} {
			t.Run(x.name+"/"+string(shape), func(t *testing.T) {
				r := harness.CrowdRequest{Line: "POST /v1/claim HTTP/1.1", IDHeader: platformtest.IDHeader, BodyBytes: callBytes}
				method := http.MethodGet
				if x.process == agent && x.path != "/metrics" {
					method = http.MethodPost
				}
				if shape == harness.UnreadAnswers {
					r.Line = method + " " + x.path + " HTTP/1.1"
				}
				crowd := harness.StartCrowd(x.address, crowdDescriptors*crowdScale, shape, r)
				defer crowd.Stop()
				checkUsage(t, x.process, crowdTime/2, x.listens...)
				ask(t, "a call beside the crowd", method, "http://"+x.address+x.path, 0)
				if x.process == g.Process {
					ask(t, "a request beside the crowd", http.MethodPost, "http://"+g.callers+"/unsafe/x", 100)
				}
				crowd.Stop()
				checkUsage(t, x.process, time.Second, x.listens...)
			})
		}
	}
}

// ask sends an ordinary request until it is served.
func ask(t *testing.T, what, method, url string, body int) {
	t.Helper()
	if err := harness.AskUntilServed(method, url, host, map[string]string{platformtest.IDHeader: "ordinary", platformtest.KeyHeader: "key-0-0"}, body); err != nil {
		t.Errorf("%s: %v", what, err)
	}
}

// checkUsage checks the usage of a process within a time.
func checkUsage(t *testing.T, p *harness.Process, d time.Duration, addresses ...string) {
	t.Helper()
	peak, err := p.PeakUsage(d, addresses...)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(peak)
	if err := peak.Within(int64(crowdMemoryMB)*1e6, crowdDescriptors); err != nil {
		t.Error(err)
	}
}

const (
	// soakCrowd is the largest crowd of a soak, and soakCrowdTime the longest time that it
	// stays.
	soakCrowd     = 200
	soakCrowdTime = 4 * time.Second
)

// sendCrowds sends crowds to one gateway after the other, and checks what each gateway takes,
// while other faults are injected.
func (x *faults) sendCrowds(t *testing.T, seed int64) {
	random := rand.New(rand.NewPCG(uint64(seed), 33))
	for end := x.began.Add(*faultTime); time.Now().Before(end); {
		g := x.fleet.gateways[random.IntN(gateways)]
		shape := crowdClients[random.IntN(len(crowdClients))].shape
		clients, length := 1+random.IntN(soakCrowd), time.Duration(random.Int64N(int64(soakCrowdTime)))
		r := harness.CrowdRequest{Line: "POST /safe/crowd HTTP/1.1", Headers: "Host: " + host + "\r\n", IDHeader: platformtest.IDHeader, BodyBytes: 1 << 20}
		x.note("%s: %d clients for %s: %s", g.Name, clients, length.Round(time.Millisecond), shape)
		crowd := harness.StartCrowd(g.callers, clients, shape, r)
		for left := time.Now().Add(length); time.Now().Before(left); time.Sleep(50 * time.Millisecond) {
			// An error means that another fault has ended the process.
			if u, err := harness.ReadUsage(g.PID(), g.callers); err == nil {
				if err := u.Within(int64(crowdMemoryMB)*1e6, crowdDescriptors); err != nil {
					t.Errorf("%s, %d clients, %s: %v", g.Name, clients, shape, err)
				}
			}
		}
		crowd.Stop()
	}
}
