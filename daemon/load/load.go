// Package load is a load generator: it sends requests to daemons and checks
// that every answer is complete and belongs to its request.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ladderridge.example/core/clock"
	"ladderridge.example/daemon/backend"
	"ladderridge.example/daemon/wire"
)

// The range of the latency histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 600_000_000
	latencyDigits  = 3
)

// Plan describes the requests to send. Set its fields, then call Run.
type Plan struct {
	// Targets lists base URLs, which are used in turn.
	Targets []string
	Key     string
	Model   string
	Stream  bool
	// MaxTokens is the length of each answer; 0 leaves it to the engine.
	MaxTokens int
	// Requests is how many requests to send, Workers how many at a time.
	Requests int
	Workers  int
	// Pause is how long each worker waits between two requests.
	Pause time.Duration
	// Sessions is the number of sessions that the requests are spread over; 0
	// sends them without sessions.
	Sessions int
	HTTP     *http.Client
	// EngineTargets reports whether the targets are engines, which require an attempt id.
	EngineTargets bool
}

// Result holds the counts and latencies of a run.
type Result struct {
	Sent     int
	Complete int
	Refused  int
	Broken   int
	Tokens   int64
	Versions map[string]int
	Codes    map[string]int
	// Requests lists the request ids of the latest answers, for the explain command.
	Requests []string
	Elapsed  time.Duration
	// FirstToken and Total are histograms of latencies in microseconds.
	FirstToken *hdrhistogram.Histogram
	Total      *hdrhistogram.Histogram
	// VersionChanges counts answers with another model version than their session had before.
	VersionChanges int
}

// run is the execution of a plan.
type run struct {
	*Plan
	next   atomic.Int64
	mu     sync.Mutex
	result Result
	pins   []sessionPin
}

// sessionPin is the pin token and the model version of a session.
type sessionPin struct {
	mu      sync.Mutex
	token   string
	version string
}

// Run sends the requests of the plan and returns the result once all have ended.
func (p *Plan) Run(ctx context.Context) Result {
	if p.HTTP == nil {
		p.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: max(p.Workers, 1)}}
	}
	r := &run{Plan: p, pins: make([]sessionPin, p.Sessions), result: Result{
		Versions: map[string]int{}, Codes: map[string]int{},
		FirstToken: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		Total:      hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}}
	start := time.Now()
	var wg sync.WaitGroup
	for range max(p.Workers, 1) {
		wg.Go(func() { r.work(ctx) })
	}
	wg.Wait()
	r.result.Elapsed = time.Since(start)
	return r.result
}

func (r *run) work(ctx context.Context) {
	for ctx.Err() == nil {
		n := r.next.Add(1)
		if n > int64(r.Requests) {
			return
		}
		r.sendOne(ctx, int(n))
		clock.Wait(ctx, r.Pause)
	}
}

// outcome is the outcome of one request.
type outcome struct {
	id             string
	version        string
	code           string
	tokens         int
	first          time.Duration
	total          time.Duration
	complete       bool
	versionChanged bool
}

func (r *run) sendOne(ctx context.Context, n int) {
	var pin *sessionPin
	if r.Sessions > 0 {
		pin = &r.pins[n%r.Sessions]
		pin.mu.Lock()
		defer pin.mu.Unlock()
	}
	out := r.send(ctx, n, pin)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.add(out)
}

// recentRequests is how many request ids a result keeps.
const recentRequests = 8

func (r *Result) add(out outcome) {
	r.Sent++
	r.Tokens += int64(out.tokens)
	switch {
	case out.code != "":
		r.Refused++
		r.Codes[out.code]++
	case !out.complete:
		r.Broken++
	default:
		r.Complete++
		r.Versions[out.version]++
		_ = r.FirstToken.RecordValue(out.first.Microseconds())
		_ = r.Total.RecordValue(out.total.Microseconds())
		r.Requests = append(r.Requests, out.id)
		r.Requests = r.Requests[max(0, len(r.Requests)-recentRequests):]
	}
	if out.versionChanged {
		r.VersionChanges++
	}
}

func (r *run) send(ctx context.Context, n int, pin *sessionPin) outcome {
	body, err := json.Marshal(wire.ChatRequest{
		Model: r.Model, Stream: r.Stream, MaxTokens: r.MaxTokens,
		Messages: []wire.Message{{Role: "user", Content: wire.Text(fmt.Sprintf("question %d", n))}},
	})
	if err != nil {
		return outcome{}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.Targets[n%len(r.Targets)]+wire.PathChat, bytes.NewReader(body))
	if err != nil {
		return outcome{}
	}
	r.setHeaders(req, n, pin)
	start := time.Now()
	resp, err := r.HTTP.Do(req)
	if err != nil {
		return outcome{}
	}
	defer resp.Body.Close()
	out := outcome{id: resp.Header.Get(wire.HeaderRequest), version: resp.Header.Get(wire.HeaderVersion), first: time.Since(start)}
	switch {
	case resp.StatusCode != http.StatusOK:
		out.code = errorCode(resp)
	case r.Stream:
		r.readStream(resp.Body, &out, start)
	default:
		readAnswer(resp.Body, &out, start)
	}
	pin.update(resp, &out)
	return out
}

func (r *run) setHeaders(req *http.Request, n int, pin *sessionPin) {
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+r.Key)
	if r.EngineTargets {
		id := fmt.Sprintf("load-%d", n)
		req.Header.Set(wire.HeaderAttempt, id)
		req.Header.Set(wire.HeaderRequest, id)
	}
	switch {
	case pin == nil:
	case pin.token == "":
		req.Header.Set(wire.HeaderSession, wire.SessionNew)
	default:
		req.Header.Set(wire.HeaderPin, pin.token)
	}
}

// update records the session's token and version from an answer, and marks the
// outcome if the version has changed.
func (p *sessionPin) update(resp *http.Response, out *outcome) {
	if p == nil || resp.StatusCode != http.StatusOK {
		return
	}
	out.versionChanged = p.version != "" && p.version != out.version
	p.version = out.version
	if token := resp.Header.Get(wire.HeaderPin); token != "" {
		p.token = token
	}
}

func errorCode(resp *http.Response) string {
	var body wire.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Error.Code == "" {
		return resp.Status
	}
	return body.Error.Code
}

// readStream checks that every token belongs to the request and that the
// stream ends with its terminator.
func (r *run) readStream(body io.Reader, out *outcome, start time.Time) {
	events := backend.NewStream(body)
	for {
		data, last, err := events.Next()
		if err != nil {
			return
		}
		if last {
			out.complete, out.total = true, time.Since(start)
			return
		}
		var chunk wire.ChatChunk
		if json.Unmarshal(data, &chunk) != nil {
			return
		}
		if len(chunk.Choices) == 0 {
			continue
		}
		if !r.EngineTargets && !strings.Contains(string(chunk.Choices[0].Delta.Content), out.id) {
			return
		}
		if out.tokens == 0 {
			out.first = time.Since(start)
		}
		out.tokens++
	}
}

func readAnswer(body io.Reader, out *outcome, start time.Time) {
	var answer wire.ChatAnswer
	if json.NewDecoder(body).Decode(&answer) != nil || len(answer.Choices) == 0 {
		return
	}
	if out.id != "" && !strings.Contains(string(answer.Choices[0].Message.Content), out.id) {
		return
	}
	out.tokens = answer.Usage.CompletionTokens
	out.complete, out.total = true, time.Since(start)
}
