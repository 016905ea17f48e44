package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	attempts "ladderridge.example/core/attempt"
	"ladderridge.example/core/fault"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/prefixcache"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/core/verdict"
	"ladderridge.example/daemon/channel"
	"ladderridge.example/daemon/relay"
	"ladderridge.example/daemon/storesync"
)

// attemptResult is the result of an attempt.
type attemptResult int

const (
	// answered: the response head shows that the server accepted the request.
	answered attemptResult = iota
	// declined: the server has not run the request and will not.
	declined
	// unknown: the server may have run the request.
	unknown
)

// attempt is one request sent to one server.
type attempt struct {
	server *fleet.Server
	model  string
	reply  *channel.Reply
	head   Head
	// kind is what the response is, nil if there is none.
	kind   verdict.Kind
	result attemptResult
	err    error
	sent   time.Time
	// begun is when the connection was ready for the request, zero before that.
	begun time.Time
	path  channel.Path
	// lateProbe probes the server if the head of the response is late; may be nil.
	lateProbe *time.Timer
	// cancel aborts the attempt at the server.
	cancel context.CancelFunc
	ended  bool
	// run tracks the request at its server from the time when it may have reached it; complete
	// is set when the server has answered completely or declined, answered when it has answered with
	// success.
	run      *quarantine.Run
	complete bool
	answered bool
	// latencyKey identifies the latency estimate of the attempt: route and model.
	latencyKey string
	// relative is the time to the first part divided by the typical time, 0 if that is unknown.
	relative float64
	// prompt is the prompt for the model. shared is the length, in blocks, of the part of it
	// that other requests share and that this daemon had not yet sent to the server.
	prompt prefixcache.Prompt
	shared float64
	// weight is the load that the attempt adds to the server.
	weight float64
	// lastEvent is the id of the event after which the answer is to continue, or -1.
	lastEvent int64
	// firstRatio is the time to the first part divided by the time that the version not in
	// roll-out takes for a similar request, 0 if that is unknown.
	firstRatio float64
}

// relayed reports whether the attempt reaches its server through another daemon.
func (a *attempt) relayed() bool { return a.path.Via != "" }

// choose selects a server for the next attempt, preferably one that has not failed the
// request.
func (j *job) choose(now time.Time) (*fleet.Server, bool) {
	j.refreshView()
	j.prompt, j.blockCost = prefixcache.NewPrompt(j.model(), j.request.Prompt), j.computeBlockCost()
	if len(j.failed) > 0 {
		if s, ok := j.chooseExcept(slices.Concat(j.avoid, j.failed), now); ok {
			return s, true
		}
	}
	return j.chooseExcept(j.avoid, now)
}

// chooseExcept selects a server that is not in avoid.
func (j *job) chooseExcept(avoid []fleet.Incarnation, now time.Time) (*fleet.Server, bool) {
	want := fleet.Criteria{
		Service: j.service, Affinity: j.request.affinity(), Prompt: j.prompt, BlockCost: j.blockCost,
		Hall: j.engine.Hall, KeepInHall: j.request.sharesLessThanBlock(), Exclude: avoid, TimedOutHalls: j.timedOutHalls,
		MaxPace: j.maxPace(),
	}
	if j.route.RestrictsRegions(j.organisation) {
		want.HallAllowed = func(hall string) bool { return j.view.InRegions(j.route, j.organisation, hall) }
	}
	if j.version != "" {
		want.Allowed = func(v string) bool { return v == j.version }
		if s, ok := j.view.Servers.Choose(want, now); ok {
			return s, true
		}
	}
	if r, ok := j.view.Rollout(j.service); ok {
		j.report.Rollout = r.Describe(j.request.session(), now)
	}
	first, second := j.view.Versions(j.service, j.request.session(), now)
	want.Allowed, want.Fraction, want.Progress, want.Ejected = first.Allows, first.Fraction, first.Progress, first.Ejected
	if s, ok := j.view.Servers.Choose(want, now); ok {
		return s, true
	}
	want.Allowed, want.Fraction, want.Progress, want.Ejected = second.Allows, second.Fraction, second.Progress, second.Ejected
	return j.view.Servers.Choose(want, now)
}

// recheck verifies, immediately before an attempt is sent, that the latest configuration
// still routes the request to the service. The key is not checked again under a configuration that
// has already accepted it. A stream that the caller has received in part is not checked: it is
// completed under the configuration under which it started.
func (j *job) recheck(now time.Time) Outcome {
	route, ok := j.view.Map.Match(j.request.Host, j.request.Path)
	if !ok {
		return Refused{Reason: NoRoute}
	}
	if !route.Serves(j.service) {
		j.setService(route.Pick(j.request.session()))
	}
	j.route = route
	if j.view.Map.Number == j.acceptedConfig {
		return nil
	}
	return j.authenticate(now)
}

