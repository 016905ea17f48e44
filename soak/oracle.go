package soak

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"ladderridge.example/platform/standin"
)

// Ask is a request as its caller saw it.
type Ask struct {
	ID string
	// Kind is that of its route.
	Kind    string
	Service string
	Method  string
	Target  string
	Key     string
	Body    string
	// Added is the configuration that brought the route, 0 for the first one.
	Added uint64
	// Limit is how long the route lets it take.
	Limit time.Duration
	// Daemon is which one was asked; Life is its process when the request was
	// sent, LifeAfter when the answer was there.
	Daemon    int
	Life      int
	LifeAfter int
	Sent      time.Time
	Ended     time.Time
	Reply     standin.Reply
}

// Ran is a request that a backend server began to run.
type Ran struct {
	Run     standin.Run
	Server  string
	Service string
	Version string
	// Start numbers the starts of the server.
	Start int
	At    time.Time
}

// Incarnation is one start of a server: one that begins again under its id has not left.
type Incarnation struct {
	Server string
	Start  int
}

// everybody as a span's daemon is all of them.
const everybody = -1

// Span is a trouble's time and place.
type Span struct {
	Daemon  int
	Trouble Trouble
	From    time.Time
	// To is zero while it lasts.
	To time.Time
}

// touches reports whether a span touches a daemon within a time.
func (s Span) touches(daemon int, from, to time.Time) bool {
	if s.Daemon != everybody && s.Daemon != daemon {
		return false
	}
	return s.From.Before(to) && (s.To.IsZero() || s.To.After(from))
}

// Seen is all that was seen of a run.
type Seen struct {
	Asks []Ask
	Runs []Ran
	// Arrivals are all requests that reached servers.
	Arrivals []Arrival
	Spans    []Span
	// Revoked, Added and Left are when keys were taken away, routes added by
	// the configuration's number, and servers left, as the store took it.
	Revoked map[string]time.Time
	Added   map[uint64]time.Time
	Left    map[Incarnation]time.Time
	// Orders are roll-outs.
	Orders []Order
	// Settled is when the last fault was over and all daemons were ready; zero
	// if they were not.
	Settled time.Time
	// Other are faults of the soak itself and daemons that did not return.
	Other []Finding
}

// Finding is a promise that was seen broken.
type Finding struct {
	Rule string
	Text string
}

// oracle gathers what is seen.
type oracle struct {
	mu   sync.Mutex
	seen Seen
}

func newOracle() *oracle {
	return &oracle{seen: Seen{Revoked: map[string]time.Time{}, Added: map[uint64]time.Time{}, Left: map[Incarnation]time.Time{}}}
}

func (o *oracle) note(f func(*Seen)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(&o.seen)
}

func (o *oracle) ran(r Ran) { o.note(func(s *Seen) { s.Runs = append(s.Runs, r) }) }
func (o *oracle) arrived(a Arrival) {
	o.note(func(s *Seen) { s.Arrivals = append(s.Arrivals, a) })
}
func (o *oracle) answered(a Ask) { o.note(func(s *Seen) { s.Asks = append(s.Asks, a) }) }

func (o *oracle) revoked(key string, at time.Time) { o.note(func(s *Seen) { s.Revoked[key] = at }) }
func (o *oracle) added(n uint64, at time.Time)     { o.note(func(s *Seen) { s.Added[n] = at }) }
func (o *oracle) left(i Incarnation, at time.Time) { o.note(func(s *Seen) { s.Left[i] = at }) }
func (o *oracle) settled(at time.Time)             { o.note(func(s *Seen) { s.Settled = at }) }

func (o *oracle) order(r Order) { o.note(func(s *Seen) { s.Orders = append(s.Orders, r) }) }

func (o *oracle) found(rule, text string) {
	o.note(func(s *Seen) { s.Other = append(s.Other, Finding{Rule: rule, Text: text}) })
}

// trouble notes the begin of a trouble; the function that it returns, its end.
func (o *oracle) trouble(daemon int, t Trouble, at time.Time) (over func(time.Time)) {
	n := 0
	o.note(func(s *Seen) {
		n = len(s.Spans)
		s.Spans = append(s.Spans, Span{Daemon: daemon, Trouble: t, From: at})
	})
	return func(at time.Time) { o.note(func(s *Seen) { s.Spans[n].To = at }) }
}

// Report is what came of a run.
type Report struct {
	Plan     Plan
	Asks     int
	Answered int
	Refused  int
	Failed   int
	Broken   int
	Runs     int
	Findings []Finding
}

func (o *oracle) report(opts Options, p Plan) Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := Report{Plan: p, Asks: len(o.seen.Asks), Runs: len(o.seen.Runs)}
	for _, a := range o.seen.Asks {
		switch {
		case a.Reply.NotRun():
			r.Refused++
		case a.Reply.Status == 200 && a.Reply.Complete:
			r.Answered++
		case a.Reply.Status == 0 || !a.Reply.Complete:
			r.Broken++
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

// String is a line on the run, and one for each finding.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d daemons, %d faults, %d requests: %d answered, %d refused, %d failed, %d broken off; %d runs; %d findings",
		r.Plan.Seed, r.Plan.Daemons, len(r.Plan.Faults), r.Asks, r.Answered, r.Refused, r.Failed, r.Broken, r.Runs, len(r.Findings))
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "\n  %s: %s", f.Rule, f.Text)
	}
	return b.String()
}

// routes returns the configurations that have added routes, and when.
func (o *oracle) routes() map[uint64]time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.seen.Added)
}
