package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// CompletionRequest is the body of POST /v1/completions of an engine.
// MaxTokens is the number of tokens to generate in this call. Zero is allowed
// and yields only the final events, for a caller that already has the whole text.
type CompletionRequest struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Prompt    string `json:"prompt"`
	Generated string `json:"generated"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	RequestID string `json:"request_id"`
}

// Choice is a piece of the text of an answer.
type Choice struct {
	Text         string  `json:"text"`
	Index        int     `json:"index"`
	FinishReason *string `json:"finish_reason"`
}

// Usage holds the token counts of a finished answer. CompletionTokens counts
// those of this call only.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// CompletionEvent is the data of one server-sent event of an answer.
type CompletionEvent struct {
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage"`
}

func containsMarker(text string) bool { return strings.Contains(text, CrashMarker) }

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request CompletionRequest
	if !readJSON(w, r, &request) {
		return
	}
	if problem := e.notLoadedReason(request.Model, request.Adapter); problem != "" {
		http.Error(w, problem, http.StatusNotFound)
		return
	}
	if request.MaxTokens < 0 || request.MaxTokens > maxTokens {
		http.Error(w, fmt.Sprintf("max_tokens must be from 0 to %d", maxTokens), http.StatusBadRequest)
		return
	}
	fault := e.currentFault()
	if fault.Fail {
		http.Error(w, "the engine is set to fail", http.StatusInternalServerError)
		return
	}
	first := TokenCount(request.Generated)
	s := e.add(request, first)
	defer e.cancel(s)
	w.Header().Set("Content-Type", "text/event-stream")
	for position := first; position < s.limit; position++ {
		select {
		case <-s.tokens:
		case <-r.Context().Done():
			return
		}
		if !e.stall.wait(r.Context()) {
			return
		}
		writeEvent(w, e.event(request, s, position))
		if fault.BreakAfter > 0 && position-first+1 >= fault.BreakAfter {
			panic(http.ErrAbortHandler)
		}
		if e.crashes(request.Prompt) {
			e.config.Crash()
		}
	}
	if request.MaxTokens == 0 {
		reason := "length"
		writeEvent(w, CompletionEvent{Choices: []Choice{{FinishReason: &reason}}, Usage: &Usage{PromptTokens: len(request.Prompt) / bytesPerToken}})
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) event(request CompletionRequest, s *sequence, position int) CompletionEvent {
	choice := Choice{Text: Token(request.Model, request.Prompt, position)}
	event := CompletionEvent{}
	if position == s.limit-1 {
		reason := "length"
		choice.FinishReason = &reason
		e.mu.Lock()
		cached := s.cached
		e.mu.Unlock()
		event.Usage = &Usage{PromptTokens: len(request.Prompt) / bytesPerToken, CompletionTokens: request.MaxTokens, CachedTokens: cached}
	}
	event.Choices = []Choice{choice}
	return event
}

func writeEvent(w http.ResponseWriter, event CompletionEvent) {
	data, _ := json.Marshal(event)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

// Health is the response of GET /health of an engine.
type Health struct {
	Start    string   `json:"start"`
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	Slots    int      `json:"slots"`
	Version  string   `json:"version,omitempty"`
	Role     string   `json:"role,omitempty"`
}

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	h := Health{
		Start:    strconv.FormatUint(uint64(e.start), 10),
		Model:    e.model,
		Adapters: append([]string{}, e.adapters...),
		Slots:    e.config.Slots,
		Version:  e.version,
		Role:     e.role,
	}
	e.mu.Unlock()
	writeJSON(w, h)
}

// Load is the response of GET /v1/load.
type Load struct {
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	AgeMS           int64   `json:"age_ms"`
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := e.load
	e.mu.Unlock()
	writeJSON(w, Load{Running: l.running, Waiting: l.waiting, TokensPerSecond: l.tokensPerSecond, AgeMS: time.Since(l.at).Milliseconds()})
}

// CacheEvents is the response of GET /v1/cache/events.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.cache.after(after, time.Now().Add(-e.config.EventDelay))
	e.mu.Unlock()
	writeJSON(w, events)
}