// routedBy reports whether a later view still routes the request to the service, for the reasons that
// recheck gives.
func (j *job) routedBy(v *storesync.View) bool {
	if j.streaming || v.Map.Number == j.view.Map.Number {
		return true
	}
	route, ok := v.Map.Match(j.request.Host, j.request.Path)
	if !ok || !route.Serves(j.service) {
		return false
	}
	_, known := v.Map.Organisation(j.request.Key)
	return known || route.Anonymous || !v.Map.NeedsKeys()
}

// model returns the model of the current cascade step, or "" if the caller has chosen one.
func (j *job) model() string {
	if len(j.route.Cascade) == 0 {
		return ""
	}
	return j.route.Cascade[min(j.step.Index, len(j.route.Cascade)-1)]
}

// open sends the request to a server, to be answered after the events that the caller has, and reads
// the response head. It aborts the attempt after timeout, if that is set and the retry budget allows
// another attempt.
func (j *job) open(ctx context.Context, s *fleet.Server, timeout time.Duration) *attempt {
	a := &attempt{server: s, model: j.model(), sent: time.Now(), lastEvent: j.received.After()}
	a.latencyKey = j.latencyKeyOf(a.model)
	j.report.Server, j.report.Version, j.report.Model = s.ID, s.Version, a.model
	ctx, a.cancel = context.WithCancel(ctx)
	timer := j.startTimer(a, timeout)
	if j.route.Sticky {
		j.engine.StoreSync.RecordSession(j.service, j.request.session(), s.Version)
	}
	a.prompt = j.prompt
	a.shared = blocks(s.State.PrefixCache.MissingTokens(a.prompt, a.sent) - a.prompt.UniqueTokens())
	a.weight = 1 + j.blockCost*blocks(a.prompt.UniqueTokens())
	s.State.PrefixCache.Add(a.prompt, a.sent)
	s.State.Begin(a.weight)
	j.observeUse(a)
	a.reply, a.err = j.engine.Channels.Send(ctx, j.compose(a))
	a.stopProbe()
	if timer.stop() {
		if a.err == nil {
			a.reply.Close()
		}
		a.err = &channel.Error{Op: "wait for server", Kind: channel.Interrupted, Err: errServerTimeout}
		j.markPaid()
	}
	j.evaluate(a)
	if a.result != answered {
		if timer.stop() || ctx.Err() != nil {
			j.observeAbandoned(a)
		}
		j.finish(a)
	}
	return a
}

// compose builds the request for a server.
func (j *job) compose(a *attempt) channel.Request {
	r := j.request
	attempt := Attempt{Request: r, Server: a.server, Model: a.model, Urgency: j.urgency(), LastEvent: a.lastEvent}
	if j.organisation != nil {
		attempt.Organisation = j.organisation.Name
	}
	if !j.deadline.IsZero() {
		attempt.TimeLeft = max(time.Millisecond, j.remaining())
	}
	x := channel.Request{
		Endpoint: j.endpoint(a), Method: r.Method, Target: r.Target, Host: r.Host, Header: j.engine.Dialect.Compose(attempt),
		Body: r.Body, SendLength: r.HasBody, NonRepeatable: !j.route.MayRepeat(), Surplus: func(status int, h http.Header, unused bool) bool { return !j.classify(a, status, h, unused) },
		BeforeSend: func(path channel.Path) error { a.path = path; return j.admit(a) },
	}
	return x
}

// endpoint describes the attempt's server and how it may be reached.
func (j *job) endpoint(a *attempt) channel.Endpoint {
	e := channel.Endpoint{Addr: a.server.Addr, Hall: a.server.Hall, RequestID: j.request.ID, Deadline: j.deadline}
	if !j.route.MayRepeat() {
		e.MaxIdle = channel.NonRepeatableMaxIdle
	}
	if j.route.RestrictsRegions(j.organisation) {
		view, route, organisation := j.view, j.route, j.organisation
		e.RelayAllowed = func(hall string) bool { return view.InRegions(route, organisation, hall) }
	}
	return e
}

// urgency returns the rank of the request, from 0 to 9.
func (j *job) urgency() int { return min(9, max(0, j.route.RankFor(j.organisation))) }

// classify reports whether a response with that head is the one to the attempt, and records what it is.
func (j *job) classify(a *attempt, status int, h http.Header, unused bool) bool {
	head := j.engine.Dialect.ParseHead(j.request.ID, a.server.ID, status, h)
	kind := verdict.Classify(head.Response, unused)
	if _, surplus := kind.(verdict.Surplus); surplus {
		return false
	}
	a.head, a.kind = head, kind
	return true
}

