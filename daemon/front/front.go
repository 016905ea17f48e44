// Package front serves callers: it reads and checks their requests, has them
// decided, sends them to backend servers and answers. docs/API.md describes
// the interface.
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
	"ladderridge.example/daemon/backend"
	"ladderridge.example/daemon/claims"
	"ladderridge.example/daemon/control"
	"ladderridge.example/daemon/pins"
	"ladderridge.example/daemon/record"
	"ladderridge.example/daemon/settings"
	"ladderridge.example/daemon/slowreader"
	"ladderridge.example/daemon/wire"
)

// Controller is what the front needs of the control state.
type Controller interface {
	Snapshot() *control.Snapshot
	Tell(f control.Fact)
	Bill(b bill.Bill) <-chan bool
	BillAgain(key string)
}

// Front serves callers. Get one from New, set the exported fields, then Run.
type Front struct {
	Settings *settings.Settings
	// Listener takes callers' connections; nil listens at the address of the
	// settings.
	Listener net.Listener
	Control  Controller
	Backend  *backend.Client
	Claims   *claims.Store
	Pins     *pins.Store
	Records  *record.Log
	Tracer   *record.Tracer
	Log      log.Logger
	// unread lets callers go that do not read their answers.
	unread *slowreader.Guard

	// Observe, if set, is told of every request of an organisation.
	Observe func(record.Record)

	// Requests, Refused and Answered count requests.
	Requests atomic.Int64
	Refused  atomic.Int64
	Answered atomic.Int64
	// Open counts requests that are under way.
	Open atomic.Int64
	// Unsafe counts answers that ended before another daemon had their bill.
	Unsafe atomic.Int64

	confinement *confinement

	limiter  *limiter
	retries  *retries
	waiting  *waiting
	ids      atomic.Uint64
	start    string
	stopping atomic.Bool
	server   *http.Server
}

// The bounds of callers' connections.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
)

// New returns a front that has served nothing yet.
func New() *Front {
	f := &Front{confinement: newConfinement(), limiter: newLimiter(), retries: newRetries(), waiting: newWaiting(), unread: &slowreader.Guard{}, start: strconv.FormatInt(time.Now().UnixMilli(), 36)}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	f.server = &http.Server{
		Handler: f.unread.Wrap(f.Handler()), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, Protocols: protocols,
	}
	return f
}

// Demands returns what organisations ask of this daemon.
func (f *Front) Demands() []aggregation.Demand { return f.limiter.demands(time.Now()) }

// Run serves callers until Stop is called. When ctx ends it breaks off what is
// still under way.
func (f *Front) Run(ctx context.Context) error {
	f.unread.Log = f.Log
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

// Stopping makes callers take their next request elsewhere.
func (f *Front) Stopping() { f.stopping.Store(true) }

// Stop accepts nothing more and waits for the requests under way, until ctx
// ends.
func (f *Front) Stop(ctx context.Context) error { return f.server.Shutdown(ctx) }

// Handler serves the callers' interface.
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

// job is one request under way.
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
	// content tells what the request asks.
	content quarantine.Fingerprint
	tokens  int
	// attempts counts the attempts made.
	attempts int
	avoid    []string
	// answered tells that the caller has been sent a status.
	answered bool
	// made is what is known after the attempts so far.
	made attempt.History
	// once tells that the request may run once only; claim is its claim, if it
	// needs one.
	once  bool
	claim *claimed
	// keyRead tells that the record under the caller's key has been read.
	keyRead bool
}

// handle wraps a handler with what all requests have in common.
func (f *Front) handle(method string, h func(*job) *refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		begun := time.Now()
		f.Requests.Add(1)
		f.Open.Add(1)
		defer f.Open.Add(-1)
		if f.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		j := &job{front: f, w: w, r: r, id: f.newID()}
		j.rec = record.Record{Request: j.id, Daemon: f.Settings.ID, Hall: f.Settings.Hall, At: begun}
		out := j.prepare(method)
		if out == nil {
			out = f.admitted(j, h)
		}
		if out != nil {
			f.Refused.Add(1)
			j.refused(out)
		}
		j.rec.DurationMS = float64(time.Since(begun)) / float64(time.Millisecond)
		if j.tenant != nil {
			f.Records.Add(j.rec)
			if f.Observe != nil {
				f.Observe(j.rec)
			}
		}
	}
}

// newID makes a request's id; it starts with the daemon's, for explain.
func (f *Front) newID() string {
	return f.Settings.ID + "-" + f.start + "-" + strconv.FormatUint(f.ids.Add(1), 36)
}

// prepare finds out who asks and until when.
func (j *job) prepare(method string) *refusal {
	if method != "" && j.r.Method != method {
		out := refuse(http.StatusMethodNotAllowed, WrongMethod, "use "+method)
		out.allowed = method
		return out
	}
	j.key = j.r.Header.Get(wire.HeaderKey)
	snap := j.front.Control.Snapshot()
	if snap.View.Generation.Number == 0 {
		return refuse(http.StatusServiceUnavailable, NotReady, "this daemon has no table yet").withRetry(time.Second)
	}
	if out := j.authenticate(snap.View.Table); out != nil {
		return out
	}
	j.rec.Key = j.key
	j.rec.Generation = snap.View.Generation.Number
	j.share = snap.Shares[j.tenant.Organisation.Name]
	if snap.BillsFull {
		return refuse(http.StatusServiceUnavailable, BillsFull, "too many bills wait for the platform").withRetry(billsRetry)
	}
	return nil
}

