package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	attempts "ladderridge.example/core/attempt"
	"ladderridge.example/core/cascade"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/latency"
	"ladderridge.example/core/notice"
	"ladderridge.example/core/prefixcache"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/core/retry"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/channel"
	"ladderridge.example/daemon/storesync"
	"ladderridge.example/daemon/suspend"
)

// StoreSync is what the engine needs to know.
type StoreSync interface {
	View() *storesync.View
	Observe(f storesync.Observation)
	// RecordSession notes which version serves a session.
	RecordSession(service string, session uint64, version string)
	// RecordServerExit counts a server that has ended against what was under way there.
	RecordServerExit(server string, contents []quarantine.Fingerprint)
	// Answered notes a content that a server has answered whole.
	Answered(content quarantine.Fingerprint)
}

// Engine serves requests. Set the exported fields, then Serve.
type Engine struct {
	StoreSync StoreSync
	Channels  *channel.Pool
	Dialect   Dialect
	Budget    *retry.Budget
	// Hall is this daemon's data hall.
	Hall string
	// SuspendClock tells how long the VM has stood still; nil is never.
	SuspendClock suspend.Clock
	// OnComplete is told of each request that has ended; nil is nobody.
	OnComplete func(Report)
	// OnStart is told of each request of an organisation that a server has begun to run; nil is
	// nobody.
	OnStart func(organisation string)
	// OnNotice is told of a server that says of itself what was not known; nil is nobody.
	OnNotice func(s *fleet.Server, n notice.Notice)
	// OnLimitChange is told of a server whose limit begins, changes or ends; nil is nobody.
	OnLimitChange func(s *fleet.Server, was, is notice.LimitState)

	// MaxBuffered bounds the bytes of whole answers that are held for callers, of all requests
	// together; 0 is standardHold. Beyond it answers are passed on as they come.
	MaxBuffered int64

	// InFlight counts requests under way.
	InFlight atomic.Int64

	// held are the bytes of whole answers that are held now.
	held atomic.Int64

	// ends is when this daemon ends at the latest, if it is about to.
	ends atomic.Pointer[time.Time]

	// keyAge is how old the configuration may be for a key to pass or to be refused
	// as wrong, keyAgeCut how old for one that it knows to pass.
	keyAge    atomic.Int64
	keyAgeCut atomic.Int64
	// paces are what the first parts of answers take.
	paces *byKind[latency.Estimate]
	// settled are what answers of versions take that are not in roll-out.
	settled *byKind[latency.Reference]
	// runs are the requests at servers.
	runs *quarantine.Tracker
}

// SetKeyAge sets how old the configuration may be for a key to pass or to be
// refused as wrong, and how old for a key that it knows to pass when no newer one is
// to be had; until it is called no key passes.
//
// A hall that is cut from the store so goes on serving its callers where operators
// allow it.
func (e *Engine) SetKeyAge(confirmed, cut time.Duration) {
	e.keyAge.Store(int64(confirmed))
	e.keyAgeCut.Store(int64(max(confirmed, cut)))
}

// ShutdownBy tells the engine that the daemon ends at a time: from now on it takes only
// what is over by then.
func (e *Engine) ShutdownBy(at time.Time) { e.ends.Store(&at) }

// New returns an engine that has served nothing yet.
func New() *Engine {
	return &Engine{paces: newByKind[latency.Estimate](), settled: newByKind[latency.Reference](), runs: quarantine.NewTracker()}
}

