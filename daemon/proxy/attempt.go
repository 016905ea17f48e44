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
	"ladderridge.example/daemon/channel"
)

// verdict is what came of an attempt.
type verdict int

// The verdicts.
const (
	// answered is a head that says that the server took the request on.
	answered verdict = iota
	// declined is a server that has not run the request and will not.
	declined
	// lost is an attempt that may have run.
	lost
)

// attempt is one request to one server.
type attempt struct {
	server  *fleet.Server
	model   string
	reply   *channel.Reply
	head    Head
	verdict verdict
	err     error
	sent    time.Time
	// cancel ends the attempt at the server.
	cancel context.CancelFunc
	ended  bool
	// visit is the request at its server, once it may have reached it; done tells that the
	// server has answered it whole or declined it.
	visit *quarantine.Run
	done  bool
	// kind is what times are compared by: the route and the model.
	kind string
	// relative is how long the first part took in terms of the usual, 0 if that
	// is not known.
	relative float64
	// prompt is what the model is to read, shared how much of it other requests share
	// and this daemon had not sent to the server, in pieces.
	prompt prefixcache.Prompt
	shared float64
	// weight is how much of the server's work the attempt is.
	weight float64
	// first is how long the first part took in terms of what the settled version
	// takes for the like, 0 if that is not known.
	first float64
}

// choose finds a server for the next attempt: one that has not failed the
// request, or else one that has.
func (j *job) choose(now time.Time) (*fleet.Server, bool) {
	j.look()
	j.prompt, j.piece = prefixcache.NewPrompt(j.model(), j.request.Prompt), j.pieceWork()
	if len(j.failed) > 0 {
		if s, ok := j.chooseBut(slices.Concat(j.avoid, j.failed), now); ok {
			return s, true
		}
	}
	return j.chooseBut(j.avoid, now)
}

