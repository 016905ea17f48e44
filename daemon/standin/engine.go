package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/daemon/wire"
)

// EngineFault is the fault that an Engine injects, set by the admin call.
type EngineFault struct {
	// Leaving makes the engine decline new requests as if it were shutting down.
	Leaving bool `json:"leaving"`
	// ErrorRate is the fraction of requests answered with status 500.
	ErrorRate float64 `json:"error_rate"`
	// CutAfter interrupts streams after that many tokens; 0 is never.
	CutAfter int `json:"cut_after"`
	// FailAfter makes streams send an error event in place of the token after that many, and end
	// regularly; 0 is never.
	FailAfter int `json:"fail_after"`
	// FailResumed makes resumed streams begin with an error event and end regularly.
	FailResumed bool `json:"fail_resumed"`
	// EndResumed makes resumed streams end regularly without a token.
	EndResumed bool `json:"end_resumed"`
	// ReplayTokens makes resumed streams begin anew and end regularly after that many tokens; 0 is never.
	ReplayTokens int `json:"replay_tokens"`
	// MismatchAnswers is the number of answers that carry a wrong attempt id.
	MismatchAnswers int `json:"cross_answers"`
	// HoldAnswers delays the start of every answer until it is set to false.
	HoldAnswers bool `json:"hold_answers"`
	// AnnounceLeaving makes the engine announce in its answers that it is shutting down. It still
	// serves requests.
	AnnounceLeaving bool `json:"says_leaving"`
	// BackoffS makes the engine decline all requests and ask for a back-off of that many seconds.
	BackoffS float64 `json:"rest_s"`
}

// Engine is a fake of a model engine. Set the exported fields before the first
// request.
type Engine struct {
	ID      string
	Model   string
	Version string
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// Batch is the maximum number of concurrent requests; 0 is no limit.
	Batch int
	// Quality, in [0,1], is written into the answers. Raters read it there.
	Quality float64
	// Prefill is the additional time to the first token of a prompt whose prefix is not
	// in the prefix cache. PrefixCacheSize is the capacity of that cache in prefixes; 0 is no cache.
	Prefill         time.Duration
	PrefixCacheSize int
	// ReportLag is the maximum age of the in-flight count in a load report.
	ReportLag time.Duration
	// Slots is how many model versions fit into memory, LoadTime the time to load one.
	Slots    int
	LoadTime time.Duration
	// ChecksFence makes the engine refuse orders with an outdated fencing token.
	ChecksFence bool
	// OnRating, if set, is called with the request id and the quality of every answer.
	OnRating func(request string, quality float64)

	mu       sync.Mutex
	fault    EngineFault
	released chan struct{}
	prefixes []string
	reported int
	reportAt time.Time
	loaded   []wire.Loaded
	loading  []wire.Loaded
	fence    uint64
	orders   int
	inFlight atomic.Int64
	received atomic.Int64
	ran      map[string]int
	runs     atomic.Int64
	tokens   atomic.Int64
}

// Handler returns the handler of the engine's HTTP interface and of the admin calls.
func (e *Engine) Handler() http.Handler {
	e.ran = map[string]int{}
	e.loaded = []wire.Loaded{{Model: e.Model, Version: e.Version}}
	e.released = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathChat, e.chat)
	mux.HandleFunc("GET "+wire.PathLoad, e.load)
	mux.HandleFunc("POST "+wire.PathOrders, e.order)
	mux.HandleFunc("POST "+PathFaults, e.postFaults)
	mux.HandleFunc("GET "+PathStats, e.getStats)
	return mux
}

// SetFault replaces the engine's fault.
func (e *Engine) SetFault(f EngineFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.HoldAnswers && !f.HoldAnswers {
		close(e.released)
		e.released = make(chan struct{})
	}
	e.fault = f
}

// SetQuality replaces Quality.
func (e *Engine) SetQuality(q float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Quality = q
}

// Unload unloads a version without an order.
func (e *Engine) Unload(model, version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded = slices.DeleteFunc(e.loaded, func(l wire.Loaded) bool { return l.Model == model && l.Version == version })
}

// Arrived returns the number of requests received, including those that were declined.
func (e *Engine) Arrived() int { return int(e.received.Load()) }

// Runs returns the number of executions of each request id.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.ran))
	for id, n := range e.ran {
		out[id] = n
	}
	return out
}

func (e *Engine) report() wire.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.reportAt) >= e.ReportLag {
		e.reported, e.reportAt = int(e.inFlight.Load()), now
	}
	return wire.LoadReport{
		ID: e.ID, InFlight: e.reported, Capacity: e.Batch, Leaving: e.fault.Leaving,
		Loaded: slices.Clone(e.loaded), Loading: slices.Clone(e.loading), Slots: e.Slots,
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	write(w, answer{status: http.StatusOK, body: e.report()})
}

