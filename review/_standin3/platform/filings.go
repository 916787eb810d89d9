package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// filingWorker is a worker of a plain service: it files records. While it is grey, it fails
// part of its requests after it has run them, and its health check is good.
type filingWorker struct {
	scene *scene
	id    string
	log   *filings

	mu   sync.Mutex
	grey bool
	runs int
}

// filings records which requests ran and how they were answered.
type filings struct {
	mu sync.Mutex
	// runs counts the runs of each request, and filed those of each record.
	runs, filed map[string]int
	// arrived counts the requests at grey workers, and failed those that they failed.
	arrived, failed int
}

const (
	workTime = 60 * time.Millisecond
	// A grey worker fails failedOf of each failedIn requests.
	failedOf, failedIn = 2, 5
)

// ServeHTTP runs a request.
func (x *filingWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Coltsfootbay-Instance-Id", x.id)
		return
	}
	if !accept(w, r, x.id) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Coltsfootbay-Request-Id")
	time.Sleep(workTime)
	fails := x.fails()
	x.log.run(id, string(body), x.isGrey(), fails)
	if fails {
		x.scene.note("worker %s has run %s (%s) and answers 503 without X-Coltsfootbay-Not-Executed", x.id, id, body)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "the receipt could not be stored")
		return
	}
	x.scene.note("worker %s has run %s (%s) and answers 200", x.id, id, body)
	_, _ = io.WriteString(w, "filed")
}

// fails reports whether the worker fails its next request.
func (x *filingWorker) fails() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.grey {
		return false
	}
	x.runs++
	return x.runs%failedIn >= failedIn-failedOf
}

func (x *filingWorker) isGrey() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.grey
}

func (x *filingWorker) setGrey(grey bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.grey = grey
}

func (l *filings) run(id, record string, grey, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	l.filed[record]++
	if grey {
		l.arrived++
	}
	if failed {
		l.failed++
	}
}

func (l *filings) ran(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id] > 0
}

// file files a record through a gateway on a new channel.
func (s *scene) file(gateway, id, record string) answer {
	const limit = 1500 * time.Millisecond
	c, err := connect(gateway)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, head(http.MethodPost, "/file/1", id, limit, fmt.Sprintf("Content-Length: %d", len(record)))+record)
	if err != nil {
		return answer{err: err}
	}
	a := c.read(http.MethodPost, time.Now().Add(limit), nil)
	s.note("client: %s (%s): %v", id, record, a)
	return a
}

func init() { cases["failed-as-refused"] = playFailedAsRefused }

// playFailedAsRefused: one of seven workers fails part of the filings that it has run, with
// status 503. Clients take a 503 for the promise that the request has not run, and repeat it
// once.
func playFailedAsRefused(s *scene, trouble bool) ([]string, error) {
	const (
		workers = 7
		// greyFor is how long the worker is grey.
		greyFor = 6500 * time.Millisecond
	)
	log := &filings{runs: map[string]int{}, filed: map[string]int{}}
	var first *filingWorker
	for n := range workers {
		address, err := s.ports.next(0)
		if err != nil {
			return nil, err
		}
		w := &filingWorker{scene: s, id: fmt.Sprintf("i-%d", n), log: log}
		if err := s.serve(address, w); err != nil {
			return nil, err
		}
		s.register(w.id, "app", address, 6)
		if n == 0 {
			first = w
		}
	}
	s.store.Put("op/config", configuration(2, []document{route("file", "unsafe", "app", 800, 300, 1)}, []document{plainService("app")}))
	gateways, err := s.startGateways(2)
	if err != nil {
		return nil, err
	}
	first.setGrey(trouble)
	began := time.Now()
	var broken []string
	for n := 0; time.Since(began) < greyFor; n++ {
		record, gateway := fmt.Sprintf("record %d", n), gateways[n%len(gateways)].callers
		id := fmt.Sprintf("f-%d", n)
		a := s.file(gateway, id, record)
		if a.status == http.StatusServiceUnavailable {
			if log.ran(id) {
				broken = append(broken, fmt.Sprintf("REFUSED: %s was answered 503 and has run", id))
			}
			s.file(gateway, id+"-again", record)
		}
	}
	first.setGrey(false)
	log.mu.Lock()
	defer log.mu.Unlock()
	twice := 0
	for _, n := range log.filed {
		if n > 1 {
			twice++
		}
	}
	s.note("%d records; %d requests at the grey worker within %s, of which it failed %d; %d records were filed twice", len(log.filed), log.arrived, greyFor, log.failed, twice)
	return broken, nil
}
