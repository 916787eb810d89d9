package adminhttp

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

const (
	defaultEvents = 1000
	maxEvents     = 10000
)

func routes(o Options, key *keyFile) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /readyz", serveReady(o.Ready))
	if o.Metrics != nil {
		mux.Handle("GET /metrics", o.Metrics.Handler)
	}
	admin := http.NewServeMux()
	admin.HandleFunc("GET /admin/v1/events", serveEvents(o.Recorder))
	admin.HandleFunc("GET /admin/v1/status", serveStatus(o.Status))
	admin.HandleFunc("POST /admin/v1/drain", serveDrain(o.Drain))
	if o.Extra != nil {
		admin.Handle("/admin/v1/", o.Extra)
	}
	mux.Handle("/admin/v1/", requireKey(key, admin))
	return mux
}

func requireKey(key *keyFile, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !key.authorizes(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, http.StatusUnauthorized, "the administration key is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func serveHealth(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") }

func serveReady(ready func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if ready != nil {
			if err := ready(); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
		}
		_, _ = fmt.Fprintln(w, "ready")
	}
}

func serveStatus(status func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		var value any = struct{}{}
		if status != nil {
			value = status()
		}
		writeJSON(w, http.StatusOK, value)
	}
}

type drainResponse struct {
	Draining bool `json:"draining"`
}

func serveDrain(drain func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if drain == nil {
			writeProblem(w, http.StatusNotImplemented, "this process cannot drain")
			return
		}
		drain()
		writeJSON(w, http.StatusAccepted, drainResponse{Draining: true})
	}
}

// EventsAnswer is the response of /admin/v1/events. Next is the value of the
// parameter after for the next page.
type EventsAnswer struct {
	Events []events.Event   `json:"events"`
	Next   events.Timestamp `json:"next"`
	// More is true if there are further events beyond the limit.
	More bool `json:"more"`
}

func serveEvents(recorder *events.Recorder) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, err := numberParameter(r, "after", 0, 1<<63)
		if err != nil {
			writeProblem(w, http.StatusBadRequest, err.Error())
			return
		}
		limit, err := numberParameter(r, "limit", defaultEvents, maxEvents)
		if err != nil {
			writeProblem(w, http.StatusBadRequest, err.Error())
			return
		}
		writeJSON(w, http.StatusOK, recentEvents(recorder, events.Timestamp(after), int(limit)))
	}
}

func recentEvents(recorder *events.Recorder, after events.Timestamp, limit int) EventsAnswer {
	answer := EventsAnswer{Events: []events.Event{}, Next: after}
	if recorder == nil {
		return answer
	}
	recent := recorder.Recent(after)
	if len(recent) > limit {
		recent, answer.More = recent[:limit], true
	}
	if len(recent) > 0 {
		answer.Events, answer.Next = recent, recent[len(recent)-1].Time
	}
	return answer
}

func numberParameter(r *http.Request, name string, defaultValue, maxValue uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > maxValue {
		return 0, fmt.Errorf("%s %q is not a number from 0 to %d", name, text, maxValue)
	}
	return n, nil
}

type problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

func writeProblem(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	writeBody(w, status, problem{Title: http.StatusText(status), Status: status, Detail: detail})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, status, value)
}

func writeBody(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
