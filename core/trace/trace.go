// Package trace records routing decisions and replays them. A trace is a text file
// with one JSON object per line: a view, followed by the requests that were decided
// by it, with their outcomes. docs/TRACES.md describes the format.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
)

// Kind is the kind of an Error.
type Kind string

// The kinds of error.
const (
	// Malformed is a trace that cannot be read.
	Malformed Kind = "malformed trace"
	// Mismatch is a decision that differs from the recorded one.
	Mismatch Kind = "decision differs"
)

// String returns the text of the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Line is one line of a trace: a view or a request.
type Line struct {
	View    *View    `json:"view,omitempty"`
	Request *Request `json:"request,omitempty"`
}

// View is the recorded form of a route.View.
type View struct {
	Generation uint64 `json:"generation"`
	// Table is the content of the table file.
	Table       string    `json:"table"`
	Hall        string    `json:"hall"`
	ConfirmedAt time.Time `json:"confirmed_at"`
	PublishedAt time.Time `json:"published_at,omitzero"`
	Unconfirmed bool      `json:"doubt,omitempty"`
	SteadyAge   string    `json:"steady_age,omitempty"`
	RollingAge  string    `json:"rolling_out_age,omitempty"`
	Servers     []Server  `json:"servers"`
	Quality     []Quality `json:"quality,omitempty"`
	Guarded     []string  `json:"guarded,omitempty"`
	BadFor      []Quality `json:"bad_for,omitempty"`
}

// Server is the recorded form of a backend server of a view.
type Server struct {
	ID           string    `json:"id"`
	Hall         string    `json:"hall"`
	Loaded       []string  `json:"loaded,omitempty"`
	Service      string    `json:"service,omitempty"`
	Leaving      bool      `json:"leaving,omitempty"`
	Reported     int       `json:"reported,omitempty"`
	Capacity     int       `json:"capacity,omitempty"`
	OwnAtReport  int       `json:"own_at_report,omitempty"`
	EjectedUntil time.Time `json:"ejected_until,omitzero"`
}

// Quality is the quality estimate of one version for one organisation.
type Quality struct {
	Organisation string  `json:"organisation"`
	Kind         string  `json:"kind,omitempty"`
	Version      string  `json:"version"`
	Low          float64 `json:"low,omitempty"`
	High         float64 `json:"high,omitempty"`
}

// Request is one request with the recorded decision.
type Request struct {
	At           time.Time `json:"at"`
	ID           string    `json:"id"`
	Organisation string    `json:"organisation"`
	Model        string    `json:"model"`
	Kind         string    `json:"kind,omitempty"`
	Session      string    `json:"session,omitempty"`
	Pin          string    `json:"pin,omitempty"`
	Prefix       uint64    `json:"prefix,omitempty"`
	Seed         uint64    `json:"seed"`
	Avoid        []string  `json:"avoid,omitempty"`
	Cascade      bool      `json:"cascade,omitempty"`
	Above        float64   `json:"above,omitempty"`
	// InFlight is the daemon's own load of the servers at the time.
	InFlight []InFlight `json:"in_flight,omitempty"`
	Outcome  Outcome    `json:"outcome"`
	// Steps are compared in a replay unless the list is empty.
	Steps []route.Step `json:"steps,omitempty"`
}

// InFlight is the number of the daemon's own requests in flight on one server.
type InFlight struct {
	Server   string `json:"server"`
	Requests int64  `json:"requests"`
}

// Outcome is the outcome of a decision. A trace written by hand may omit Server:
// then any server matches.
type Outcome struct {
	// Kind is send, wait or refuse.
	Kind    string     `json:"kind"`
	Version string     `json:"version,omitempty"`
	Server  string     `json:"server,omitempty"`
	Code    route.Code `json:"code,omitempty"`
}

// OutcomeOf returns the recorded form of an outcome.
func OutcomeOf(o route.Outcome) Outcome {
	switch o := o.(type) {
	case route.Send:
		return Outcome{Kind: "send", Version: o.Ref.String(), Server: o.Server.ID}
	case route.Wait:
		return Outcome{Kind: "wait", Version: o.Ref.String()}
	case route.Refuse:
		return Outcome{Kind: "refuse", Code: o.Code}
	}
	return Outcome{}
}

func parseRef(s string) table.Ref {
	model, version, _ := strings.Cut(s, "@")
	return table.Ref{Model: model, Version: version}
}

// maxLine is the maximum length of a line of a trace, in bytes.
const maxLine = 16 << 20

// Result counts the views and requests that a replay has read.
type Result struct {
	Views    int
	Requests int
}

