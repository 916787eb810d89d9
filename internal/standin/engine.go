package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// EngineConfig holds the parameters of a stand-in engine.
type EngineConfig struct {
	Model    string
	Adapters []string
	// Slots is the maximum number of sequences in a batch.
	Slots int
	// StepBase and StepPerSequence determine the duration of a step, which
	// generates one token for every sequence of the batch.
	StepBase        time.Duration
	StepPerSequence time.Duration
	// PrefillPerToken is added to a step for each uncached prompt token of a
	// sequence that joins the batch. Four bytes count as one token.
	PrefillPerToken time.Duration
	// CachePrefixes bounds the prefix cache, in blocks of 256 bytes.
	CachePrefixes int
	// EventDelay is the time from a cache event until it can be read.
	EventDelay time.Duration
	// EventGap drops every event whose sequence number is a multiple of it;
	// zero drops none.
	EventGap uint64
	// LoadLag is the time between samples of the load report.
	LoadLag time.Duration
	// ChecksFencing makes the engine refuse an order whose fence is lower than
	// the highest one that took effect.
	ChecksFencing bool
	// OrderDelay is the time between an order's arrival and its effect.
	OrderDelay time.Duration
	// CrashEnabled makes the engine call Crash after the first token of a
	// prompt that contains CrashMarker.
	CrashEnabled bool
	// Crash ends the process.
	Crash func()
}

// DefaultEngineConfig returns the parameters of an engine that runs about 50
// steps per second.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Model:           "small",
		Slots:           16,
		StepBase:        15 * time.Millisecond,
		StepPerSequence: 300 * time.Microsecond,
		PrefillPerToken: 50 * time.Microsecond,
		CachePrefixes:   1024,
		EventDelay:      200 * time.Millisecond,
		LoadLag:         200 * time.Millisecond,
	}
}

// maxTokens is the maximum number of tokens in one answer.
const maxTokens = 1 << 16

// bytesPerToken is the number of prompt bytes that count as one token.
const bytesPerToken = 4

// sequence is one request in the engine.
type sequence struct {
	request  string
	priority int
	arrival  uint64
	prompt   string
	// position is the index of the next token; limit is the index after the
	// last one.
	position  int
	limit     int
	running   bool
	prefilled bool
	cached    int
	// tokens receives one value per generated token. It is buffered for all
	// tokens because a slow reader must not block the batch.
	tokens chan struct{}
}

// Engine is the stand-in for a model engine.
type Engine struct {
	config EngineConfig
	start  fleet.StartID
	stall  *stall
	fault  atomic.Pointer[EngineFault]
	wake   chan struct{}

	mu          sync.Mutex
	model       string
	version     string
	role        string
	adapters    []string
	sequences   []*sequence
	arrivals    uint64
	runs        map[string]int
	tokens      int
	preemptions int
	completed   int
	canceled    int
	// promptTokens and cachedTokens are totals over all prefills.
	promptTokens int
	cachedTokens int
	cache        *prefixCache
	load         loadSample
	orders       orderBook
}

// loadSample is a sample of the engine's load, which the load report returns.
type loadSample struct {
	running, waiting int
	tokensPerSecond  float64
	at               time.Time
}

// NewEngine returns an engine, which generates tokens only while Run is running.
func NewEngine(c EngineConfig) *Engine {
	return &Engine{
		config:   c,
		start:    fleet.NewStartID(),
		stall:    newStall(),
		wake:     make(chan struct{}, 1),
		model:    c.Model,
		adapters: slices.Clone(c.Adapters),
		runs:     map[string]int{},
		cache:    newPrefixCache(c.CachePrefixes, c.EventGap),
		load:     loadSample{at: time.Now()},
		orders:   orderBook{delay: c.OrderDelay},
	}
}

// Run generates tokens until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	go e.sampleLoad(ctx)
	for ctx.Err() == nil {
		if !e.stall.stepsAllowed() {
			sleep(ctx, stallPoll)
			continue
		}
		batch, duration := e.schedule()
		if len(batch) == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		if sleep(ctx, duration) {
			e.emit(batch)
		}
	}
}

// schedule chooses the batch of the next step and returns it with the duration
// of the step. A sequence that is preempted by a more urgent one also loses its
// KV cache and is prefilled again later.
func (e *Engine) schedule() ([]*sequence, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	slices.SortFunc(e.sequences, func(a, b *sequence) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(a.arrival) - int(b.arrival)
	})
	n := min(len(e.sequences), e.config.Slots)
	for _, s := range e.sequences[n:] {
		if s.running {
			s.running, s.prefilled = false, false
			e.preemptions++
		}
	}
	duration := e.config.StepBase + time.Duration(n)*e.config.StepPerSequence
	for _, s := range e.sequences[:n] {
		s.running = true
		if !s.prefilled {
			duration += e.prefill(s)
		}
	}
	return slices.Clone(e.sequences[:n]), duration
}

