// Package front is the HTTP front end for callers: it reads and validates their
// requests, routes them to backend servers and sends the answers. docs/API.md
// describes the interface.
package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/attempt"
	"ladderridge.example/core/bill"
	"ladderridge.example/core/pin"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/abort"
	"ladderridge.example/daemon/backend"
	"ladderridge.example/daemon/claims"
	"ladderridge.example/daemon/control"
	"ladderridge.example/daemon/pins"
	"ladderridge.example/daemon/record"
	"ladderridge.example/daemon/settings"
	"ladderridge.example/daemon/slowreader"
	"ladderridge.example/daemon/wire"
)

// Controller is the part of the control state that the front end uses.
type Controller interface {
	Snapshot() *control.Snapshot
	Observe(f control.Observation)
	Bill(b bill.Bill) <-chan bool
	BillCopyTimedOut(key string)
}

// Front serves callers. Get one from New, set the exported fields, then Run.
type Front struct {
	Settings *settings.Settings
	// Listener accepts callers' connections; if nil, Run listens at the address of
	// the settings.
	Listener net.Listener
	Control  Controller
	Backend  *backend.Client
	Claims   *claims.Store
	Pins     *pins.Store
	Records  *record.Log
	Tracer   *record.Tracer
	Log      log.Logger
	// slowReader disconnects callers that do not read their answers.
	slowReader *slowreader.Guard

	// OnComplete, if set, is called with the record of each request of a known
	// organisation when it ends.
	OnComplete func(record.Record)

	// Requests, Refused and Answered count requests.
	Requests atomic.Int64
	Refused  atomic.Int64
	Answered atomic.Int64
	// InFlight is the number of requests in progress.
	InFlight atomic.Int64
	// BillsNotReplicated counts answers that ended before another daemon or the
	// platform had confirmed their bill.
	BillsNotReplicated atomic.Int64

	quarantineState *quarantineState

	limiter     *limiter
	retryBudget *retryBudget
	waitQueues  *waitQueues
	ids         atomic.Uint64
	startTime   string
	stopping    atomic.Bool
	server      *http.Server
}

// Limits of callers' connections.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// New returns a front end; set its exported fields before Run.
func New() *Front {
	f := &Front{quarantineState: newQuarantineState(), limiter: newLimiter(), retryBudget: newRetryBudget(), waitQueues: newWaitQueues(), slowReader: &slowreader.Guard{}, startTime: strconv.FormatInt(time.Now().UnixMilli(), 36)}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	f.server = &http.Server{
		Handler: f.slowReader.Wrap(f.Handler()), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, Protocols: protocols,
	}
	return f
}

// Demands returns the smoothed demand of each active organisation on this daemon.
func (f *Front) Demands() []aggregation.Demand { return f.limiter.demands(time.Now()) }

// Run serves callers until Stop is called. When ctx ends, it closes the
// connections of the requests still in progress.
func (f *Front) Run(ctx context.Context) error {
	f.slowReader.Log = f.Log
	f.Backend.Pool.OnIdleEnded = f.idleConnectionEnded
	l := f.Listener
	f.Listener = nil
	if l == nil {
		var err error
		if l, err = (&net.ListenConfig{}).Listen(ctx, "tcp", f.Settings.Callers); err != nil {
			return err
		}
	}
	defer context.AfterFunc(ctx, func() { _ = f.server.Close() })()
	if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// BeginShutdown closes each caller's connection after its next answer, so that
// later requests go to another daemon.
func (f *Front) BeginShutdown() { f.stopping.Store(true) }

// Stop closes the listener and waits for the requests in progress, until ctx
// ends.
func (f *Front) Stop(ctx context.Context) error { return f.server.Shutdown(ctx) }

// Handler returns the HTTP handler of the callers' interface.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(wire.PathChat, f.handle(http.MethodPost, f.chat))
	mux.HandleFunc(wire.PathModels, f.handle(http.MethodGet, f.models))
	mux.HandleFunc(wire.PathService, f.handle("", f.call))
	mux.HandleFunc("/", f.handle("", func(*job) *refusal {
		return refuse(http.StatusNotFound, NoSuchPath, "there is no such path: the paths are "+wire.PathChat+", "+wire.PathModels+" and "+wire.PathService+"NAME/...")
	}))
	return mux
}

