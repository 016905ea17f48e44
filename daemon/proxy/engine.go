package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/answer"
	attempts "ladderridge.example/core/attempt"
	"ladderridge.example/core/cascade"
	"ladderridge.example/core/estimate"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/latency"
	"ladderridge.example/core/notice"
	"ladderridge.example/core/prefixcache"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/core/retry"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/channel"
	"ladderridge.example/daemon/congestion"
	"ladderridge.example/daemon/pacing"
	"ladderridge.example/daemon/permits"
	"ladderridge.example/daemon/storesync"
	"ladderridge.example/daemon/suspend"
)

// StoreSync is what the engine needs of daemon/storesync.
type StoreSync interface {
	View() *storesync.View
	Observe(f storesync.Observation)
	// RecordSession records which version serves a session.
	RecordSession(service string, session uint64, version string)
	// RecordServerExit counts a server's exit against the requests that were in flight there.
	RecordServerExit(server string, suspects []quarantine.Suspect)
	// Answered records that a server has answered a request completely.
	Answered(server string, s quarantine.Suspect)
}

// Engine proxies requests. Set the exported fields, then Serve.
type Engine struct {
	StoreSync StoreSync
	Channels  *channel.Pool
	Dialect   Dialect
	Budget    *retry.Budget
	// Hall is this daemon's data hall.
	Hall string
	// SuspendClock returns the total time for which the VM has been suspended; nil means never.
	SuspendClock suspend.Clock
	// OnComplete is called with the report of each finished request; may be nil.
	OnComplete func(Report)
	// OnStart is called for each request of an organisation that a server has accepted; may be
	// nil.
	OnStart func(organisation string)
	// OnNotice is called when a server reports something new about itself; may be nil.
	OnNotice func(s *fleet.Server, n notice.Notice)
	// OnLimitChange is called when a server's limit starts, changes or ends; may be nil.
	OnLimitChange func(s *fleet.Server, was, is notice.LimitState)

	// OnRejectionBound is called when the servers of a service begin to announce how many rejections
	// in a second they bear, or no longer do so; may be nil.
	OnRejectionBound func(s *fleet.Server, rejections float64)

	// MaxBuffered is the limit in bytes of the complete responses that are buffered for callers,
	// over all requests; 0 means defaultMaxBuffered. Above it responses are forwarded unbuffered.
	MaxBuffered int64

	// Congestion weighs the runs of services whose model servers have at most FewSlots slots, and
	// admits their requests; nil disables it.
	Congestion *congestion.Tracker
	FewSlots   int

	// Pace shares the pace of the servers with at most FewSlots slots among the daemons; nil
	// disables it.
	Pace *pacing.Tracker
	// Permits limits the requests to small pools of plain servers; nil disables it.
	Permits *permits.Pool

	// NotContinued counts the responses that were dropped because they were not the rest of a stream that
	// a caller had received in part.
	NotContinued atomic.Int64
	// Endless counts the answers that were ended by this daemon since they had no end, by form.
	Endless EndlessCounts
	// Invalid counts the responses of servers that were no answers, by reason.
	Invalid InvalidCounts

	// InFlight counts the requests in flight.
	InFlight atomic.Int64

	pools pools
	// buffered is the size of the buffered responses in bytes.
	buffered atomic.Int64

	// shutdownBy is the time by which this daemon stops, nil if it is not stopping. stopped is done once
	// requests in flight are to be given up.
	shutdownBy atomic.Pointer[time.Time]
	stopped    context.Context
	giveUpAll  context.CancelFunc

	// maxKeyAge is the maximum age of the configuration at which keys are accepted, or refused
	// as unknown; maxKeyAgeOffline is the maximum age at which known keys are accepted.
	maxKeyAge        atomic.Int64
	maxKeyAgeOffline atomic.Int64
	// latencies estimates the time to the first part of a response, by route and model.
	latencies *keyed[latency.Estimate]
	// references has the response times of versions that are not in roll-out.
	references *keyed[latency.Reference]
	// comparison compares the times of answers with those of versions that are not in roll-out.
	comparison *comparison
	// runTimes estimates the times of runs at services with few slots, by service and model.
	runTimes *keyed[estimate.Model]
	// runs tracks the requests that are at servers.
	runs *quarantine.Tracker
}