// order handles an order to load or unload a version.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o wire.EngineOrder
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFence && o.Fence < e.fence {
		http.Error(w, "a later fence is known", http.StatusConflict)
		return
	}
	if o.Fence > e.fence || !e.ChecksFence {
		e.fence = max(e.fence, o.Fence)
		e.orders++
		e.execute(o)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) execute(o wire.EngineOrder) {
	version := wire.Loaded{Model: o.Model, Version: o.Version}
	matches := func(l wire.Loaded) bool { return l == version }
	if o.Action != "load" {
		e.loaded = slices.DeleteFunc(e.loaded, matches)
		return
	}
	if slices.ContainsFunc(e.loaded, matches) || slices.ContainsFunc(e.loading, matches) {
		return
	}
	e.loading = append(e.loading, version)
	time.AfterFunc(e.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loading = slices.DeleteFunc(e.loading, matches)
		e.loaded = append(e.loaded, version)
	})
}

// Orders returns the number of orders that the engine has executed.
func (e *Engine) Orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

// admit reports whether a request may run, and declines it otherwise. It returns the fault in force.
func (e *Engine) admit(w http.ResponseWriter, r *http.Request) (EngineFault, bool) {
	e.mu.Lock()
	f := e.fault
	released := e.released
	e.mu.Unlock()
	if f.AnnounceLeaving {
		w.Header().Set(wire.HeaderLeaving, wire.LeavingYes)
	}
	switch {
	case f.Leaving:
		e.decline(w, wire.DeclinedLeaving)
		return f, false
	case f.BackoffS > 0:
		w.Header().Set(wire.HeaderRetryAfter, strconv.FormatFloat(f.BackoffS, 'f', -1, 64))
		e.decline(w, wire.DeclinedFull)
		return f, false
	case e.Batch > 0 && int(e.inFlight.Load()) > e.Batch:
		e.decline(w, wire.DeclinedFull)
		return f, false
	}
	if f.HoldAnswers {
		select {
		case <-released:
		case <-r.Context().Done():
			return f, false
		}
	}
	return f, true
}

// decline refuses a request with the header that guarantees that it was not executed.
func (e *Engine) decline(w http.ResponseWriter, reason string) {
	w.Header().Set(wire.HeaderDeclined, reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	e.received.Add(1)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	var req wire.ChatRequest
	if err != nil || json.Unmarshal(body, &req) != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	if !e.hasLoaded(e.requestedVersion(req)) {
		e.decline(w, wire.DeclinedNotLoaded)
		return
	}
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	f, ok := e.admit(w, r)
	if !ok {
		return
	}
	id := r.Header.Get(wire.HeaderRequest)
	e.count(id)
	w.Header().Set(wire.HeaderAttempt, e.echoAttempt(r.Header.Get(wire.HeaderAttempt)))
	w.Header().Set(wire.HeaderLoad, strconv.FormatInt(e.inFlight.Load(), 10))
	if f.ErrorRate > 0 && rand.Float64() < f.ErrorRate {
		http.Error(w, "engine error", http.StatusInternalServerError)
		return
	}
	if !e.lookUpPrefix(req) && e.Prefill > 0 {
		clock.Wait(r.Context(), e.Prefill)
	}
	offset, _ := strconv.Atoi(r.Header.Get(wire.HeaderOffset))
	tokens := e.tokensFor(req, id)
	if req.Stream {
		e.stream(w, r, tokens, offset, f)
	} else {
		e.writeAnswer(w, r, tokens)
	}
	if e.OnRating != nil {
		e.OnRating(id, e.quality())
	}
}

func (e *Engine) quality() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Quality
}

// prefixBytes is the length of the prompt prefix by which the prefix cache is keyed.
const prefixBytes = 1024

// lookUpPrefix reports whether the prompt's prefix is in the prefix cache, and
// makes it the most recently used one. A full cache evicts the least recently used.
func (e *Engine) lookUpPrefix(req wire.ChatRequest) bool {
	if e.PrefixCacheSize == 0 {
		return false
	}
	prefix := ""
	for _, m := range req.Messages {
		prefix += m.Role + string(m.Content)
	}
	prefix = prefix[:min(len(prefix), prefixBytes)]
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.prefixes, prefix)
	if i >= 0 {
		e.prefixes = slices.Delete(e.prefixes, i, i+1)
	}
	e.prefixes = append(e.prefixes, prefix)
	e.prefixes = e.prefixes[max(0, len(e.prefixes)-e.PrefixCacheSize):]
	return i >= 0
}