// Replay repeats the decision for every request of a trace. It fails at the first
// one that differs from the record; the error names the step.
func Replay(r io.Reader) (Result, error) {
	var res Result
	var view *route.View
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for n := 1; lines.Scan(); n++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		line, err := decode(lines.Bytes())
		if err == nil && line.View != nil {
			view, err = line.View.view()
			res.Views++
		}
		if err == nil && line.Request != nil {
			err = line.Request.replay(view)
			res.Requests++
		}
		if err != nil {
			return res, fmt.Errorf("line %d: %w", n, err)
		}
	}
	if err := lines.Err(); err != nil {
		return res, &Error{Op: "read trace", Kind: Malformed, Err: err}
	}
	return res, nil
}

func decode(data []byte) (Line, error) {
	var line Line
	if err := json.Unmarshal(data, &line); err != nil {
		return line, &Error{Op: "read line", Kind: Malformed, Err: err}
	}
	if (line.View == nil) == (line.Request == nil) {
		return line, &Error{Op: "read line", Kind: Malformed, Err: errors.New("a line must have either a view or a request")}
	}
	return line, nil
}

// replay repeats the decision for a request and compares it with the record.
func (r *Request) replay(v *route.View) error {
	const op = "replay request"
	if v == nil {
		return &Error{Op: op, Kind: Malformed, Err: errors.New("no view before request " + r.ID)}
	}
	tenant := v.Table.Tenant(r.Organisation)
	if tenant == nil {
		return &Error{Op: op, Kind: Malformed, Err: errors.New("the table has no organisation " + r.Organisation)}
	}
	r.restoreInFlight(v)
	req := route.Request{
		ID: r.ID, Tenant: tenant, Model: r.Model, Kind: r.Kind, Session: r.Session, Prefix: r.Prefix,
		Seed: r.Seed, Avoid: r.Avoid, Cascade: r.Cascade, Above: r.Above,
	}
	if r.Pin != "" {
		req.Pin = parseRef(r.Pin)
	}
	return r.compare(route.Decide(v, req, r.At))
}

func (r *Request) restoreInFlight(v *route.View) {
	loads := map[string]int64{}
	for _, l := range r.InFlight {
		loads[l.Server] = l.Requests
	}
	for _, servers := range v.Engines {
		for _, s := range servers {
			s.State.InFlight.Store(loads[s.ID])
		}
	}
}

func (r *Request) compare(d route.Decision) error {
	for i := range max(len(r.Steps), len(d.Steps)) {
		if len(r.Steps) == 0 {
			break
		}
		if i >= len(r.Steps) || i >= len(d.Steps) || r.Steps[i] != d.Steps[i] {
			return r.mismatch(fmt.Sprintf("step %d is %q, recorded was %q", i+1, stepAt(d.Steps, i), stepAt(r.Steps, i)))
		}
	}
	got, want := OutcomeOf(d.Outcome), r.Outcome
	if want.Server == "" {
		got.Server = ""
	}
	if got != want {
		return r.mismatch(fmt.Sprintf("the outcome is %+v, recorded was %+v", got, want))
	}
	return nil
}

func stepAt(steps []route.Step, i int) string {
	if i >= len(steps) {
		return "none"
	}
	return steps[i].String()
}

func (r *Request) mismatch(text string) error {
	return &Error{Op: "replay request " + r.ID, Kind: Mismatch, Err: errors.New(text)}
}

// view returns the route.View that was recorded.
func (v *View) view() (*route.View, error) {
	t, err := table.Parse([]byte(v.Table))
	if err != nil {
		return nil, err
	}
	out := &route.View{
		Generation: table.Generation{Number: v.Generation}, Table: t, Hall: v.Hall,
		ConfirmedAt: v.ConfirmedAt, PublishedAt: v.PublishedAt, Unconfirmed: v.Unconfirmed,
		Engines: map[table.Ref][]*route.Server{}, Services: map[string][]*route.Server{},
		Quality: map[route.QualityKey]route.Estimate{}, Guarded: map[table.Ref]string{}, BadFor: map[route.QualityKey]bool{},
	}
	if out.Ages.Steady, err = parseAge(v.SteadyAge); err != nil {
		return nil, err
	}
	if out.Ages.RollingOut, err = parseAge(v.RollingAge); err != nil {
		return nil, err
	}
	for _, s := range v.Servers {
		server := &route.Server{
			ID: s.ID, Hall: s.Hall, Leaving: s.Leaving, Reported: s.Reported, Capacity: s.Capacity,
			OwnAtReport: s.OwnAtReport, EjectedUntil: s.EjectedUntil, State: &route.ServerState{},
		}
		for _, ref := range s.Loaded {
			out.Engines[parseRef(ref)] = append(out.Engines[parseRef(ref)], server)
		}
		if s.Service != "" {
			out.Services[s.Service] = append(out.Services[s.Service], server)
		}
	}
	for _, q := range v.Quality {
		out.Quality[q.key()] = route.Estimate{Low: q.Low, High: q.High}
	}
	for _, q := range v.BadFor {
		out.BadFor[q.key()] = true
	}
	for _, ref := range v.Guarded {
		out.Guarded[parseRef(ref)] = "as the trace says"
	}
	return out, nil
}

