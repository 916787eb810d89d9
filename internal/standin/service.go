package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// ServiceConfig holds the parameters of a stand-in service.
type ServiceConfig struct {
	// RunTime is the duration of one call.
	RunTime time.Duration
	// CrashEnabled makes the service call Crash if a body contains CrashMarker.
	CrashEnabled bool
	// Crash ends the process.
	Crash func()
	// Journal receives one line with the identifier of each run when the run
	// begins, which preserves the counts after the process has ended. Nil writes
	// no journal.
	Journal io.Writer
}

// RunCounts is the response of GET /control/counts of a service. A run is
// counted when it begins, which includes interrupted runs.
type RunCounts struct {
	// ByRequest counts runs by the Request-Id header.
	ByRequest map[string]int `json:"by_request"`
	// ByIdentifier counts runs by the body's JSON field "id" or, without one,
	// by the Idempotency-Key header.
	ByIdentifier map[string]int `json:"by_identifier"`
	Total        int            `json:"total"`
	Active       int            `json:"active"`
}

// Service is the stand-in for a plain service.
type Service struct {
	config ServiceConfig
	start  fleet.StartID

	mu      sync.Mutex
	counts  RunCounts
	stall   *stall
	runTime time.Duration
}

// NewService returns a service with all counts at zero.
func NewService(c ServiceConfig) *Service {
	return &Service{
		config:  c,
		start:   fleet.NewStartID(),
		runTime: c.RunTime,
		stall:   newStall(),
		counts:  RunCounts{ByRequest: map[string]int{}, ByIdentifier: map[string]int{}},
	}
}

// Handler returns a handler for the service and its control paths.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serveCall)
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("GET /control/counts", s.controlCounts)
	mux.HandleFunc("POST /control/stall", controlStall(s.stall))
	mux.HandleFunc("POST /control/run-time", s.controlRunTime)
	return mux
}

func (s *Service) serveHealth(w http.ResponseWriter, r *http.Request) {
	if s.stall.wait(r.Context()) {
		writeJSON(w, map[string]string{"start": strconv.FormatUint(uint64(s.start), 10)})
	}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	duration := s.begin(r, body)
	defer s.end()
	if s.config.CrashEnabled && bytes.Contains(body, []byte(CrashMarker)) {
		s.config.Crash()
	}
	// A plain service does not detect a closed connection: the run continues.
	if !sleep(context.WithoutCancel(r.Context()), duration) || !s.stall.wait(r.Context()) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprint(w, ServiceAnswer(r.Method, r.URL.Path, r.Header.Get("Request-Id"), identifier(r, body)))
}

// ServiceAnswer returns the body of the service's response to a call.
func ServiceAnswer(method, path, request, identifier string) string {
	answer, _ := json.Marshal(struct {
		Method  string `json:"method"`
		Path    string `json:"path"`
		Request string `json:"request"`
		ID      string `json:"id"`
	}{method, path, request, identifier})
	return string(answer)
}

func identifier(r *http.Request, body []byte) string {
	var fields struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(body, &fields) == nil && fields.ID != "" {
		return fields.ID
	}
	return r.Header.Get("Idempotency-Key")
}

func (s *Service) begin(r *http.Request, body []byte) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Total++
	s.counts.Active++
	if id := r.Header.Get("Request-Id"); id != "" {
		s.counts.ByRequest[id]++
	}
	if id := identifier(r, body); id != "" {
		s.counts.ByIdentifier[id]++
		if s.config.Journal != nil {
			_, _ = fmt.Fprintln(s.config.Journal, id)
		}
	}
	return s.runTime
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Active--
}

func (s *Service) controlCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.counts)
}

func (s *Service) controlRunTime(w http.ResponseWriter, r *http.Request) {
	var body struct {
		MS int64 `json:"ms"`
	}
	if readJSON(w, r, &body) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runTime = time.Duration(body.MS) * time.Millisecond
	}
}