// chooseBut finds a server that is not among those to avoid.
func (j *job) chooseBut(avoid []fleet.Incarnation, now time.Time) (*fleet.Server, bool) {
	want := fleet.Criteria{
		Service: j.service, Affinity: j.request.affinity(), Prompt: j.prompt, BlockCost: j.piece,
		Hall: j.engine.Hall, KeepInHall: j.request.sharesLittle(), Exclude: avoid, TimedOutHalls: j.silent,
	}
	if j.route.RestrictsRegions(j.holder) {
		want.HallAllowed = func(hall string) bool { return j.view.InRegions(j.route, j.holder, hall) }
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

// allowed is the last check before an attempt leaves: whether the newest
// configuration still lets the request reach the service. An answer that the
// caller has a part of is finished under the one that it began under, and a
// request that was accepted under this one is not asked for its key again.
func (j *job) allowed(now time.Time) Outcome {
	if j.begun {
		return nil
	}
	route, ok := j.view.Map.Match(j.request.Host, j.request.Path)
	if !ok {
		return Refused{Reason: NoRoute}
	}
	if !route.Serves(j.service) {
		j.service = route.Pick(j.request.session())
		j.report.Service = j.service
	}
	j.route = route
	if j.view.Map.Number == j.accepted {
		return nil
	}
	return j.authenticate(now)
}

// model is the model of the present step, or "" if the caller has named one.
func (j *job) model() string {
	if len(j.route.Cascade) == 0 {
		return ""
	}
	return j.route.Cascade[min(j.step.Index, len(j.route.Cascade)-1)]
}

// open sends the request to a server and reads the head of the answer. It gives
// up after patience, if that is set and another attempt can be paid for.
func (j *job) open(ctx context.Context, s *fleet.Server, patience time.Duration) *attempt {
	a := &attempt{server: s, model: j.model(), sent: time.Now()}
	a.kind = j.kind(a.model)
	j.report.Server, j.report.Version, j.report.Model = s.ID, s.Version, a.model
	ctx, a.cancel = context.WithCancel(ctx)
	timer := j.startTimer(a, patience)
	if j.route.Sticky {
		j.engine.StoreSync.RecordSession(j.service, j.request.session(), s.Version)
	}
	a.prompt = j.prompt
	a.shared = pieces(s.State.PrefixCache.MissingTokens(a.prompt, a.sent) - a.prompt.UniqueTokens())
	a.weight = 1 + j.piece*pieces(a.prompt.UniqueTokens())
	s.State.PrefixCache.Add(a.prompt, a.sent)
	s.State.Begin(a.weight)
	a.reply, a.err = j.engine.Channels.Send(ctx, j.compose(a))
	if timer.stop() {
		if a.err == nil {
			a.reply.Close()
		}
		a.err = &channel.Error{Op: "wait for server", Kind: channel.Interrupted, Err: errSilent}
		j.pay()
	}
	j.judge(a)
	if a.verdict != answered {
		if timer.stop() || ctx.Err() != nil {
			j.observeEnded(a)
		}
		j.finish(a)
	}
	return a
}

// compose makes the request for a server.
func (j *job) compose(a *attempt) channel.Request {
	r := j.request
	attempt := Attempt{Request: r, Server: a.server, Model: a.model, Urgency: j.urgency(), LastEvent: j.after}
	if j.holder != nil {
		attempt.Organisation = j.holder.Name
	}
	if !j.end.IsZero() {
		attempt.TimeLeft = max(time.Millisecond, j.remaining())
	}
	x := channel.Request{
		Addr: a.server.Addr, Method: r.Method, Target: r.Target, Host: r.Host, Header: j.engine.Dialect.Compose(attempt),
		Body: r.Body, SendLength: r.HasBody, Matches: func(h http.Header) bool { return j.engine.Dialect.Matches(r.ID, h) },
		BeforeSend: func() error { return j.mayArrive(a) },
	}
	if !j.route.MayRepeat() {
		x.MaxIdle = channel.NonRepeatableMaxIdle
	}
	return x
}

// urgency is the rank of the request, from 0 to 9.
func (j *job) urgency() int { return min(9, max(0, j.route.RankFor(j.holder))) }

// judge works out what came of an attempt.
func (j *job) judge(a *attempt) {
	now := time.Now()
	if a.err != nil {
		j.judgeError(a, now)
		return
	}
	a.head = j.engine.Dialect.ParseHead(a.reply.Status, a.reply.Header)
	j.hear(a, now)
	if a.head.NotRun {
		a.verdict, a.done = declined, true
		j.made = j.made.With(attempts.NotRun)
		j.avoid = append(j.avoid, a.server.Incarnation())
		switch {
		case a.head.WrongServer:
			a.server.State.Unreachable(now)
		case a.head.Notice.Backoff == 0:
			a.server.State.Declined(now)
		}
		return
	}
	a.verdict = answered
	j.made = j.made.With(attempts.Unknown)
	j.count()
	if a.head.HasLoad {
		a.server.State.SetReportedRequests(a.head.Load)
	}
}

// count counts the request for its organisation when a server first takes it on: what is told
// of usage counts requests, not the runs that one takes.
func (j *job) count() {
	if j.engine.OnStart != nil && !j.counted {
		j.counted = true
		j.engine.OnStart(j.report.Organisation)
	}
}

// hear keeps what a server says of itself with an answer, whatever becomes of that.
func (j *job) hear(a *attempt, now time.Time) {
	n := a.head.Notice
	if (n.Leaving || n.Backoff > 0) && a.server.State.Notices.Observe(n, now) && j.engine.OnNotice != nil {
		j.engine.OnNotice(a.server, n)
	}
	j.hearLimit(a, now)
}

// hearLimit keeps the limit that an answer names: the next request goes by it.
func (j *job) hearLimit(a *attempt, now time.Time) {
	was, is := a.server.State.Notices.ObserveLimit(a.head.Notice.Limit, a.sent, now, "")
	if !is.Differs(was) {
		return
	}
	a.server.ApplyLimit(j.engine.StoreSync.View().Sharers, now)
	if j.engine.OnLimitChange != nil {
		j.engine.OnLimitChange(a.server, was, is)
	}
}

// errLate stops a repeat that would arrive long after it was paid.
var errLate = errors.New("the repeat is late, and the budget has none left")

// errNotOpen stops a request whose server has said meanwhile that it takes none.
var errNotOpen = errors.New("the server takes no new work")

// mayArrive is the last look at the server, once the connection is there: that may have
// taken long, on a slow VM most of all, and answers to others have come meanwhile.
func (j *job) mayArrive(a *attempt) error {
	now := time.Now()
	if !a.server.Open(now) || !a.server.State.Admit(a.sent, now) {
		return errNotOpen
	}
	if !j.paysFor(now) {
		return errLate
	}
	j.arrive(a)
	return nil
}

func (j *job) judgeError(a *attempt, now time.Time) {
	a.verdict = lost
	j.avoid = append(j.avoid, a.server.Incarnation())
	var e *channel.Error
	if errors.As(a.err, &e) && e.Kind.NotRun() {
		a.verdict, a.done = declined, true
		if fault.Is(a.err, channel.Unreachable) && j.live() {
			j.blame(a, a.err, now)
		}
		return
	}
	j.made = j.made.With(attempts.Unknown)
	if j.live() {
		j.blame(a, a.err, now)
	}
}

// blame notes with the server how it failed. The way to another hall may be cut,
// so the next attempt goes to this one's own.
func (j *job) blame(a *attempt, err error, now time.Time) {
	if a.server.Hall != j.engine.Hall {
		j.silent = append(j.silent, a.server.Hall)
	}
	switch {
	case channel.TimedOut(err):
		a.server.State.ConnectTimedOut(now)
		j.silent = append(j.silent, a.server.Hall)
	case fault.Is(err, channel.Unreachable):
		a.server.State.Unreachable(now)
		if channel.ConnectionRefused(err) {
			j.engine.serverEnded(placeOf(a.server))
		}
	default:
		a.server.State.NoResponse(now)
		j.engine.look(placeOf(a.server))
	}
}

// remaining is how much time a request with an end has. Its caller has waited while the VM
// stood still.
func (j *job) remaining() time.Duration {
	return time.Until(j.end) - (j.engine.SuspendClock.Now() - j.stood)
}

// live reports whether the request's time is not over and its caller there: else
// a failure says nothing about the server.
func (j *job) live() bool { return !j.left() && (j.end.IsZero() || j.remaining() > 0) }

// finish ends an attempt: the server has its place back.
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
	j.depart(a)
}

// note puts an attempt into the report.
func (j *job) note(a *attempt, result string) {
	j.report.Attempts = append(j.report.Attempts, AttemptReport{Server: a.server.ID, Model: a.model, Result: result, Notice: a.head.Notice, Took: time.Since(a.sent)})
}

// mostDeclined bounds the servers that may decline a request before it is
// refused: when several have no place, the next one hardly has.
const mostDeclined = 3

// mayTryAgain reports whether another server may be sent the request. It takes
// the repeat from the budget.
func (j *job) mayTryAgain(ctx context.Context) bool {
	if ctx.Err() != nil || !j.live() {
		return false
	}
	if !j.made.MayRepeat(!j.route.MayRepeat()) {
		return false
	}
	if j.made.Ran >= max(1, j.route.Attempts) || j.made.Declined >= mostDeclined {
		return false
	}
	if j.made.Reached() == 0 || j.paid {
		j.paid = false
		return true
	}
	return j.spend()
}

// spend takes a repeat from the budget, for the next attempt or the one that arrives now.
func (j *job) spend() bool {
	if !j.engine.spendRepeat(j.service, j.view) {
		return false
	}
	j.paidAt = time.Now()
	return true
}

// pay notes that the next attempt has been taken from the budget.
func (j *job) pay() { j.paid, j.paidAt = true, time.Now() }

// paysFor reports whether a repeat that arrives now is paid. Repeats that were paid over a while
// and arrive all at once would be more than the budget has in that time: a late one is paid again.
func (j *job) paysFor(now time.Time) bool {
	return j.made.Reached() == 0 || now.Sub(j.paidAt) <= paidFor || j.spend()
}

// paidFor is how long after it was paid a repeat may arrive.
const paidFor = 300 * time.Millisecond