// SetKeyAge sets the maximum age of the configuration at which keys are accepted or refused as
// unknown, and the maximum age at which known keys are accepted while no newer configuration
// is available. Until it is called, no key is accepted.
//
// If operators allow it, a hall that is disconnected from the store so keeps serving its
// callers.
func (e *Engine) SetKeyAge(confirmed, cut time.Duration) {
	e.maxKeyAge.Store(int64(confirmed))
	e.maxKeyAgeOffline.Store(int64(max(confirmed, cut)))
}

// ShutdownBy tells the engine that the daemon stops at a time: from now on it accepts only
// requests with a deadline no later than that.
func (e *Engine) ShutdownBy(at time.Time) { e.shutdownBy.Store(&at) }

// GiveUp ends the requests in flight: this daemon ends in a moment. Their callers learn whether they may have
// run, which a connection that is closed does not tell.
func (e *Engine) GiveUp() {
	e.ShutdownBy(time.Now())
	e.giveUpAll()
}

// New returns an engine without state.
func New() *Engine {
	stopped, giveUpAll := context.WithCancel(context.Background())
	return &Engine{stopped: stopped, giveUpAll: giveUpAll, latencies: newKeyed[latency.Estimate](), references: newKeyed[latency.Reference](), comparison: newComparison(), runTimes: newKeyed[estimate.Model](), runs: quarantine.NewTracker()}
}

// Report is the outcome of a request and its reasons, for logs and metrics.
type Report struct {
	Request *Request
	// Route, Service, Version, Model and Server are the last ones chosen.
	Route   string
	Service string
	Version string
	Model   string
	Server  string
	// Session is the hash of the session. Rollout describes the share of sessions that the new
	// version of a roll-out had, or is "".
	Session uint64
	Rollout string
	// Organisation is the owner of the key.
	Organisation string
	// Content is the fingerprint of what the request asks for: equal for all attempts of a caller
	// at the same thing. It is 0 if the request was refused before its caller was known.
	Content quarantine.Fingerprint
	// Parts are the parts of the prompt that other requests may share.
	Parts []quarantine.Part
	// Config is the number of the configuration, ConfigAge its age, ConfirmedBy the daemon that confirmed
	// it, or "store".
	Config      uint64
	ConfigAge   time.Duration
	ConfirmedBy string
	// Attempts are the attempts in order, with their results.
	Attempts []AttemptReport
	// Escalated reports whether a smaller model's response was dropped for a larger model.
	Escalated bool
	Outcome   Outcome
	Took      time.Duration
	// FirstByte is the time to the first part of the response.
	FirstByte time.Duration
}

// AttemptReport describes one attempt at a server.
type AttemptReport struct {
	Server string
	Model  string
	// Result is the result, as a word or the text of an error.
	Result string
	// Notice is what the server reported about itself.
	Notice notice.Notice
	Took   time.Duration
	Path   channel.Path
}

// Serve proxies one request and returns its outcome. The sink receives data only as a part
// of Answered or Interrupted.
func (e *Engine) Serve(ctx context.Context, r *Request, sink Sink) Outcome {
	e.InFlight.Add(1)
	defer e.InFlight.Add(-1)
	j := &job{engine: e, request: r, suspendedBefore: e.SuspendClock.Now(), report: Report{Request: r}, received: answer.ReceivedUpTo(r.LastEvent), clientGone: func() bool { return ctx.Err() != nil }}
	out := j.serve(ctx, unsent{sink})
	if _, complete := out.(Answered); j.clientGone() && !complete {
		out = ClientGone{}
	}
	if e.OnComplete != nil {
		j.report.Outcome, j.report.Took = out, time.Since(r.Arrived)
		e.OnComplete(j.report)
	}
	return out
}

