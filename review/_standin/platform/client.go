package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is what a client sends.
type request struct {
	id, route, key, method string
	// path follows the route's prefix.
	path      string
	timeoutMS int
	// events is the number of events that the stream has.
	events int
}

// result is what a client has seen.
type result struct {
	request
	gateway       string
	sent, ended   time.Time
	status        int
	signed        bool
	events        int
	complete      bool
	worker, cause string
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// send sends a request to a gateway and reads the answer to its end.
func send(c *http.Client, gateway string, q request) (r result) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(q.timeoutMS)*time.Millisecond)
	defer cancel()
	r = result{request: q, gateway: gateway, sent: time.Now()}
	defer func() { r.ended = time.Now() }()
	if q.method == "" {
		q.method = http.MethodPost
	}
	in, err := http.NewRequestWithContext(ctx, q.method, "http://"+gateway+"/"+q.route+"/"+cmp.Or(q.path, "x"), http.NoBody)
	if err != nil {
		r.cause = err.Error()
		return r
	}
	in.Host = host
	in.Header.Set(headerID, q.id)
	in.Header.Set(headerDeadline, strconv.Itoa(q.timeoutMS))
	if q.key != "" {
		in.Header.Set(headerKey, q.key)
	}
	if q.events > 0 {
		in.Header.Set(headerTokens, fmt.Sprintf("700,%d", 4*q.events))
		in.Header.Set("X-Review-Events", strconv.Itoa(q.events))
	}
	out, err := c.Do(in)
	if err != nil {
		r.cause = err.Error()
		return r
	}
	defer func() { _ = out.Body.Close() }()
	r.status, r.signed = out.StatusCode, out.Header.Get(headerSignature) != ""
	if parts := strings.Split(out.Header.Get(headerSignature), "."); len(parts) == 3 {
		r.worker = parts[1]
	}
	if q.events == 0 {
		_, err = io.Copy(io.Discard, out.Body)
		r.complete = err == nil
		if err != nil {
			r.cause = err.Error()
		}
		return r
	}
	lines := bufio.NewScanner(out.Body)
	last := ""
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			r.events++
			last = data
		}
	}
	if err := lines.Err(); err != nil {
		r.cause = err.Error()
	}
	r.complete = lines.Err() == nil && (last == lastEvent || r.status != http.StatusOK)
	return r
}

func ready(g *gateway) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	in, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/coltsfootbay/ready", nil)
	if err != nil {
		return false
	}
	out, err := http.DefaultClient.Do(in)
	if err != nil {
		return false
	}
	_ = out.Body.Close()
	return out.StatusCode == http.StatusOK
}

// resolve asks a gateway where to connect.
func resolve(g *gateway) (addresses []string, lifetime time.Duration, err error) {
	out, err := http.Get("http://" + g.directory + "/coltsfootbay/resolve?name=" + host + "&region=r&zone=zone-a")
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = out.Body.Close() }()
	var d struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	err = json.NewDecoder(out.Body).Decode(&d)
	return d.Addresses, time.Duration(d.TTL * float64(time.Second)), err
}

// results collects results.
type results struct {
	mu   sync.Mutex
	list []result
}

func (x *results) add(r result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.list = append(x.list, r)
}

func (x *results) all() []result {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]result(nil), x.list...)
}
