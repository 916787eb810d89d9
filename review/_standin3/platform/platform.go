package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"time"
)

// document is a JSON object of the store.
type document = map[string]any

// route returns a route of the configuration.
func route(name, kind, service string, timeoutMS, targetMS, attempts int) document {
	return document{
		"name": name, "host": host, "prefix": "/" + name + "/", "kind": kind, "service": service, "timeout_ms": timeoutMS,
		"target_latency_ms": targetMS, "target_gap_ms": 120, "priority": 0, "max_attempts": attempts,
	}
}

// with returns a copy of a document with another field.
func with(d document, key string, value any) document {
	out := document{key: value}
	for k, v := range d {
		if k != key {
			out[k] = v
		}
	}
	return out
}

const testKey = "n2ctnfzs989anu6wsjnb"

// configuration returns a configuration with these routes and services.
func configuration(version int64, routes, services []document) document {
	return document{
		"version": version, "routes": routes, "services": services,
		"tenants": []document{{"name": "tenant", "api_keys": []string{testKey}}},
		"limits":  document{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// plainService returns the description of a service without engines.
func plainService(name string) document {
	return document{"name": name, "health_path": "/health", "max_conns": 110}
}

// register writes the entry of a backend server.
func (s *scene) register(id, service, address string, slots int) {
	s.store.Put("servers/"+id, document{
		"service": service, "address": address, "zone": "a", "version": "1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
}

// signature returns the signature of a server's response.
func signature(id, server string) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s\x00%s", id, server)
	return fmt.Sprintf("%s.%x", server, h.Sum64())
}

// accept checks a request for a backend server as the protocol says, and sets the headers
// of the response. It reports whether the request may run.
func accept(w http.ResponseWriter, r *http.Request, server string) bool {
	id := r.Header.Get("X-Coltsfootbay-Request-Id")
	w.Header().Set("X-Coltsfootbay-Request-Id", id)
	switch want := r.Header.Get("X-Coltsfootbay-Expect-Instance"); {
	case id == "":
		w.Header().Set("X-Coltsfootbay-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case want != "" && want != server:
		w.Header().Set("X-Coltsfootbay-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		w.Header().Set("X-Coltsfootbay-Response-Signature", signature(id, server))
		return true
	}
	return false
}