// job is a request in flight.
type job struct {
	engine  *Engine
	request *Request
	report  Report

	// clientGone reports whether the caller has disconnected.
	clientGone func() bool

	view         *storesync.View
	route        *routemap.Route
	organisation *routemap.Organisation
	// acceptedConfig is the number of the configuration under which the key was accepted.
	acceptedConfig uint64
	// content is the fingerprint of what the request asks for.
	content quarantine.Fingerprint
	service string
	// parts are those of the prompt that other requests for the service may share.
	parts     []quarantine.Part
	partArray [usualParts]quarantine.Part
	// trial is set if the request is confined and may be sent to one server.
	trial bool
	// deadline is when the request is given up, on the monotonic clock, zero for never.
	// suspendedBefore is how long the VM had been suspended when the request arrived.
	deadline        time.Time
	suspendedBefore time.Duration
	step            cascade.Step
	// prompt is the prompt for the model of the step, blockCost the load that a block of it adds
	// to a server. Each choice of a server updates them.
	prompt    prefixcache.Prompt
	blockCost float64
	// avoid are servers that declined the request or broke off; failed are servers that answered
	// with an error or were busy, which are chosen only if there is no other.
	avoid  []fleet.Incarnation
	failed []fleet.Incarnation
	// streaming is set once the caller has received a part of a stream.
	streaming bool
	// received is what the caller has of a stream.
	received answer.Received
	// reserved is the server already chosen for the next attempt, or nil.
	reserved *fleet.Server
	// timedOutHalls are other halls with a server that could not be reached or broke off, and
	// any hall with a server whose connection timed out.
	timedOutHalls []string
	// history summarises the attempts so far.
	history attempts.History
	// paid reports whether the next attempt has been taken from the budget; paidAt is when a
	// retry last was.
	paid   bool
	paidAt time.Time
	// counted reports whether the request has been counted for its organisation.
	counted bool
	// version is the version that the current response comes from, "" for any.
	version string
	// failedResponse is an error response to forward if no attempt gives a better one.
	failedResponse *bufferedResponse
}

// serve checks a request and proxies it.
func (j *job) serve(ctx context.Context, w unsent) Outcome {
	j.awaitStart(ctx)
	now := time.Now()
	if out := j.prepare(now); out != nil {
		return out
	}
	j.engine.Budget.Request(j.service, j.engine.sharers(j.view), j.engine.budgetTime())
	if out := j.admitRequest(now); out != nil {
		return out
	}
	ctx, cancel := j.withEnd(ctx)
	defer cancel()
	release, out := j.awaitPermit(ctx, now)
	if out != nil {
		return out
	}
	answered := false
	defer func() { release(answered) }()
	out = j.run(ctx, w)
	a, ok := out.(Answered)
	answered = ok && a.Status < http.StatusInternalServerError
	return out
}

// withEnd returns a context that is done at the deadline, or when the daemon gives up its requests.
func (j *job) withEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(j.engine.stopped, func() { cancel(errStopped) })
	end := func() {
		unregister()
		cancel(nil)
	}
	if j.deadline.IsZero() {
		return ctx, end
	}
	ctx, cancelDeadline := context.WithDeadline(ctx, j.deadline)
	return ctx, func() {
		cancelDeadline()
		end()
	}
}

// errStopped ends the requests in flight at a daemon that stops.
var errStopped = errors.New("daemon stops")

// awaitStart waits a moment for the first configuration of a daemon that has just started, or
// for the configuration to be confirmed after a suspension of the VM. The store is read at once
// in both cases, and a refusal would cost the caller more.
func (j *job) awaitStart(ctx context.Context) {
	end := j.request.Arrived.Add(maxStartWait)
	for j.refreshView(); !j.view.Current() && ctx.Err() == nil && time.Now().Before(end); j.refreshView() {
		time.Sleep(startPollInterval)
	}
}

const (
	// maxStartWait is how long a request waits for the first configuration: about the time that
	// a small VM takes to read it, and less than the latency objective of the shortest requests.
	maxStartWait = 120 * time.Millisecond
	// startPollInterval is the time between two checks for the configuration.
	startPollInterval = 5 * time.Millisecond
)