// Report is what became of a request and why, for logs and metrics.
type Report struct {
	Request *Request
	// Route, Service, Version, Model and Server are the last ones chosen.
	Route   string
	Service string
	Version string
	Model   string
	Server  string
	// Session is the hash of the session, Rollout what part of them the new
	// version of a roll-out had, or "".
	Session uint64
	Rollout string
	// Organisation holds the key.
	Organisation string
	// Content tells what the request asks: the same for all attempts of a caller at one
	// thing. It is 0 if the request was refused before its caller was known.
	Content quarantine.Fingerprint
	// Config is the number of the configuration, ConfigAge how old it was.
	Config    uint64
	ConfigAge time.Duration
	// Attempts are the attempts with their outcomes, in order.
	Attempts []AttemptReport
	// Escalated tells that a smaller model's answer was dropped.
	Escalated bool
	Outcome   Outcome
	Took      time.Duration
	// FirstByte is the time to the first part of the answer.
	FirstByte time.Duration
}

// AttemptReport is one attempt at a server.
type AttemptReport struct {
	Server string
	Model  string
	// Result says what came of it, in a word or an error's text.
	Result string
	// Notice is what the server said of itself.
	Notice notice.Notice
	Took   time.Duration
}

// Serve serves one request and returns how it ended. The sink gets an answer
// only as a part of Answered or Broken.
func (e *Engine) Serve(ctx context.Context, r *Request, sink Sink) Outcome {
	e.InFlight.Add(1)
	defer e.InFlight.Add(-1)
	j := &job{engine: e, request: r, sink: sink, after: r.LastEvent, stood: e.SuspendClock.Now(), report: Report{Request: r}, left: func() bool { return ctx.Err() != nil }}
	out := j.serve(ctx)
	if _, whole := out.(Answered); j.left() && !whole {
		out = ClientGone{}
	}
	if e.OnComplete != nil {
		j.report.Outcome, j.report.Took = out, time.Since(r.Arrived)
		e.OnComplete(j.report)
	}
	return out
}

// job is a request under way.
type job struct {
	engine  *Engine
	request *Request
	sink    Sink
	report  Report

	// left reports whether the caller has gone.
	left func() bool

	view   *storesync.View
	route  *routemap.Route
	holder *routemap.Organisation
	// accepted is the configuration under which the key passed.
	accepted uint64
	// content tells what the request asks.
	content quarantine.Fingerprint
	service string
	// end is when the request is given up by the steady clock, zero for never; stood is how
	// long the VM had stood still when it came.
	end   time.Time
	stood time.Duration
	step  cascade.Step
	// prompt is what the model of the step is to read, piece how much of a server's
	// work a piece of it is. Each choice of a server renews them.
	prompt prefixcache.Prompt
	piece  float64
	// avoid are servers that declined the request or broke off, failed those
	// that answered that they failed or were busy: they are taken if there is no
	// other.
	avoid  []fleet.Incarnation
	failed []fleet.Incarnation
	// reserved is the server that is chosen for the next attempt already; nil is none.
	reserved *fleet.Server
	// silent are the other halls whose servers could not be reached or broke
	// off, and any of which one timed out.
	silent []string
	// made is what is known after the attempts so far.
	made attempts.History
	// paid tells that the next attempt has been taken from the budget, paidAt when a repeat last
	// was.
	paid   bool
	paidAt time.Time
	// counted tells that the request counts as begun for its organisation.
	counted bool
	// begun tells that the caller has a part of an answer.
	begun bool
	// after is the last event that the caller has.
	after int64
	// version is the one that the answer under way comes from, "" for any.
	version string
	// kept is a failed answer to pass on if there is no better one.
	kept *whole
}

// serve checks a request and has it answered.
func (j *job) serve(ctx context.Context) Outcome {
	j.awaitStart(ctx)
	now := time.Now()
	if out := j.prepare(now); out != nil {
		return out
	}
	j.engine.Budget.Request(j.service, j.engine.sharers(j.view), j.engine.budgetTime())
	if !j.end.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, j.end)
		defer cancel()
	}
	return j.run(ctx)
}

// awaitStart waits a moment for the first configuration of a daemon that has just started,
// or for the one of a VM that stood still to be confirmed: it reads the store at once, and a
// refusal would cost the caller more.
func (j *job) awaitStart(ctx context.Context) {
	end := j.request.Arrived.Add(startWait)
	for j.look(); !j.view.Current() && ctx.Err() == nil && time.Now().Before(end); j.look() {
		time.Sleep(startLook)
	}
}