// billsRetry is when to come back while bills wait for the platform.
const billsRetry = 5 * time.Second

func (j *job) authenticate(t *table.Table) *refusal {
	auth := j.r.Header.Get("Authorization")
	key, ok := strings.CutPrefix(auth, "Bearer ")
	if !ok || key == "" {
		return refuse(http.StatusUnauthorized, NoKey, "send your organisation's key as `Authorization: Bearer KEY`")
	}
	j.tenant = t.TenantByKey(key)
	if j.tenant == nil {
		return refuse(http.StatusUnauthorized, WrongKey, "the key belongs to no organisation")
	}
	j.rec.Organisation = j.tenant.Organisation.Name
	return nil
}

// admitted runs the handler under the caller's deadline and limits.
func (f *Front) admitted(j *job, h func(*job) *refusal) *refusal {
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
	j.identify()
	if out := j.confined(); out != nil {
		return out
	}
	org := j.tenant.Organisation.Name
	if out := f.limiter.admit(org, j.share, time.Now()); out != nil {
		j.step(route.Step{Kind: route.StepLimit, Reason: route.Code(out.code), Text: out.text})
		return out
	}
	f.retries.earn()
	defer func() { f.limiter.done(org, j.share, j.tokens, time.Now()) }()
	return h(j)
}

func (j *job) deadline() (time.Duration, *refusal) {
	value := j.r.Header.Get(wire.HeaderDeadline)
	if value == "" {
		return j.front.Settings.DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	longest := j.front.Settings.MaxDeadline
	if err != nil || ms < 1 || ms > longest.Milliseconds() {
		return 0, refuse(http.StatusBadRequest, BadDeadline, wire.HeaderDeadline+" must be a whole number of milliseconds from 1 to "+strconv.FormatInt(longest.Milliseconds(), 10))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (j *job) step(s route.Step) { j.rec.Steps = append(j.rec.Steps, s) }

func (j *job) steps(ss []route.Step) { j.rec.Steps = append(j.rec.Steps, ss...) }

// speakOfKey keeps "not run" true for a request that was sent before: with a
// key, an earlier one may have run, and only the record under the key can tell.
// What is wrong with the request itself was wrong then too.
func (j *job) speakOfKey(out *refusal) {
	passing := out.status == http.StatusTooManyRequests || out.status == http.StatusServiceUnavailable
	if j.key != "" && !j.keyRead && passing && out.run == attempt.NotRun {
		out.run = attempt.Unknown
		out.text += " (this request was not run; whether an earlier one with its key was, is not known here)"
	}
}

// refused answers with a refusal and records it.
func (j *job) refused(out *refusal) {
	j.speakOfKey(out)
	j.rec.Status, j.rec.Run, j.rec.Code = out.status, string(out.run), out.code
	j.step(route.Step{Kind: route.StepRefused, Reason: route.Code(out.code), Value: out.retry.Seconds(), Text: out.text})
	if !j.answered {
		out.write(j.w, j.id)
	}
}

// done records a whole answer.
func (j *job) done(status int) {
	j.front.Answered.Add(1)
	j.rec.Status, j.rec.Run, j.rec.Tokens = status, string(attempt.Done), j.tokens
	j.step(route.Step{Kind: route.StepAnswered, Value: float64(status)})
}

// billKey is the key under which the request is billed: the caller's own key
// if there is one, so that a request sent twice is billed once.
func (j *job) billKey() string {
	org := j.tenant.Organisation.Name
	if j.key != "" {
		return org + "/key-" + table.HashKey(j.key)
	}
	return org + "/" + j.id
}

// safeWait bounds how long the end of an answer waits for another daemon to
// have its bill; if that one does not answer, as long again for a second one.
const safeWait = 25 * time.Millisecond

// bill bills the request, and waits a moment for the bill to be safe.
func (j *job) bill(ref table.Ref, price int64) {
	cost := price * int64(j.tokens)
	j.rec.Cost = cost
	b := bill.Bill{
		Key: j.billKey(), Organisation: j.tenant.Organisation.Name, Model: ref.Model, Version: ref.Version,
		Tokens: int64(j.tokens), Cost: cost, UnixMS: time.Now().UnixMilli(),
	}
	s := route.Step{Kind: route.StepBill, Model: ref.Model, Version: ref.Version, Value: float64(cost), Text: "another daemon or the platform has the bill"}
	if !j.front.safe(b) {
		j.front.Unsafe.Add(1)
		s.Text = "this daemon alone has the bill"
	}
	j.step(s)
}

// safe hands over a bill and reports whether another daemon has it.
func (f *Front) safe(b bill.Bill) bool {
	told := f.Control.Bill(b)
	wait := time.NewTimer(safeWait)
	defer wait.Stop()
	for again := false; ; again = true {
		select {
		case safe := <-told:
			return safe
		case <-wait.C:
			if again {
				return false
			}
			f.Control.BillAgain(b.Key)
			wait.Reset(safeWait)
		}
	}
}

// pinKeys are the keys that seal session tokens.
func (j *job) pinKeys() pin.Keys { return j.front.Settings.PinKeys }