func parseAge(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, &Error{Op: "read view", Kind: Malformed, Err: err}
	}
	return d, nil
}

func (q Quality) key() route.QualityKey {
	return route.QualityKey{Organisation: q.Organisation, Kind: q.Kind, Ref: parseRef(q.Version)}
}

// ViewOf returns the recorded form of a view.
func ViewOf(v *route.View) View {
	out := View{
		Generation: v.Generation.Number, Table: string(v.Table.Encode()), Hall: v.Hall,
		ConfirmedAt: v.ConfirmedAt, PublishedAt: v.PublishedAt, Unconfirmed: v.Unconfirmed,
		SteadyAge: v.Ages.Steady.String(), RollingAge: v.Ages.RollingOut.String(),
	}
	servers := map[string]*Server{}
	for ref, list := range v.Engines {
		for _, s := range list {
			w := addServer(servers, s)
			w.Loaded = append(w.Loaded, ref.String())
		}
	}
	for service, list := range v.Services {
		for _, s := range list {
			addServer(servers, s).Service = service
		}
	}
	for _, s := range servers {
		slices.Sort(s.Loaded)
		out.Servers = append(out.Servers, *s)
	}
	slices.SortFunc(out.Servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	for key, q := range v.Quality {
		out.Quality = append(out.Quality, Quality{Organisation: key.Organisation, Kind: key.Kind, Version: key.Ref.String(), Low: q.Low, High: q.High})
	}
	for key := range v.BadFor {
		out.BadFor = append(out.BadFor, Quality{Organisation: key.Organisation, Kind: key.Kind, Version: key.Ref.String()})
	}
	for ref := range v.Guarded {
		out.Guarded = append(out.Guarded, ref.String())
	}
	slices.Sort(out.Guarded)
	return out
}

func addServer(servers map[string]*Server, s *route.Server) *Server {
	w := servers[s.ID]
	if w == nil {
		w = &Server{
			ID: s.ID, Hall: s.Hall, Leaving: s.Leaving, Reported: s.Reported, Capacity: s.Capacity,
			OwnAtReport: s.OwnAtReport, EjectedUntil: s.EjectedUntil,
		}
		servers[s.ID] = w
	}
	return w
}

// RequestOf returns the recorded form of a request and its decision. The load
// counters of the view must not have changed since the decision: see Freeze.
func RequestOf(v *route.View, r route.Request, at time.Time, d route.Decision) Request {
	out := Request{
		At: at, ID: r.ID, Organisation: r.Tenant.Organisation.Name, Model: r.Model, Kind: r.Kind, Session: r.Session,
		Prefix: r.Prefix, Seed: r.Seed, Avoid: r.Avoid, Cascade: r.Cascade, Above: r.Above,
		Outcome: OutcomeOf(d.Outcome), Steps: d.Steps,
	}
	if r.Pin != (table.Ref{}) {
		out.Pin = r.Pin.String()
	}
	seen := map[string]bool{}
	for _, list := range v.Engines {
		for _, s := range list {
			if n := s.State.InFlight.Load(); n > 0 && !seen[s.ID] {
				seen[s.ID] = true
				out.InFlight = append(out.InFlight, InFlight{Server: s.ID, Requests: n})
			}
		}
	}
	slices.SortFunc(out.InFlight, func(a, b InFlight) int { return strings.Compare(a.Server, b.Server) })
	return out
}

// Freeze returns a copy of a view whose load counters no longer change, so that a
// decision by it is recorded with the loads that it was made from. back maps each
// server of the copy to the original.
func Freeze(v *route.View) (frozen *route.View, back map[*route.Server]*route.Server) {
	w := *v
	w.Engines = make(map[table.Ref][]*route.Server, len(v.Engines))
	back = map[*route.Server]*route.Server{}
	copies := map[*route.Server]*route.Server{}
	for ref, list := range v.Engines {
		for _, s := range list {
			c := copies[s]
			if c == nil {
				clone := *s
				clone.State = &route.ServerState{}
				clone.State.InFlight.Store(s.State.InFlight.Load())
				c = &clone
				copies[s], back[c] = c, s
			}
			w.Engines[ref] = append(w.Engines[ref], c)
		}
	}
	return &w, back
}