const (
	// startWait is how long a request waits for the first configuration: about
	// what a small VM takes to read it. It is less than the objective of the
	// shortest requests.
	startWait = 120 * time.Millisecond
	// startLook is the time between two looks whether it is there.
	startLook = 5 * time.Millisecond
)

// prepare finds the route, the key's holder and the service.
func (j *job) prepare(now time.Time) Outcome {
	j.look()
	if !j.view.Ready() {
		return Refused{Reason: NotReady, RetryAfter: notReadyRetry}
	}
	if !j.view.Confirmed() {
		return Refused{Reason: Stale, RetryAfter: staleRetry}
	}
	j.report.Config, j.report.ConfigAge = j.view.Map.Number, j.view.ConfigAge(now)
	route, ok := j.view.Map.Match(j.request.Host, j.request.Path)
	if !ok {
		return Refused{Reason: NoRoute}
	}
	j.route, j.report.Route, j.accepted = route, route.Name, j.view.Map.Number
	if out := j.authenticate(now); out != nil {
		return out
	}
	j.content = j.request.fingerprint(j.report.Organisation)
	j.report.Content = j.content
	// A request that ends each server that begins to run it would end one after the other, with
	// all that others have there.
	if left, ok := j.quarantined(now); ok {
		return Refused{Reason: Quarantined, RetryAfter: left}
	}
	if len(route.Cascade) > 0 {
		if j.request.Model != AnyModel {
			return Refused{Reason: WrongModel}
		}
		j.step = cascade.Start(len(route.Cascade))
	}
	j.service = route.Pick(xxhash.Sum64String(j.request.ID))
	j.report.Service, j.report.Session = j.service, j.request.session()
	j.end = j.deadline()
	if at := j.engine.ends.Load(); at != nil && (j.end.IsZero() || j.end.After(*at)) {
		return Refused{Reason: ShuttingDown, RetryAfter: leavingRetry}
	}
	return nil
}

// look takes the newest knowledge.
func (j *job) look() { j.view = j.engine.StoreSync.View() }

// authenticate finds the holder of the key. A key passes only if the
// configuration that allows it was in force a moment ago, or if no newer one is to be
// had and operators let known keys pass for so long.
func (j *job) authenticate(now time.Time) Outcome {
	if j.route.Anonymous || !j.view.Map.NeedsKeys() {
		return nil
	}
	if j.request.Key == "" {
		return Refused{Reason: NoKey}
	}
	holder, known := j.view.Map.Organisation(j.request.Key)
	age := j.view.ConfigAge(now)
	switch {
	case age > time.Duration(j.engine.keyAgeCut.Load()), !known && age > time.Duration(j.engine.keyAge.Load()):
		return Refused{Reason: Stale, RetryAfter: staleRetry}
	case !known:
		return Refused{Reason: WrongKey}
	}
	j.holder, j.report.Organisation = holder, holder.Name
	return nil
}

// deadline is when the request is given up: when its caller does or its route
// says.
func (j *job) deadline() time.Time {
	wait := j.request.Timeout
	if limit := j.route.Timeout; limit > 0 && (wait == 0 || limit < wait) {
		wait = limit
	}
	if wait == 0 {
		return time.Time{}
	}
	return j.request.Arrived.Add(wait)
}

// The times after which a refused request may come back.
const (
	// notReadyRetry: a daemon that starts reads the store at once.
	notReadyRetry = 500 * time.Millisecond
	// staleRetry: other daemons that reach the store are asked several times
	// a second.
	staleRetry = 500 * time.Millisecond
	// leavingRetry: a daemon that ends starts anew, and others are ready, within
	// about a second.
	leavingRetry = time.Second
	// noServerRetry: a server that starts or returns is listed within about a
	// second.
	noServerRetry = time.Second
)