func (e *Engine) count(id string) {
	e.runs.Add(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran[id]++
}

// echoAttempt returns the attempt id, or a wrong one while MismatchAnswers is in force.
func (e *Engine) echoAttempt(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.MismatchAnswers > 0 {
		e.fault.MismatchAnswers--
		return "crossed-" + id
	}
	return id
}

// requestedVersion returns the version that a request names, or the engine's own
// version if it names none.
func (e *Engine) requestedVersion(req wire.ChatRequest) wire.Loaded {
	if model, version, ok := strings.Cut(req.Model, "@"); ok {
		return wire.Loaded{Model: model, Version: version}
	}
	return wire.Loaded{Model: e.Model, Version: e.Version}
}

func (e *Engine) hasLoaded(l wire.Loaded) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.loaded, l)
}

// defaultTokens is the length of an answer if the request sets no maximum.
const defaultTokens = 16

// tokensFor returns the tokens of the answer. They depend on the request and the
// version only, so that a resumed stream continues where it was interrupted.
func (e *Engine) tokensFor(req wire.ChatRequest, id string) []string {
	version := e.requestedVersion(req)
	n := req.MaxTokens
	if n <= 0 {
		n = defaultTokens
	}
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%s-%s-%d ", version.Model, version.Version, id, i)
	}
	return out
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, tokens []string, offset int, f EngineFault) {
	w.Header().Set("Content-Type", "text/event-stream")
	id := r.Header.Get(wire.HeaderRequest)
	flush := http.NewResponseController(w)
	if f.ReplayTokens > 0 && offset > 0 {
		offset, tokens = 0, tokens[:min(f.ReplayTokens, len(tokens))]
	}
	if f.EndResumed && offset > 0 {
		tokens = nil
	}
	for i := offset; i < len(tokens); i++ {
		if f.FailAfter > 0 && i-offset >= f.FailAfter || f.FailResumed && offset > 0 {
			_, _ = fmt.Fprintf(w, "data: {\"error\":{\"message\":\"engine failed\"}}\n\ndata: %s\n\n", wire.Terminator)
			return
		}
		if f.CutAfter > 0 && i-offset >= f.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if e.TokenInterval > 0 {
			clock.Wait(r.Context(), e.TokenInterval)
		}
		if r.Context().Err() != nil {
			return
		}
		chunk := wire.ChatChunk{ID: id, Object: wire.ObjectChunk, Index: i, Choices: []wire.ChunkChoice{{Delta: wire.Message{Content: wire.Text(tokens[i])}}}}
		data, _ := json.Marshal(chunk)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		_ = flush.Flush()
		e.tokens.Add(1)
	}
	usage, _ := json.Marshal(wire.ChatChunk{ID: id, Object: wire.ObjectChunk, Index: len(tokens), Choices: []wire.ChunkChoice{}, Usage: usageOf(tokens)})
	_, _ = fmt.Fprintf(w, "data: %s\n\ndata: %s\n\n", usage, wire.Terminator)
}

// usageOf returns the token counts of an answer. Prompt tokens are not counted.
func usageOf(tokens []string) *wire.Usage {
	return &wire.Usage{CompletionTokens: len(tokens), TotalTokens: len(tokens)}
}

// engineAnswer is a chat answer with a field that ladderridge doesn't know and must pass through.
type engineAnswer struct {
	wire.ChatAnswer
	Fingerprint string `json:"system_fingerprint"`
}

const fingerprint = "standin"

func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, tokens []string) {
	if e.TokenInterval > 0 {
		clock.Wait(r.Context(), e.TokenInterval*time.Duration(len(tokens)))
	}
	e.tokens.Add(int64(len(tokens)))
	write(w, answer{status: http.StatusOK, body: engineAnswer{Fingerprint: fingerprint, ChatAnswer: wire.ChatAnswer{
		Object:  wire.ObjectAnswer,
		Choices: []wire.Choice{{Message: wire.Message{Role: "assistant", Content: wire.Text(strings.Join(tokens, ""))}, FinishReason: "stop"}},
		Usage:   *usageOf(tokens),
		Quality: e.quality(),
	}}})
}

func (e *Engine) postFaults(w http.ResponseWriter, r *http.Request) {
	decodeFault(w, r, e.SetFault)
}

// BackendStats are the counters of an Engine or a Service.
type BackendStats struct {
	Runs     int64          `json:"runs"`
	Tokens   int64          `json:"tokens"`
	InFlight int64          `json:"in_flight"`
	Ran      map[string]int `json:"ran"`
}

func (e *Engine) getStats(w http.ResponseWriter, _ *http.Request) {
	write(w, answer{status: http.StatusOK, body: BackendStats{
		Runs: e.runs.Load(), Tokens: e.tokens.Load(), InFlight: e.inFlight.Load(), Ran: e.Runs(),
	}})
}