// evaluate determines the result of an attempt.
func (j *job) evaluate(a *attempt) {
	now := time.Now()
	if a.err != nil {
		j.evaluateError(a, now)
		return
	}
	if invalid, ok := a.kind.(verdict.Invalid); ok {
		j.evaluateInvalid(a, invalid)
		return
	}
	j.observeNotice(a, now)
	j.observeRejectionBound(a, now)
	if decline, ok := a.kind.(verdict.Decline); ok {
		j.evaluateDecline(a, decline, now)
		return
	}
	a.result = answered
	j.history = j.history.With(attempts.Unknown)
	j.count()
	j.observeReportedPace(a, now)
	if a.head.HasLoad {
		a.server.State.SetReportedRequests(a.head.Load)
	}
}

// evaluateInvalid evaluates a response that is no answer. It counts against the server and its version,
// and what it says about the server is ignored.
func (j *job) evaluateInvalid(a *attempt, invalid verdict.Invalid) {
	a.result, a.err, a.head = unknown, invalid.Err(), Head{}
	j.history = j.history.With(attempts.Unknown)
	j.engine.Invalid.count(invalid.Reason)
	j.recordFailedResponse(a)
}

// evaluateDecline evaluates a response that says that the server has not run the request.
func (j *job) evaluateDecline(a *attempt, decline verdict.Decline, now time.Time) {
	a.result, a.complete = declined, true
	j.history = j.history.With(attempts.NotRun)
	j.avoid = append(j.avoid, a.server.Incarnation())
	switch {
	case decline.WrongServer:
		a.server.State.Unreachable(now)
	case a.head.Notice.Backoff == 0:
		a.server.State.Declined(now)
		a.server.State.Rejected(now)
		if j.engine.Permits != nil {
			j.engine.Permits.Declined(j.service)
		}
	}
}

// count counts the request for its organisation when a server first accepts it: usage reports
// count requests, not attempts.
func (j *job) count() {
	if j.engine.OnStart != nil && !j.counted {
		j.counted = true
		j.engine.OnStart(j.report.Organisation)
	}
}

// observeRejectionBound records how many rejections the server says that it bears. Each of its answers
// says so, but a rejection without it may come from an intermediary.
func (j *job) observeRejectionBound(a *attempt, now time.Time) {
	n := a.head.Notice
	if n.MalformedRejections != "" || (n.Rejections == 0 && !a.kind.MayHaveRun()) {
		return
	}
	if a.server.ObserveRejectionBound(n.Rejections, a.sent, now) && j.engine.OnRejectionBound != nil {
		j.engine.OnRejectionBound(a.server, n.Rejections)
	}
}

// observeNotice records what the server reports about itself in a response head, whatever the
// result of the attempt is.
func (j *job) observeNotice(a *attempt, now time.Time) {
	n := a.head.Notice
	if (n.Leaving || n.Backoff > 0) && a.server.State.Notices.Observe(n, now) && j.engine.OnNotice != nil {
		j.engine.OnNotice(a.server, n)
	}
	j.observeLimit(a, now)
}

// observeLimit records the rate limit in a response head, so that it applies from the next
// request on.
func (j *job) observeLimit(a *attempt, now time.Time) {
	was, is := a.server.State.Notices.ObserveLimit(a.head.Notice.Limit, a.sent, now, "")
	if !is.Differs(was) {
		return
	}
	a.server.ApplyLimit(j.engine.StoreSync.View().Sharers, now)
	if j.engine.OnLimitChange != nil {
		j.engine.OnLimitChange(a.server, was, is)
	}
}

// errRetryExpired stops a retry that would arrive long after it was taken from the budget.
var errRetryExpired = errors.New("retry was sent too late and the retry budget is used up")

// errQuarantined stops a request that was quarantined while it waited for its connection.
var errQuarantined = errors.New("request is quarantined")

// errOutdated stops a request that the latest configuration no longer routes to the service.
var errOutdated = errors.New("configuration has changed")

// errNotOpen stops a request to a server that takes no more according to its reports, or is no longer
// in use according to the latest view.
var errNotOpen = errors.New("server takes no new requests")

// admit checks the server again once the connection is established. Connecting may take long,
// above all on a slow VM. Meanwhile the server may have reported a limit or back-off in responses to
// other requests, been removed or begun to leave, or its hall may have been drained.
func (j *job) admit(a *attempt) error {
	now, view := time.Now(), j.engine.StoreSync.View()
	if !j.routedBy(view) {
		return errOutdated
	}
	if _, drained := view.Drained[a.server.Hall]; drained || a.server.State.Withdrawn() {
		return errNotOpen
	}
	if !a.server.Open(now) || !a.server.State.Admit(a.sent, now) {
		return errNotOpen
	}
	if !j.payIfLate(now) {
		return errRetryExpired
	}
	if _, ok := j.quarantined(now); ok {
		return errQuarantined
	}
	a.begun = now
	j.beginRun(a)
	j.probeIfLate(a)
	return nil
}

