package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Names of headers.
const (
	headerID        = "X-Coltsfootbay-Request-Id"
	headerInstance  = "X-Coltsfootbay-Expect-Instance"
	headerAccount   = "X-Coltsfootbay-Tenant"
	headerKey       = "X-Coltsfootbay-Key"
	headerSignature = "X-Coltsfootbay-Response-Signature"
	headerNotRun    = "X-Coltsfootbay-Not-Executed"
	headerLoad      = "X-Coltsfootbay-Server-Load"
	headerDeadline  = "X-Coltsfootbay-Deadline-Ms"
	headerTokens    = "X-Coltsfootbay-Token-Usage"
)

// run is a request that a worker ran.
type run struct {
	id, service, worker, account string
	began, ended                 time.Time
	// outcome says how the run ended: complete, or cut by the caller of the worker.
	outcome string
}

// worker is a stand-in for a worker of a service. A stream has as many events as the
// request's limit of output tokens, one each pace; other requests take work.
type worker struct {
	id, service, address, zone string
	slots                      int
	pace, work                 time.Duration

	mu      sync.Mutex
	running int
	runs    []*run
	server  *http.Server
	bornMS  int64
	// crashPath is the path of requests that crash the worker after their first event, and
	// onCrash is called then.
	crashPath string
	onCrash   func(*worker)
}

func (x *worker) start() error {
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	x.server = &http.Server{Handler: x}
	x.bornMS = time.Now().UnixMilli()
	go func() { _ = x.server.Serve(l) }()
	return nil
}

// crash ends the worker: nothing listens at its address and its connections are closed.
func (x *worker) crash() { _ = x.server.Close() }

func (x *worker) document(state string) map[string]any {
	return map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": "1", "slots": x.slots, "state": state,
		"cold_remaining_ms": 0, "seq": 1, "born": x.bornMS,
	}
}

func (x *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	w.Header().Set("X-Coltsfootbay-Instance-Id", x.id)
	if want := r.Header.Get(headerInstance); want != "" && want != x.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.mu.Lock()
	x.running++
	n := x.running
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		x.running--
		x.mu.Unlock()
	}()
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", min(n, x.slots), x.slots))
	if n > x.slots {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u := &run{id: id, service: x.service, worker: x.id, account: r.Header.Get(headerAccount), began: time.Now()}
	x.mu.Lock()
	x.runs = append(x.runs, u)
	x.mu.Unlock()
	w.Header().Set(headerSignature, "sig."+x.id+"."+id)
	outcome := "complete"
	if x.pace > 0 {
		outcome = x.stream(w, r)
	} else {
		time.Sleep(x.work)
		_, _ = fmt.Fprintf(w, "body of %s", id)
	}
	x.mu.Lock()
	u.ended, u.outcome = time.Now(), outcome
	x.mu.Unlock()
}

// lastEvent is the data of the last event of a stream.
const lastEvent = "end"

func (x *worker) stream(w http.ResponseWriter, r *http.Request) string {
	events, _ := strconv.Atoi(r.Header.Get("X-Review-Events"))
	first, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		first = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	tick := time.NewTicker(x.pace)
	defer tick.Stop()
	for n := first + 1; n <= events; n++ {
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return "cut after event " + strconv.Itoa(n-1)
		}
		data := "token"
		if n == events {
			data = lastEvent
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
			return "cut after event " + strconv.Itoa(n-1)
		}
		if err := flush.Flush(); err != nil {
			return "cut after event " + strconv.Itoa(n-1)
		}
		if x.crashPath != "" && r.URL.Path == x.crashPath {
			x.onCrash(x)
			return "crashed the worker after event " + strconv.Itoa(n)
		}
	}
	return "complete"
}

// allRuns returns copies of the runs of some workers.
func allRuns(workers []*worker) []run {
	var out []run
	for _, x := range workers {
		x.mu.Lock()
		for _, u := range x.runs {
			out = append(out, *u)
		}
		x.mu.Unlock()
	}
	return out
}