// job is one request in progress.
type job struct {
	front  *Front
	w      http.ResponseWriter
	r      *http.Request
	ctx    context.Context
	id     string
	key    string
	tenant *table.Tenant
	share  control.Share
	rec    record.Record
	body   []byte
	// fingerprint identifies the request's content, for the quarantine.
	fingerprint quarantine.Fingerprint
	// parts are those of the content that other requests may share.
	parts []quarantine.Part
	// trial is set if the request is confined for its parts, contentTrial if it is
	// quarantined, and it may be sent to one
	// server.
	trial, contentTrial bool
	// failed is set if the last answer had an error status.
	failed bool
	// tokens is how many tokens of a stream the caller has.
	tokens int
	// endUnconfirmed is set if an engine that was asked for the tokens behind those has ended its stream
	// without any.
	endUnconfirmed bool
	// attempts counts the attempts so far, without those that a full server
	// declined.
	attempts int
	// exclude lists the servers that failed an earlier attempt.
	exclude []string
	// answered reports whether a status has been sent to the caller.
	answered bool
	// history accumulates the outcomes of the attempts so far.
	history attempt.History
	// atMostOnce is set for a request that must not run twice; claim is the claim
	// that it holds, nil if it needs none.
	atMostOnce bool
	claim      *ownClaim
	// claimRead reports whether the record under the caller's key has been read.
	claimRead bool
}

// handle wraps a handler with the steps common to all requests: preparation,
// admission, refusal and the request's record.
func (f *Front) handle(method string, h func(*job) *refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		f.Requests.Add(1)
		f.InFlight.Add(1)
		defer f.InFlight.Add(-1)
		if f.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		j := &job{front: f, w: w, r: r, id: f.newID()}
		j.rec = record.Record{Request: j.id, Daemon: f.Settings.ID, Hall: f.Settings.Hall, At: start}
		out := j.prepare(method)
		if out == nil {
			out = f.runAdmitted(j, h)
		}
		if out != nil {
			f.Refused.Add(1)
			j.sendRefusal(out)
		}
		j.rec.DurationMS = float64(time.Since(start)) / float64(time.Millisecond)
		if j.tenant != nil {
			f.Records.Add(j.rec)
			if f.OnComplete != nil {
				f.OnComplete(j.rec)
			}
		}
		if out != nil && j.answered {
			abort.Response(w, r)
		}
	}
}

// newID returns a new request ID. It starts with the daemon's ID, by which the
// explain command finds the daemon.
func (f *Front) newID() string {
	return f.Settings.ID + "-" + f.startTime + "-" + strconv.FormatUint(f.ids.Add(1), 36)
}

// prepare checks the method, authenticates the caller and looks up the
// organisation's share of its limits.
func (j *job) prepare(method string) *refusal {
	if method != "" && j.r.Method != method {
		out := refuse(http.StatusMethodNotAllowed, WrongMethod, "use "+method)
		out.allow = method
		return out
	}
	j.key = j.r.Header.Get(wire.HeaderKey)
	snap := j.front.Control.Snapshot()
	if snap.View.Generation.Number == 0 {
		return refuse(http.StatusServiceUnavailable, NotReady, "this daemon has no table yet").withRetryAfter(time.Second)
	}
	if out := j.authenticate(snap.View.Table); out != nil {
		return out
	}
	j.rec.Key = j.key
	j.rec.Generation = snap.View.Generation.Number
	j.share = snap.Shares[j.tenant.Organisation.Name]
	if snap.BillsFull {
		return refuse(http.StatusServiceUnavailable, BillingBacklog, "too many bills wait for the platform").withRetryAfter(billsRetryAfter)
	}
	return nil
}

// billsRetryAfter is sent as Retry-After while too many bills wait for the
// platform.
const billsRetryAfter = 5 * time.Second

func (j *job) authenticate(t *table.Table) *refusal {
	auth := j.r.Header.Get("Authorization")
	key, ok := strings.CutPrefix(auth, "Bearer ")
	if !ok || key == "" {
		return refuse(http.StatusUnauthorized, MissingKey, "send your organisation's key as `Authorization: Bearer KEY`")
	}
	j.tenant = t.TenantByKey(key)
	if j.tenant == nil {
		return refuse(http.StatusUnauthorized, UnknownKey, "the key belongs to no organisation")
	}
	j.rec.Organisation = j.tenant.Organisation.Name
	return nil
}