func (j *job) evaluateError(a *attempt, now time.Time) {
	a.result = unknown
	if fault.Is(a.err, relay.HelperLost) {
		j.history = j.history.With(attempts.Unknown)
		return
	}
	j.avoid = append(j.avoid, a.server.Incarnation())
	var e *channel.Error
	if errors.As(a.err, &e) && e.Kind.NotRun() {
		a.result, a.complete = declined, true
		if a.path.Reused {
			j.engine.IdleConnectionEnded(a.server.Addr)
		}
		if fault.Is(a.err, channel.Unreachable) && j.live() {
			j.recordFailure(a, a.err, now)
		}
		return
	}
	j.history = j.history.With(attempts.Unknown)
	j.countEndless(a.err)
	if j.live() {
		j.recordFailure(a, a.err, now)
	}
}

// recordFailure records the failure with the server. The network between the halls may be
// interrupted, so after a failure in another hall the next attempt goes to this daemon's own.
func (j *job) recordFailure(a *attempt, err error, now time.Time) {
	if a.server.Hall != j.engine.Hall {
		j.timedOutHalls = append(j.timedOutHalls, a.server.Hall)
	}
	switch {
	case channel.TimedOut(err):
		a.server.State.ConnectTimedOut(now)
		j.timedOutHalls = append(j.timedOutHalls, a.server.Hall)
	case fault.Is(err, channel.Unreachable):
		a.server.State.Unreachable(now)
		if channel.ConnectionRefused(err) {
			j.engine.serverExited(j.instance(a))
		}
	default:
		a.server.State.NoResponse(now)
		j.engine.probe(j.instance(a))
	}
}

// remaining returns the time until the deadline. The time for which the VM was suspended counts
// too, since the caller was waiting.
func (j *job) remaining() time.Duration {
	return time.Until(j.deadline) - (j.engine.SuspendClock.Now() - j.suspendedBefore)
}

// live reports whether the deadline has not passed and the caller is still connected.
// Otherwise a failure says nothing about the server.
func (j *job) live() bool { return !j.clientGone() && (j.deadline.IsZero() || j.remaining() > 0) }

// finish ends an attempt and releases its load at the server.
func (j *job) finish(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	if a.reply != nil {
		a.reply.Close()
	}
	a.cancel()
	a.server.State.End(a.weight)
	j.endRun(a)
}

// reportAttempt adds an attempt to the report.
func (j *job) reportAttempt(a *attempt, result string) {
	j.report.Attempts = append(j.report.Attempts, AttemptReport{Server: a.server.ID, Model: a.model, Result: result, Notice: a.head.Notice, Took: time.Since(a.sent), Path: a.path})
}

// maxDeclined is how many servers may decline a request before it is refused: when several
// have no free slot, another one is unlikely to have one. Of servers that fail if they reject too
// many it is maxDeclinedBrittle.
const (
	maxDeclined        = 3
	maxDeclinedBrittle = 2
)

// maxDeclined returns how many servers may decline the request.
func (j *job) maxDeclined() int {
	if j.view.Servers.Brittle(j.service, time.Now()) {
		return maxDeclinedBrittle
	}
	return maxDeclined
}

// mayRetry reports whether the request may be sent to another server. It takes the retry from
// the budget.
func (j *job) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || !j.live() {
		return false
	}
	if !j.history.MayRepeat(!j.route.MayRepeat()) {
		return false
	}
	if j.history.Ran >= max(1, j.route.Attempts) || j.history.Declined >= j.maxDeclined() {
		return false
	}
	if j.history.Reached() == 0 || j.paid {
		j.paid = false
		return true
	}
	return j.spendRetry()
}

// spendRetry takes a retry from the budget, for the next attempt or for one that is about to
// be sent.
func (j *job) spendRetry() bool {
	if !j.engine.spendRetry(j.service, j.view) {
		return false
	}
	j.paidAt = time.Now()
	return true
}

// markPaid records that the next attempt has already been taken from the budget.
func (j *job) markPaid() { j.paid, j.paidAt = true, time.Now() }

// payIfLate reports whether an attempt may be sent under the retry budget. A retry that is sent
// more than retryPaymentValidity after it was taken from the budget is charged again: retries
// charged over a period and sent all at once would exceed the budget's rate.
func (j *job) payIfLate(now time.Time) bool {
	return j.history.Reached() == 0 || now.Sub(j.paidAt) <= retryPaymentValidity || j.spendRetry()
}

// retryPaymentValidity is how long a retry may be sent after it was taken from the budget.
const retryPaymentValidity = 300 * time.Millisecond
