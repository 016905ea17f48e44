package soak

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"ladderridge.example/platform/standin"
)

// Request is a request and its outcome as observed by the caller.
type Request struct {
	ID string
	// Kind is the kind of the route.
	Kind    string
	Service string
	Method  string
	Target  string
	Key     string
	Body    string
	// CrashingPart is set if the prompt has a part that crashes servers.
	CrashingPart bool
	// Added is the number of the configuration that added the route; 0 for a route of the
	// initial one.
	Added uint64
	// Limit is the time limit of the route.
	Limit time.Duration
	// Daemon is the number of the daemon that received the request. Process numbers the
	// daemon's process when the request was sent, ProcessAfter when the answer arrived.
	Daemon       int
	Process      int
	ProcessAfter int
	Sent         time.Time
	Ended        time.Time
	Reply        standin.Reply
}

// Execution is a request that a backend server began to run.
type Execution struct {
	Run     standin.Run
	Server  string
	Service string
	Version string
	// Start counts the starts of the server.
	Start int
	At    time.Time
	// Spared is set if a run of a crashing request has not crashed the server.
	Spared bool
}

// Incarnation is one start of a server. A server that restarts under the same id is a new
// incarnation, to which an earlier drain does not apply.
type Incarnation struct {
	Server string
	Start  int
}

// allDaemons as a span's daemon means that the fault affects all of them.
const allDaemons = -1

// FaultSpan is the period of a fault and the daemon that it affects.
type FaultSpan struct {
	Daemon int
	Kind   FaultKind
	From   time.Time
	// To is zero while the fault lasts.
	To time.Time
}

// overlaps reports whether the fault affected a daemon between from and to.
func (s FaultSpan) overlaps(daemon int, from, to time.Time) bool {
	if s.Daemon != allDaemons && s.Daemon != daemon {
		return false
	}
	return s.From.Before(to) && (s.To.IsZero() || s.To.After(from))
}

// Observations holds everything that was observed in a run.
type Observations struct {
	Requests []Request
	Runs     []Execution
	// Arrivals holds all requests that reached servers, including declined ones.
	Arrivals []Arrival
	Spans    []FaultSpan
	// Revoked, Added and Left hold when the store acknowledged that a key was revoked, a route
	// was added (by the configuration's number) and a server was marked as leaving.
	Revoked  map[string]time.Time
	Added    map[uint64]time.Time
	Left     map[Incarnation]time.Time
	Rollouts []Rollout
	Cuts     []ServerCut
	Skews    []Skew
	Brittle  []BrittleTime
	// Crashed holds when a request has crashed a server.
	Crashed map[Incarnation]time.Time
	// Settled is when the last fault had ended and all daemons were ready; zero if they did not
	// become ready.
	Settled time.Time
	// Other holds errors of the soak itself and daemons that did not recover.
	Other []Finding
}

// Finding is a violated guarantee.
type Finding struct {
	Rule string
	Text string
}

// recorder collects the observations of a run.
type recorder struct {
	mu   sync.Mutex
	seen Observations
}

func newRecorder() *recorder {
	return &recorder{seen: Observations{Revoked: map[string]time.Time{}, Added: map[uint64]time.Time{}, Left: map[Incarnation]time.Time{}, Crashed: map[Incarnation]time.Time{}}}
}

func (o *recorder) update(f func(*Observations)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(&o.seen)
}

func (o *recorder) ran(r Execution) { o.update(func(s *Observations) { s.Runs = append(s.Runs, r) }) }

func (o *recorder) arrived(a Arrival) {
	o.update(func(s *Observations) { s.Arrivals = append(s.Arrivals, a) })
}

func (o *recorder) answered(a Request) {
	o.update(func(s *Observations) { s.Requests = append(s.Requests, a) })
}

func (o *recorder) revoked(key string, at time.Time) {
	o.update(func(s *Observations) { s.Revoked[key] = at })
}

func (o *recorder) added(n uint64, at time.Time) { o.update(func(s *Observations) { s.Added[n] = at }) }

func (o *recorder) left(i Incarnation, at time.Time) {
	o.update(func(s *Observations) { s.Left[i] = at })
}

func (o *recorder) crashed(i Incarnation, at time.Time) {
	o.update(func(s *Observations) { s.Crashed[i] = at })
}

func (o *recorder) settled(at time.Time) { o.update(func(s *Observations) { s.Settled = at }) }

func (o *recorder) rollout(r Rollout) {
	o.update(func(s *Observations) { s.Rollouts = append(s.Rollouts, r) })
}

func (o *recorder) found(rule, text string) {
	o.update(func(s *Observations) { s.Other = append(s.Other, Finding{Rule: rule, Text: text}) })
}

// beginFault records the start of a fault; the returned function records its end.
func (o *recorder) beginFault(daemon int, t FaultKind, at time.Time) (over func(time.Time)) {
	n := 0
	o.update(func(s *Observations) {
		n = len(s.Spans)
		s.Spans = append(s.Spans, FaultSpan{Daemon: daemon, Kind: t, From: at})
	})
	return func(at time.Time) { o.update(func(s *Observations) { s.Spans[n].To = at }) }
}

// Report is the result of a run.
type Report struct {
	Plan        Plan
	Requests    int
	Answered    int
	Refused     int
	Failed      int
	Interrupted int
	Runs        int
	Findings    []Finding
}

func (o *recorder) report(opts Options, p Plan) Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := Report{Plan: p, Requests: len(o.seen.Requests), Runs: len(o.seen.Runs)}
	for _, a := range o.seen.Requests {
		switch {
		case a.Reply.NotRun():
			r.Refused++
		case a.Reply.Status == 200 && a.Reply.Complete:
			r.Answered++
		case a.Reply.Status == 0 || !a.Reply.Complete:
			r.Interrupted++
		default:
			r.Failed++
		}
	}
	r.Findings = append(Check(o.seen), o.seen.Other...)
	if opts.Bounds {
		r.Findings = append(r.Findings, CheckBounds(o.seen)...)
	}
	return r
}

// String returns a summary line, and one line for each finding.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d daemons, %d faults, %d requests: %d answered, %d refused, %d failed, %d broken off; %d runs; %d findings",
		r.Plan.Seed, r.Plan.Daemons, len(r.Plan.Faults), r.Requests, r.Answered, r.Refused, r.Failed, r.Interrupted, r.Runs, len(r.Findings))
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "\n  %s: %s", f.Rule, f.Text)
	}
	return b.String()
}

// routes returns when each configuration that added a route was written, by its number.
func (o *recorder) routes() map[uint64]time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.seen.Added)
}