// runAdmitted runs the handler under the caller's deadline if the quarantine and
// the organisation's limits admit the request.
func (f *Front) runAdmitted(j *job, h func(*job) *refusal) *refusal {
	deadline, out := j.deadline()
	if out != nil {
		return out
	}
	ctx, cancel := context.WithTimeout(j.r.Context(), deadline)
	defer cancel()
	j.ctx = ctx
	if out := j.readBody(); out != nil {
		return out
	}
	j.computeFingerprint()
	if out := j.checkQuarantine(); out != nil {
		return out
	}
	org := j.tenant.Organisation.Name
	if out := f.limiter.admit(org, j.share, time.Now()); out != nil {
		j.addStep(route.Step{Kind: route.StepLimit, Reason: route.Code(out.code), Text: out.text})
		return out
	}
	f.retryBudget.earn()
	defer func() { f.limiter.release(org, j.share, j.tokens, time.Now()) }()
	return h(j)
}

func (j *job) deadline() (time.Duration, *refusal) {
	value := j.r.Header.Get(wire.HeaderDeadline)
	if value == "" {
		return j.front.Settings.DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	maxDeadline := j.front.Settings.MaxDeadline
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return 0, refuse(http.StatusBadRequest, BadDeadline, wire.HeaderDeadline+" must be a whole number of milliseconds from 1 to "+strconv.FormatInt(maxDeadline.Milliseconds(), 10))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (j *job) addStep(s route.Step) { j.rec.Steps = append(j.rec.Steps, s) }

func (j *job) addSteps(ss []route.Step) { j.rec.Steps = append(j.rec.Steps, ss...) }

// adjustRunForKey reports the outcome as unknown instead of "not run" if a
// request with a key is refused for a temporary reason before the record under
// the key was read: an earlier request with the same key may have run. A refusal
// for a fault of the request itself would have ended the earlier one too.
func (j *job) adjustRunForKey(out *refusal) {
	temporary := out.status == http.StatusTooManyRequests || out.status == http.StatusServiceUnavailable
	if j.key != "" && !j.claimRead && temporary && out.run == attempt.NotRun {
		out.run = attempt.Unknown
		out.text += " (this request was not run; whether an earlier one with its key was, is not known here)"
	}
}

// sendRefusal records a refusal and sends it, unless an answer has begun.
func (j *job) sendRefusal(out *refusal) {
	j.adjustRunForKey(out)
	j.rec.Status, j.rec.Run, j.rec.Code = out.status, string(out.run), out.code
	j.addStep(route.Step{Kind: route.StepRefused, Reason: route.Code(out.code), Value: out.retryAfter.Seconds(), Text: out.text})
	if !j.answered {
		out.write(j.w, j.id)
	}
}

// recordAnswer records a complete answer.
func (j *job) recordAnswer(status int) {
	j.front.Answered.Add(1)
	j.rec.Status, j.rec.Run, j.rec.Tokens = status, string(attempt.Done), j.tokens
	j.addStep(route.Step{Kind: route.StepAnswered, Value: float64(status)})
}

// billKey returns the key under which the request is billed: the caller's key if
// there is one, so that a request sent twice is billed once.
func (j *job) billKey() string {
	org := j.tenant.Organisation.Name
	if j.key != "" {
		return org + "/key-" + table.HashKey(j.key)
	}
	return org + "/" + j.id
}

// billAckTimeout bounds how long the end of an answer waits for another daemon
// to confirm the bill. After it a second daemon has the same time.
const billAckTimeout = 25 * time.Millisecond

// bill bills the request, and waits up to twice billAckTimeout until another
// daemon or the platform has the bill.
func (j *job) bill(ref table.Ref, price int64) {
	cost := price * int64(j.tokens)
	j.rec.Cost = cost
	b := bill.Bill{
		Key: j.billKey(), Organisation: j.tenant.Organisation.Name, Model: ref.Model, Version: ref.Version,
		Tokens: int64(j.tokens), Cost: cost, UnixMS: time.Now().UnixMilli(),
	}
	s := route.Step{Kind: route.StepBill, Model: ref.Model, Version: ref.Version, Value: float64(cost), Text: "another daemon or the platform has the bill"}
	if !j.front.replicateBill(b) {
		j.front.BillsNotReplicated.Add(1)
		s.Text = "this daemon alone has the bill"
	}
	j.addStep(s)
}

// replicateBill hands over a bill and reports whether another daemon or the
// platform confirmed it in time.
func (f *Front) replicateBill(b bill.Bill) bool {
	replicated := f.Control.Bill(b)
	timer := time.NewTimer(billAckTimeout)
	defer timer.Stop()
	for retried := false; ; retried = true {
		select {
		case ok := <-replicated:
			return ok
		case <-timer.C:
			if retried {
				return false
			}
			f.Control.BillCopyTimedOut(b.Key)
			timer.Reset(billAckTimeout)
		}
	}
}

// pinKeys returns the keys that seal session tokens.
func (j *job) pinKeys() pin.Keys { return j.front.Settings.PinKeys }