// prefill adds the prompt to the prefix cache and returns the prefill time of
// the uncached prompt tokens and the tokens generated so far.
func (e *Engine) prefill(s *sequence) time.Duration {
	cached := e.cache.use(Prefixes(e.model, s.prompt), time.Now())
	s.cached = cached * prefixBlock / bytesPerToken
	s.prefilled = true
	e.promptTokens += len(s.prompt) / bytesPerToken
	e.cachedTokens += s.cached
	tokens := len(s.prompt)/bytesPerToken - s.cached + s.position
	return time.Duration(tokens) * e.config.PrefillPerToken
}

func (e *Engine) emit(batch []*sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range batch {
		if !slices.Contains(e.sequences, s) {
			continue // canceled during the step
		}
		s.position++
		e.tokens++
		s.tokens <- struct{}{}
		if s.position >= s.limit {
			e.completed++
			e.remove(s)
		}
	}
}

func (e *Engine) remove(s *sequence) bool {
	i := slices.Index(e.sequences, s)
	if i < 0 {
		return false
	}
	e.sequences = slices.Delete(e.sequences, i, i+1)
	return true
}

func (e *Engine) add(r CompletionRequest, first int) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	e.runs[r.RequestID]++
	s := &sequence{
		request:  r.RequestID,
		priority: r.Priority,
		arrival:  e.arrivals,
		prompt:   r.Prompt,
		position: first,
		limit:    first + r.MaxTokens,
		tokens:   make(chan struct{}, r.MaxTokens),
	}
	if r.MaxTokens > 0 {
		e.sequences = append(e.sequences, s)
	} else {
		e.completed++
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.remove(s) {
		e.canceled++
	}
}

func (e *Engine) running() int {
	n := 0
	for _, s := range e.sequences {
		if s.running {
			n++
		}
	}
	return n
}

func (e *Engine) sampleLoad(ctx context.Context) {
	interval := max(e.config.LoadLag, time.Millisecond)
	last := 0
	for sleep(ctx, interval) {
		e.mu.Lock()
		now := time.Now()
		running := e.running()
		e.load = loadSample{
			running:         running,
			waiting:         len(e.sequences) - running,
			tokensPerSecond: float64(e.tokens-last) / now.Sub(e.load.at).Seconds(),
			at:              now,
		}
		last = e.tokens
		e.mu.Unlock()
	}
}

// notLoadedReason returns why the engine cannot serve a model and
// adapter, or "".
func (e *Engine) notLoadedReason(model, adapter string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if model != e.model {
		return "model " + model + " is not loaded"
	}
	if adapter != "" && !slices.Contains(e.adapters, adapter) {
		return "adapter " + adapter + " is not loaded"
	}
	return ""
}

// crashes reports whether a prompt crashes the process after its first token.
func (e *Engine) crashes(prompt string) bool {
	return e.config.CrashEnabled && containsMarker(prompt)
}

// Handler returns a handler for the engine's protocol and the control paths.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.stalled(e.serveCompletion))
	mux.HandleFunc("GET /health", e.stalled(e.serveHealth))
	mux.HandleFunc("GET /v1/load", e.stalled(e.serveLoad))
	mux.HandleFunc("GET /v1/cache/events", e.stalled(e.serveCacheEvents))
	mux.HandleFunc("POST /v1/kv/export", e.stalled(e.serveExport))
	mux.HandleFunc("POST /v1/kv/import", e.stalled(e.serveImport))
	mux.HandleFunc("POST /v1/orders", e.stalled(e.serveOrder))
	mux.HandleFunc("GET /v1/orders", e.stalled(e.serveOrderStatus))
	mux.HandleFunc("GET /control/counts", e.controlCounts)
	mux.HandleFunc("GET /control/orders", e.controlOrders)
	mux.HandleFunc("POST /control/order-delay", e.controlOrderDelay)
	mux.HandleFunc("POST /control/stall", controlStall(e.stall))
	mux.HandleFunc("POST /control/fault", e.controlFault)
	return mux
}

func (e *Engine) stalled(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.stall.wait(r.Context()) {
			next(w, r)
		}
	}
}