// KV identifies cached prefixes for export and import. An export request sets
// Prompt and receives Prefixes; an import request sets Prefixes.
type KV struct {
	Model    string   `json:"model"`
	Prompt   string   `json:"prompt,omitempty"`
	Prefixes []uint64 `json:"prefixes"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var kv KV
	if !readJSON(w, r, &kv) {
		return
	}
	e.mu.Lock()
	held := e.cache.cachedPrefixes(Prefixes(kv.Model, kv.Prompt))
	e.mu.Unlock()
	writeJSON(w, KV{Model: kv.Model, Prefixes: held})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv KV
	if !readJSON(w, r, &kv) {
		return
	}
	if problem := e.notLoadedReason(kv.Model, ""); problem != "" {
		http.Error(w, problem, http.StatusNotFound)
		return
	}
	e.mu.Lock()
	e.cache.use(kv.Prefixes, time.Now())
	e.mu.Unlock()
	writeJSON(w, KV{Model: kv.Model, Prefixes: kv.Prefixes})
}

// ActiveRequest is a request that an engine has not finished.
type ActiveRequest struct {
	RequestID string `json:"request_id"`
	Priority  int    `json:"priority"`
	Position  int    `json:"position"`
	Running   bool   `json:"running"`
}

// EngineCounts is the response of GET /control/counts of an engine.
type EngineCounts struct {
	// Runs counts the runs by request_id.
	Runs        map[string]int  `json:"runs"`
	Active      []ActiveRequest `json:"active"`
	Tokens      int             `json:"tokens"`
	Completed   int             `json:"completed"`
	Canceled    int             `json:"canceled"`
	Preemptions int             `json:"preemptions"`
	// PromptTokens counts the prompt tokens of all prefills, and CachedTokens
	// those that were found in the cache.
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
}

func (e *Engine) controlCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	counts := EngineCounts{Runs: maps.Clone(e.runs), Active: []ActiveRequest{}, Tokens: e.tokens, Completed: e.completed, Canceled: e.canceled, Preemptions: e.preemptions, PromptTokens: e.promptTokens, CachedTokens: e.cachedTokens}
	for _, s := range e.sequences {
		counts.Active = append(counts.Active, ActiveRequest{RequestID: s.request, Priority: s.priority, Position: s.position, Running: s.running})
	}
	e.mu.Unlock()
	writeJSON(w, counts)
}

// Order is an order to an engine.
type Order struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	Name  string `json:"name"`
}

// OrderState is the state of an order.
type OrderState string

// States of an order.
const (
	OrderPending OrderState = "pending"
	OrderDone    OrderState = "done"
	OrderRefused OrderState = "refused"
)

// OrderStatus is the response to an order and of GET /v1/orders, which returns
// the order that arrived last.
type OrderStatus struct {
	Order
	State OrderState `json:"state"`
	// HighestFence is the highest fence of an order that took effect.
	HighestFence uint64 `json:"highest_fence"`
}

type orderBook struct {
	delay   time.Duration
	highest uint64
	last    *OrderStatus
	effects []Order
}

var orderKinds = []string{"load_model", "load_adapter", "load_version", "set_role"}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !readJSON(w, r, &o) {
		return
	}
	if !slices.Contains(orderKinds, o.Kind) {
		http.Error(w, "kind must be one of "+strings.Join(orderKinds, ", "), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := &OrderStatus{Order: o, State: OrderPending, HighestFence: e.orders.highest}
	e.orders.last = status
	delay := e.orders.delay
	e.mu.Unlock()
	// The order takes effect even if its sender has disconnected, as on an engine
	// that has begun to load.
	time.Sleep(delay)
	e.mu.Lock()
	e.apply(status)
	answer := *status
	e.mu.Unlock()
	if answer.State == OrderRefused {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
	}
	writeJSON(w, answer)
}

func (e *Engine) apply(status *OrderStatus) {
	o := status.Order
	if e.config.ChecksFencing && o.Fence < e.orders.highest {
		status.State, status.HighestFence = OrderRefused, e.orders.highest
		return
	}
	e.orders.highest = max(e.orders.highest, o.Fence)
	e.orders.effects = append(e.orders.effects, o)
	status.State, status.HighestFence = OrderDone, e.orders.highest
	switch o.Kind {
	case "load_model":
		e.model = o.Name
	case "load_adapter":
		if !slices.Contains(e.adapters, o.Name) {
			e.adapters = append(e.adapters, o.Name)
		}
	case "load_version":
		e.version = o.Name
	case "set_role":
		e.role = o.Name
	}
}

func (e *Engine) serveOrderStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	status := OrderStatus{HighestFence: e.orders.highest}
	if e.orders.last != nil {
		status = *e.orders.last
	}
	e.mu.Unlock()
	writeJSON(w, status)
}

// controlOrders responds with all orders in the sequence in which they took
// effect.
func (e *Engine) controlOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	effects := append([]Order{}, e.orders.effects...)
	e.mu.Unlock()
	writeJSON(w, effects)
}

func (e *Engine) controlOrderDelay(w http.ResponseWriter, r *http.Request) {
	var body struct {
		MS int64 `json:"ms"`
	}
	if readJSON(w, r, &body) {
		e.mu.Lock()
		e.orders.delay = time.Duration(body.MS) * time.Millisecond
		e.mu.Unlock()
	}
}
