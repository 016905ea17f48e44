package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/platform/standin"
)

// callers send requests to the daemons continuously. Each caller keeps its connection to one
// daemon until that breaks, as behind a load balancer that assigns connections.
type callers struct {
	cluster *cluster
	seed    uint64
	workers int
	stopped atomic.Bool
	running sync.WaitGroup
}

func newCallers(s *cluster, o Options) *callers {
	c := &callers{cluster: s, seed: o.Seed, workers: o.Workers}
	if c.workers == 0 {
		c.workers = workersEach * len(s.daemons)
	}
	return c
}

const (
	// workersEach is the number of callers for each daemon.
	workersEach = 3
	// thinkTime is the longest pause of a caller between two requests.
	thinkTime = 20 * time.Millisecond
	// reconnectOneIn is how often a caller reconnects without need: once in this many requests.
	reconnectOneIn = 25
	// sessions is the number of distinct sessions.
	sessions = 40
)

func (c *callers) start(ctx context.Context) {
	for n := range c.workers {
		w := &worker{callers: c, number: n, random: newRand(c.seed, uint64(1+n))}
		c.running.Go(func() { w.run(ctx) })
	}
}

// stop stops the callers once their current requests have completed.
func (c *callers) stop() {
	c.stopped.Store(true)
	c.running.Wait()
}

// worker is one caller.
type worker struct {
	callers *callers
	number  int
	random  *rand.Rand
	sent    int

	daemon *daemon
	client *http.Client
}

func (w *worker) run(ctx context.Context) {
	defer w.disconnect()
	for !w.callers.stopped.Load() && ctx.Err() == nil {
		oneIn := reconnectOneIn
		if w.callers.cluster.preferred.Load() != nil {
			oneIn = skewReconnectOneIn
		}
		if w.daemon == nil || w.random.IntN(oneIn) == 0 {
			w.connect()
		}
		if a := w.send(ctx); a.Reply.Err != nil {
			w.disconnect()
		}
		clock.Wait(ctx, time.Duration(w.random.Int64N(int64(thinkTime))))
	}
}

// connect chooses one of the ready daemons, or any daemon if none is ready.
func (w *worker) connect() {
	w.disconnect()
	all := w.callers.cluster.daemons
	var candidates []*daemon
	for _, d := range all {
		if d.ready.Load() {
			candidates = append(candidates, d)
		}
	}
	if len(candidates) == 0 {
		candidates = all
	}
	w.daemon = candidates[w.random.IntN(len(candidates))]
	if to := w.callers.cluster.preferred.Load(); to != nil && to.ready.Load() && w.random.IntN(skewedOneIn) > 0 {
		w.daemon = to
	}
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
}

func (w *worker) disconnect() {
	if w.client != nil {
		w.client.CloseIdleConnections()
	}
	w.daemon = nil
}

// promptTokens is the number of tokens that the prompt of a request is said to have.
const promptTokens = 100

// send sends a request and records its outcome.
func (w *worker) send(ctx context.Context) Request {
	a := w.nextRequest()
	call := standin.Call{ID: a.ID, Method: a.Method, Host: host, Target: a.Target, Key: a.Key, Body: a.Body, Wait: a.Limit + callerGrace}
	if a.Kind == standin.Streaming {
		session := fmt.Sprintf("session-%d", w.random.IntN(sessions))
		call.Model, call.Session, call.Prompt = "*", session, promptOf(commonPart, session)
		call.Tokens = fmt.Sprintf("%d,%d", promptTokens, streamEvents)
	}
	a.Daemon, a.Process, a.Sent = w.daemon.number, w.daemon.processNumber(), time.Now()
	a.Reply = call.Send(ctx, w.client, w.daemon.callers.Addr())
	a.Ended, a.ProcessAfter = time.Now(), w.daemon.processNumber()
	w.callers.cluster.recorder.answered(a)
	return a
}

// callerGrace is how much longer than the route's limit a caller waits for an answer.
const callerGrace = 3 * time.Second

// nextRequest draws the next request.
func (w *worker) nextRequest() Request {
	w.sent++
	a := Request{ID: fmt.Sprintf("s%d-w%d-%d", w.callers.seed, w.number, w.sent), Key: keyName(w.random.IntN(keys)), Service: modelPlain, Limit: routeLimit}
	tail := fmt.Sprintf("x%%2Fy?n=%d", w.sent)
	switch n := w.random.IntN(100); {
	case n < 40:
		a.Kind, a.Method, a.Target, a.Body = standin.Unsafe, http.MethodPost, onceRoute+tail, "body of "+a.ID
	case n < 65:
		a.Kind, a.Method, a.Target = standin.Safe, http.MethodGet, readRoute+tail
	case n < 90:
		a.Kind, a.Method, a.Target, a.Body = standin.Streaming, http.MethodPost, streamRoute+tail, "prompt of "+a.ID
		a.Service, a.Limit = modelStream, streamLimit
	default:
		a.Kind, a.Method, a.Added = standin.Safe, http.MethodGet, w.callers.cluster.randomAddedRoute(w.random)
		a.Target = addedRoute(a.Added) + tail
		if a.Added == 0 {
			a.Target = readRoute + tail
		}
	}
	return a
}

// randomAddedRoute returns the number of a configuration that has added a route; 0 if none has.
func (s *cluster) randomAddedRoute(r *rand.Rand) uint64 {
	numbers := slices.Sorted(maps.Keys(s.recorder.routes()))
	if len(numbers) == 0 {
		return 0
	}
	return numbers[r.IntN(len(numbers))]
}