// prepare determines the route, the organisation and the service.
func (j *job) prepare(now time.Time) Outcome {
	j.refreshView()
	if !j.view.Ready() {
		return Refused{Reason: NotReady, RetryAfter: notReadyRetry}
	}
	if out := j.checkCurrent(now); out != nil {
		return out
	}
	j.report.Config, j.report.ConfigAge, j.report.ConfirmedBy = j.view.Map.Number, j.view.ConfigAge(now), j.view.ConfirmedBy
	route, ok := j.view.Map.Match(j.request.Host, j.request.Path)
	if !ok {
		return Refused{Reason: NoRoute}
	}
	j.route, j.report.Route, j.acceptedConfig = route, route.Name, j.view.Map.Number
	if out := j.authenticate(now); out != nil {
		return out
	}
	j.content = j.request.fingerprint(j.report.Organisation)
	j.report.Content = j.content
	j.setService(route.Pick(xxhash.Sum64String(j.request.ID)))
	j.report.Session = j.request.session()
	// A request that crashes each server that runs it would crash one after the other, along with
	// the other requests there.
	j.trial = j.view.TakeTrial(j.content, j.parts, now)
	if left, ok := j.quarantined(now); ok {
		return Refused{Reason: Quarantined, RetryAfter: left}
	}
	if len(route.Cascade) > 0 {
		if j.request.Model != AnyModel {
			return Refused{Reason: WrongModel}
		}
		j.step = cascade.Start(len(route.Cascade))
	}
	j.deadline = j.computeDeadline()
	if at := j.engine.shutdownBy.Load(); at != nil && (j.deadline.IsZero() || j.deadline.After(*at)) {
		return Refused{Reason: ShuttingDown, RetryAfter: shutdownRetry}
	}
	return nil
}

// usualParts is how many parts of a prompt are kept without an allocation.
const usualParts = 20

// setService sets the service and the parts of the prompt.
func (j *job) setService(service string) {
	if j.service == service {
		return
	}
	// Requests at servers refer to the parts for the earlier service.
	parts := make([]quarantine.Part, 0, len(j.request.Prompt))
	if j.service == "" {
		parts = j.partArray[:0]
	}
	j.service, j.report.Service = service, service
	for _, p := range j.request.shared() {
		parts = append(parts, quarantine.PartOf(service, p.ID))
	}
	j.parts, j.report.Parts = parts, parts
}

// refreshView takes the latest view.
func (j *job) refreshView() { j.view = j.engine.StoreSync.View() }

// checkCurrent refuses a request if a newer configuration than that of the view may have to be in
// force.
func (j *job) checkCurrent(now time.Time) Outcome {
	if j.view.Confirmed() && j.view.InForce(now) {
		return nil
	}
	j.report.Config, j.report.ConfigAge = j.view.Map.Number, j.view.ConfigAge(now)
	return Refused{Reason: Stale, RetryAfter: staleRetry}
}

// authenticate finds the organisation of the key. A key is accepted only if the configuration
// that allows it was confirmed recently, or if no newer one is available and operators let known
// keys outlive the store for that long.
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
	case age > time.Duration(j.engine.maxKeyAgeOffline.Load()), !known && age > time.Duration(j.engine.maxKeyAge.Load()):
		return Refused{Reason: Stale, RetryAfter: staleRetry}
	case !known:
		return Refused{Reason: WrongKey}
	}
	j.organisation, j.report.Organisation = holder, holder.Name
	return nil
}

// computeDeadline returns the earlier one of the caller's deadline and the route's, or zero.
func (j *job) computeDeadline() time.Time {
	wait := j.request.Timeout
	if limit := j.route.Timeout; limit > 0 && (wait == 0 || limit < wait) {
		wait = limit
	}
	if wait == 0 {
		return time.Time{}
	}
	return j.request.Arrived.Add(wait)
}

// Retry-after times of refused requests.
const (
	// notReadyRetry: a daemon reads the store at once when it starts.
	notReadyRetry = 500 * time.Millisecond
	// staleRetry: daemons that reach the store are polled several times a second.
	staleRetry = 500 * time.Millisecond
	// shutdownRetry: a daemon restarts, and others are ready, within about a second.
	shutdownRetry = time.Second
	// noServerRetry: a server that starts or returns is listed within about a second.
	noServerRetry = time.Second
)
